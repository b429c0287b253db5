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
    /** Some bytes were transferred. */
    Done,
    /** Nothing now; the wake function will be called when it is worth another try. */
    Blocked,
    /** The upstream has closed its side. */
    End,
    /** The connection is broken. */
    Broken,
};

struct Transfer
{
    TransferStatus status = TransferStatus::Blocked;
    std::size_t size = 0;
};

/** An ordinary non-blocking TCP connection to the upstream of this host. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    enum class State { Idle, Connecting, Connected, Failed };

    /** @p wake is called from the event loop when the state changed or a blocked transfer may go on. */
    UpstreamConnection(boost::asio::io_context &io, const Endpoint &endpoint, std::function<void()> wake);

    /** Starts to connect; may be repeated after State::Failed. */
    void connect();

    /** As connect(), after @p delay. */
    void connectAfter(std::chrono::milliseconds delay);

    State state() const;

    Transfer read(std::span<std::byte> buffer);
    Transfer write(std::span<const std::byte> bytes);

    /** Tells the upstream that the caller sends no more. */
    void finishSending();

    /** Closes with a reset, so that the upstream notices at once that nobody waits for its answer. */
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
