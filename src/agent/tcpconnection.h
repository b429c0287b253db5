#pragma once

#include <cstddef>
#include <span>

struct tcp_pcb;

namespace samphireswitch::agent {

class ConnectionBuckets;
class TcpStack;
struct TcpCallbacks;

/** Why a connection in the TCP stack has ended. */
enum class ConnectionEnd {
    /** Both sides have closed, and the caller has acknowledged all data. */
    Closed,
    /** The caller reset the connection. */
    Reset,
    /** The caller stopped responding, so that retransmissions or keep-alive probes ran out. */
    TimedOut,
};

/**
 * Receives the events of a TcpConnection. The functions are called from inside the TCP stack, which is not reentrant,
 * and must not call the stack or the connection.
 */
class TcpConnectionObserver
{
public:
    virtual void connectionEstablished() = 0;
    /**
     * @p bytes arrived in order. They occupy the receive window until TcpConnection::consume() is called for them, and
     * are valid only during this call.
     */
    virtual void dataReceived(std::span<const std::byte> bytes) = 0;
    virtual void finReceived() = 0;
    virtual void dataAcknowledged() = 0;
    /** The TCP stack has freed the control block; the connection can no longer be used. */
    virtual void connectionEnded(ConnectionEnd end) = 0;

protected:
    ~TcpConnectionObserver() = default;
};

/**
 * A caller's connection in the TCP stack, created by TcpStack::accept(). After the connection has ended, functions that
 * send or close do nothing.
 */
class TcpConnection
{
public:
    /** Calls discard(). */
    ~TcpConnection();

    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /**
     * Number of bytes that send() can queue now. 0 before the handshake is complete, after finish() and after the end
     * of the connection.
     */
    std::size_t sendCapacity() const;

    /**
     * Queues a copy of @p bytes, of which there may be at most sendCapacity(). Returns false, and queues nothing, if
     * the stack is out of memory or the connection has ended.
     */
    bool send(std::span<const std::byte> bytes);

    /** Sends queued bytes as far as the caller's receive window and the congestion window allow. */
    void push();

    /** Opens the receive window by @p size bytes, which were received and have been processed. */
    void consume(std::size_t size);

    /** Sends a FIN after the queued bytes. The receiving direction stays open. */
    void finish();

    /** Ends the connection with a reset to the caller. */
    void reset();

    /** Frees the connection without sending anything to the caller. */
    void discard();

    /** Whether the TCP stack still has a control block for this connection, that is, the connection has not ended. */
    bool exists() const;
    /** Whether queued data or a FIN has not been sent or not been acknowledged by the caller. */
    bool hasUnacknowledgedData() const;

    /**
     * Whether the connection is in TIME-WAIT: both sides are closed and the caller has acknowledged all data, but may
     * retransmit its FIN.
     */
    bool isInTimeWait() const;

private:
    friend class TcpStack;
    friend struct TcpCallbacks;

    TcpConnection(tcp_pcb *controlBlock,
                  ConnectionBuckets &buckets,
                  std::size_t bucket,
                  TcpConnectionObserver &observer);

    /** Frees the control block, and sends a reset to the caller if @p withReset is true. */
    void abandon(bool withReset);

    tcp_pcb *m_controlBlock;
    ConnectionBuckets &m_buckets;
    /** Index of the bucket that contains the control block. */
    std::size_t m_bucket;
    TcpConnectionObserver &m_observer;
};

} // namespace samphireswitch::agent
