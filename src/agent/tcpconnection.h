#pragma once

#include <cstddef>
#include <span>

struct tcp_pcb;

namespace samphireswitch::agent {

class ConnectionBuckets;
class TcpStack;
struct TcpCallbacks;

/** Why the TCP stack has given up a connection. */
enum class ConnectionEnd {
    /** Both sides closed, and the caller acknowledged everything. */
    Closed,
    /** The caller reset the connection. */
    Reset,
    /** The caller stopped responding. */
    TimedOut,
};

/** Told what happens to a connection. Called while the stack runs; must not call the stack or the connection. */
class TcpConnectionObserver
{
public:
    virtual void connectionEstablished() = 0;
    /** TcpConnection::consume() has to be called for these bytes later; until then they count towards the window. */
    virtual void dataReceived(std::span<const std::byte> bytes) = 0;
    virtual void finReceived() = 0;
    virtual void dataAcknowledged() = 0;
    /** The control block no longer exists. */
    virtual void connectionEnded(ConnectionEnd end) = 0;

protected:
    ~TcpConnectionObserver() = default;
};

/** A caller's connection in the TCP stack. Made by TcpStack::accept(). After its end every command does nothing. */
class TcpConnection
{
public:
    /** Discards the connection if it still exists. */
    ~TcpConnection();

    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /** How many bytes send() takes now; 0 after finish(). */
    std::size_t sendCapacity() const;

    /** Queues a copy of @p bytes. Returns false, and queues nothing, if the stack has no room. */
    bool send(std::span<const std::byte> bytes);

    /** Sends queued bytes as far as the windows allow. */
    void push();

    /** Opens the receive window by @p size bytes that were received and processed. */
    void consume(std::size_t size);

    /** Sends a FIN after the queued bytes. The receiving direction stays open. */
    void finish();

    /** Ends the connection with a reset to the caller. */
    void reset();

    /** Ends the connection without sending anything. */
    void discard();

    /** The control block exists. */
    bool exists() const;
    bool hasUnacknowledgedData() const;

    /** Both sides are closed and the caller has acknowledged everything; only its last FIN may be repeated. */
    bool isInTimeWait() const;

private:
    friend class TcpStack;
    friend struct TcpCallbacks;

    TcpConnection(tcp_pcb *controlBlock,
                  ConnectionBuckets &buckets,
                  std::size_t bucket,
                  TcpConnectionObserver &observer);

    void abandon(bool withReset);

    tcp_pcb *m_controlBlock;
    ConnectionBuckets &m_buckets;
    /** Index of the bucket that contains the control block. */
    std::size_t m_bucket;
    TcpConnectionObserver &m_observer;
};

} // namespace samphireswitch::agent
