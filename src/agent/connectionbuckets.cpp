#include "agent/connectionbuckets.h"

#include "agent/lwipheaders.h"

#include <arpa/inet.h>

#include <cassert>
#include <utility>

namespace samphireswitch::agent {

namespace {

/** About five connections per bucket with 20,000 connections. A power of two. */
constexpr std::size_t s_bucketCount = 4096;

/**
 * All connections take part in the first s_fullTicksOfPeriod ticks of every s_ticksOfPeriod ticks (1 s), and only the
 * active buckets in the others. Idle connections need timers only for keep-alive probes, for which once a second is
 * enough. Two consecutive ticks are needed, because lwIP runs its slow timers in every second tick.
 */
constexpr unsigned s_ticksOfPeriod = 20;
constexpr unsigned s_fullTicksOfPeriod = 2;

flow::FlowKey keyOf(const tcp_pcb &controlBlock)
{
    flow::FlowKey key;
    key.source = {ntohl(ip4_addr_get_u32(ip_2_ip4(&controlBlock.remote_ip))), controlBlock.remote_port};
    key.destination = {ntohl(ip4_addr_get_u32(ip_2_ip4(&controlBlock.local_ip))), controlBlock.local_port};
    return key;
}

/** Whether no timer except the keep-alive timer is running for the connection. */
bool isIdle(const tcp_pcb &controlBlock)
{
    constexpr int pendingFlags = TF_ACK_DELAY | TF_ACK_NOW | TF_CLOSEPEND | TF_NAGLEMEMERR;
    return controlBlock.state == ESTABLISHED && (controlBlock.flags & pendingFlags) == 0
        && controlBlock.unsent == nullptr && controlBlock.unacked == nullptr && controlBlock.ooseq == nullptr
        && controlBlock.refused_data == nullptr && controlBlock.persist_backoff == 0;
}

} // namespace

ConnectionBuckets::ConnectionBuckets()
    : m_buckets(s_bucketCount)
{
}

std::size_t ConnectionBuckets::indexOf(const flow::FlowKey &key) const
{
    return flow::hashFlow(key, 0) % m_buckets.size();
}

tcp_pcb *ConnectionBuckets::newestConnection(std::size_t index) const
{
    return m_buckets[index].first;
}

ConnectionBuckets::Scope::Scope(ConnectionBuckets &buckets, std::size_t index)
    : m_buckets(buckets)
    , m_index(index)
{
    assert(tcp_active_pcbs == nullptr);
    tcp_active_pcbs = buckets.m_buckets[index].first;
}

ConnectionBuckets::Scope::~Scope()
{
    m_buckets.m_buckets[m_index].first = std::exchange(tcp_active_pcbs, nullptr);
    m_buckets.markActive(m_index);
}

ConnectionBuckets::TickScope::TickScope(ConnectionBuckets &buckets)
    : m_buckets(buckets)
{
    assert(tcp_active_pcbs == nullptr);
    if (buckets.m_tick++ % s_ticksOfPeriod < s_fullTicksOfPeriod) {
        buckets.linkAllBuckets();
    } else {
        buckets.linkActiveBuckets();
    }
}

ConnectionBuckets::TickScope::~TickScope()
{
    while (tcp_active_pcbs != nullptr) {
        m_buckets.returnToBucket(std::exchange(tcp_active_pcbs, tcp_active_pcbs->next));
    }
}

void ConnectionBuckets::markActive(std::size_t index)
{
    Bucket &bucket = m_buckets[index];
    if (bucket.active) {
        return;
    }
    bucket.active = true;
    m_activeBuckets.push_back(index);
}

void ConnectionBuckets::linkActiveBuckets()
{
    for (const std::size_t index : m_activeBuckets) {
        linkBucket(m_buckets[index]);
    }
    m_activeBuckets.clear();
}

void ConnectionBuckets::linkAllBuckets()
{
    for (Bucket &bucket : m_buckets) {
        linkBucket(bucket);
    }
    m_activeBuckets.clear();
}

void ConnectionBuckets::linkBucket(Bucket &bucket)
{
    bucket.active = false;
    tcp_pcb *const first = std::exchange(bucket.first, nullptr);
    if (first == nullptr) {
        return;
    }
    tcp_pcb *last = first;
    while (last->next != nullptr) {
        last = last->next;
    }
    last->next = tcp_active_pcbs;
    tcp_active_pcbs = first;
}

void ConnectionBuckets::returnToBucket(tcp_pcb *controlBlock)
{
    const std::size_t index = indexOf(keyOf(*controlBlock));
    controlBlock->next = std::exchange(m_buckets[index].first, controlBlock);
    if (!isIdle(*controlBlock)) {
        markActive(index);
    }
}

} // namespace samphireswitch::agent
