#include "balancer/flowsizes.h"

#include <algorithm>

namespace samphireswitch::balancer {

namespace {

// After each such time, what was counted before counts half.
constexpr std::chrono::seconds s_halvingTime {4};
// Entries with fewer flows tell too little, and the least of them are forgotten.
constexpr double s_leastFlows = 4;
constexpr double s_forgottenBytes = 64;
// Smaller flows are sent in one window of a caller.
constexpr double s_leastBulkBytes = 16'000;
// Bounds the time that a packet takes; further destinations are not learned.
constexpr std::size_t s_capacity = 32;

} // namespace

void FlowSizes::passed(const Endpoint &destination, std::size_t bytes, bool opensFlow, TimePoint now)
{
    age(now);
    auto found = std::ranges::find(m_entries, destination, &Entry::destination);
    if (found == m_entries.end()) {
        if (m_entries.size() >= s_capacity) {
            return;
        }
        m_entries.push_back({destination, 0, 0});
        found = m_entries.end() - 1;
    }
    found->bytes += static_cast<double>(bytes);
    found->flows += opensFlow ? 1 : 0;
}

bool FlowSizes::isBulk(const Endpoint &destination) const
{
    const auto found = std::ranges::find(m_entries, destination, &Entry::destination);
    if (found == m_entries.end() || found->flows < s_leastFlows || found->bytes < s_leastBulkBytes * found->flows) {
        return false;
    }
    double all = 0;
    double ofLarger = 0;
    for (const Entry &entry : m_entries) {
        if (entry.flows < s_leastFlows) {
            continue;
        }
        all += entry.bytes;
        if (entry.bytes * found->flows > found->bytes * entry.flows) {
            ofLarger += entry.bytes;
        }
    }
    return ofLarger * 2 < all;
}

void FlowSizes::age(TimePoint now)
{
    m_agedAt = m_agedAt.value_or(now);
    if (now - *m_agedAt < s_halvingTime) {
        return;
    }
    m_agedAt = now;
    for (Entry &entry : m_entries) {
        entry.bytes /= 2;
        entry.flows /= 2;
    }
    std::erase_if(m_entries, [](const Entry &entry) { return entry.bytes < s_forgottenBytes; });
}

} // namespace samphireswitch::balancer
