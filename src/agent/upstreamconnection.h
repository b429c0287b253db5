#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace samphireswitch::agent {

enum class TransferStatus {
    /** At least one byte was transferred. */
    Done,
    /** No byte can be transferred now. The wake function is called when the transfer should be tried again. */
    Blocked,
    /** The upstream has closed its sending direction, and all of its bytes have been read. */
    End,
    /** The connection failed, for example because the upstream reset it. */
    Broken,
};

/** Result of a read or write; size is the number of bytes transferred. */
struct Transfer
{
    TransferStatus status = TransferStatus::Blocked;
    std::size_t size = 0;
};

/** A non-blocking TCP connection to the upstream of this host, made with the sockets of the operating system. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    enum class State { Idle, Connecting, Connected, Failed };

    /**
     * @p wake is called from the event loop of @p io when an attempt to connect has succeeded or failed, or when a
     * blocked transfer should be tried again.
     */
    UpstreamConnection(boost::asio::io_context &io, const Endpoint &endpoint, std::function<void()> wake);

    /** Starts to connect. The result appears in state(). May be called again in State::Failed. */
    void connect();

    /** Calls connect() after @p delay. state() is Connecting in the meantime. */
    void connectAfter(std::chrono::milliseconds delay);

    State state() const;

    /** Reads at most the size of @p buffer. Must be called only in State::Connected. */
    Transfer read(std::span<std::byte> buffer);
    /** Writes as much of @p bytes as the socket accepts. Must be called only in State::Connected. */
    Transfer write(std::span<const std::byte> bytes);

    /** Closes the sending direction, so that the upstream sees the end of the request. */
    void finishSending();

    /**
     * Closes the connection with a TCP reset, so that the upstream learns at once that its answer is no longer wanted.
     * Also cancels a pending connectAfter(), and sets State::Failed.
     */
    void reset();

private:
    using Socket = boost::asio::ip::tcp::socket;

    void finishConnecting(const boost::system::error_code &error);
    void awaitReadable();
    void awaitWritable();

    Socket m_socket;
    Endpoint m_endpoint;
    std::function<void()> m_wake;
    State m_state = State::Idle;
    bool m_awaitsReadable = false;
    bool m_awaitsWritable = false;
    std::optional<boost::asio::steady_timer> m_retryTimer;
};

} // namespace samphireswitch::agent
