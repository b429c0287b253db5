#pragma once

#include "flow/flowkey.h"

#include <cstddef>
#include <vector>

struct tcp_pcb;

namespace samphireswitch::agent {

/**
 * lwIP's list of connections, divided by flow. lwIP searches its whole list for each packet and walks it for each
 * tick. Here its list contains only the bucket that a call is about, and most ticks skip the buckets of idle
 * connections.
 */
class ConnectionBuckets
{
public:
    ConnectionBuckets();

    std::size_t indexOf(const flow::FlowKey &key) const;

    /** The connection that was added last to bucket @p index; null if the bucket is empty. */
    tcp_pcb *newest(std::size_t index) const;

    /**
     * Makes a bucket lwIP's list for the time of a call that may read or change the list, or may start a timer of a
     * connection in the bucket.
     */
    class Scope
    {
    public:
        Scope(ConnectionBuckets &buckets, std::size_t index);
        ~Scope();

        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        ConnectionBuckets &m_buckets;
        std::size_t m_index;
    };

    /** Makes all connections whose timers are due lwIP's list, for one tick. */
    class TickScope
    {
    public:
        explicit TickScope(ConnectionBuckets &buckets);
        ~TickScope();

        TickScope(const TickScope &) = delete;
        TickScope &operator=(const TickScope &) = delete;

    private:
        ConnectionBuckets &m_buckets;
    };

private:
    struct Bucket
    {
        tcp_pcb *first = nullptr;
        /** The bucket is in m_busy. */
        bool busy = false;
    };

    void markBusy(std::size_t index);
    void joinBusy();
    void joinAll();
    void join(Bucket &bucket);
    void putBack(tcp_pcb *controlBlock);

    std::vector<Bucket> m_buckets;
    /** Buckets that may contain a connection with a running timer. */
    std::vector<std::size_t> m_busy;
    unsigned m_tick = 0;
};

} // namespace samphireswitch::agent
