#pragma once

#include "base/endpoint.h"

#include <string_view>

struct tcp_pcb;

namespace samphireswitch::standin {

/** How a connection ended, seen from the caller. */
enum class ConnectionEnd {
    /** A reset in answer to the SYN, before the handshake was complete. */
    Refused,
    /** A reset, or the stack gave up, after the SYN was sent. */
    Reset,
    /** The other side closed. */
    Closed,
};

/** A TCP connection of the caller's lwIP stack. Derived classes speak a protocol over it. */
class CallerConnection
{
public:
    CallerConnection() = default;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
    /** Resets the connection if it is open. */
    virtual ~CallerConnection();

    /** Sends the first SYN. @p localPort 0 means that lwIP chooses the port. */
    void open(const Endpoint &destination, std::uint16_t localPort);

    /** Port of the last open(), also after the connection has ended. */
    std::uint16_t localPort() const;

protected:
    virtual void handleConnected() = 0;
    virtual void handleReceived(std::string_view bytes) = 0;
    /** The stack can take more bytes. */
    virtual void handleWritable() = 0;
    /** Called at most once; the connection is gone. */
    virtual void handleEnd(ConnectionEnd end) = 0;

    /** Queues as many of @p bytes as the stack takes and returns their number. */
    std::size_t write(std::string_view bytes);

    /** Closes the connection; no handler is called any more. */
    void close();

    /** Resets the connection; no handler is called any more. Must not be called from a handler. */
    void abort();

private:
    struct Callbacks;

    void detach();

    tcp_pcb *m_pcb = nullptr;
    std::uint16_t m_localPort = 0;
    bool m_connected = false;
};

} // namespace samphireswitch::standin
