#include "admission/unownedflows.h"

namespace samphireswitch::admission {

namespace {

/**
 * A flow without a packet for this number of grace periods gets a new grace period, because its ports may belong to
 * another connection by then. The time (150 s with the grace period of 3 s) is longer than the largest interval between
 * retransmissions of common TCP stacks (120 s).
 */
constexpr int s_forgetAfterGracePeriods = 50;

} // namespace

UnownedFlows::UnownedFlows(std::chrono::nanoseconds grace, std::size_t capacity, std::uint64_t hashSeed)
    : m_grace(grace)
    , m_capacity(capacity)
    , m_positions(0, SeededFlowHash {hashSeed})
{
}

void UnownedFlows::record(const flow::FlowKey &key, TimePoint now)
{
    const auto found = m_positions.find(key);
    if (found != m_positions.end()) {
        Entry &entry = *found->second;
        if (now - entry.last > s_forgetAfterGracePeriods * m_grace) {
            entry.first = now;
        }
        entry.last = now;
        m_entries.splice(m_entries.end(), m_entries, found->second);
        return;
    }
    if (m_entries.size() >= m_capacity) {
        m_positions.erase(m_entries.front().key);
        m_entries.pop_front();
    }
    m_positions[key] = m_entries.insert(m_entries.end(), {key, now, now});
}

bool UnownedFlows::hasGraceExpired(const flow::FlowKey &key, TimePoint now) const
{
    const auto found = m_positions.find(key);
    return found != m_positions.end() && now - found->second->first >= m_grace;
}

void UnownedFlows::remove(const flow::FlowKey &key)
{
    const auto found = m_positions.find(key);
    if (found == m_positions.end()) {
        return;
    }
    m_entries.erase(found->second);
    m_positions.erase(found);
}

std::size_t UnownedFlows::size() const
{
    return m_entries.size();
}

} // namespace samphireswitch::admission
