#include "agent/connectionbuckets.h"

#include "agent/lwipheaders.h"

#include <arpa/inet.h>

#include <cassert>
#include <utility>

namespace samphireswitch::agent {

namespace {

/** A few connections in each bucket at 20,000 connections; a power of two. */
constexpr std::size_t s_bucketCount = 4096;

/**
 * Idle connections only need keep-alive probes, for which one visit in 20 ticks (1 s) is enough. Two ticks in a row,
 * because lwIP runs its slow timers in every second one.
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

/** No timer but that of keep-alive probes is running. */
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

tcp_pcb *ConnectionBuckets::newest(std::size_t index) const
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
    m_buckets.markBusy(m_index);
}

ConnectionBuckets::TickScope::TickScope(ConnectionBuckets &buckets)
    : m_buckets(buckets)
{
    assert(tcp_active_pcbs == nullptr);
    if (buckets.m_tick++ % s_ticksOfPeriod < s_fullTicksOfPeriod) {
        buckets.joinAll();
    } else {
        buckets.joinBusy();
    }
}

ConnectionBuckets::TickScope::~TickScope()
{
    while (tcp_active_pcbs != nullptr) {
        m_buckets.putBack(std::exchange(tcp_active_pcbs, tcp_active_pcbs->next));
    }
}

void ConnectionBuckets::markBusy(std::size_t index)
{
    Bucket &bucket = m_buckets[index];
    if (bucket.busy) {
        return;
    }
    bucket.busy = true;
    m_busy.push_back(index);
}

void ConnectionBuckets::joinBusy()
{
    for (const std::size_t index : m_busy) {
        join(m_buckets[index]);
    }
    m_busy.clear();
}

void ConnectionBuckets::joinAll()
{
    for (Bucket &bucket : m_buckets) {
        join(bucket);
    }
    m_busy.clear();
}

void ConnectionBuckets::join(Bucket &bucket)
{
    bucket.busy = false;
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

void ConnectionBuckets::putBack(tcp_pcb *controlBlock)
{
    const std::size_t index = indexOf(keyOf(*controlBlock));
    controlBlock->next = std::exchange(m_buckets[index].first, controlBlock);
    if (!isIdle(*controlBlock)) {
        markBusy(index);
    }
}

} // namespace samphireswitch::agent
