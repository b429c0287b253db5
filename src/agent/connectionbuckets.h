#pragma once

#include "flow/flowkey.h"

#include <cstddef>
#include <vector>

struct tcp_pcb;

namespace samphireswitch::agent {

/**
 * Hash table that partitions lwIP's list of active connections (tcp_active_pcbs) by flow. lwIP searches the whole list
 * for each packet and walks it on each timer tick, which is too slow for thousands of connections. Outside a Scope or
 * TickScope the lwIP list is empty; a Scope installs a single bucket as the list, and most ticks leave out the buckets
 * whose connections are all idle.
 */
class ConnectionBuckets
{
public:
    ConnectionBuckets();

    /** Index of the bucket that holds the connection of flow @p key. */
    std::size_t indexOf(const flow::FlowKey &key) const;

    /**
     * Head of the list of bucket @p index; null if the bucket is empty. lwIP inserts at the head, so that this is a
     * connection that lwIP has just created in a Scope of the bucket.
     */
    tcp_pcb *newestConnection(std::size_t index) const;

    /**
     * Installs one bucket as lwIP's list of active connections for the lifetime of the Scope. Required around each lwIP
     * call that may read or change the list or may start a timer of a connection in the bucket. Scopes must not be
     * nested.
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

    /**
     * Installs all connections whose timers may be due as lwIP's list for the lifetime of the TickScope, and returns
     * the connections to their buckets afterwards. One TickScope is used per timer tick.
     */
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
        /** Whether the index of this bucket is in m_activeBuckets. */
        bool active = false;
    };

    void markActive(std::size_t index);
    void linkActiveBuckets();
    void linkAllBuckets();
    /** Moves the connections of @p bucket to lwIP's list. */
    void linkBucket(Bucket &bucket);
    /** Adds a connection that was taken off lwIP's list to the bucket of its flow. */
    void returnToBucket(tcp_pcb *controlBlock);

    std::vector<Bucket> m_buckets;
    /** Indexes of the buckets that may contain a connection with a running timer other than the keep-alive timer. */
    std::vector<std::size_t> m_activeBuckets;
    /** Number of TickScopes so far. */
    unsigned m_tick = 0;
};

} // namespace samphireswitch::agent
