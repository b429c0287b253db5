#include "admission/flowtable.h"

#include <algorithm>

namespace samphireswitch::admission {

FlowTable::FlowTable(std::uint64_t hashSeed)
    : m_flows(0, SeededFlowHash {hashSeed})
{
}

Flow *FlowTable::find(const flow::FlowKey &key)
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : &found->second;
}

const Flow *FlowTable::find(const flow::FlowKey &key) const
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : &found->second;
}

Flow &FlowTable::add(const flow::FlowKey &key, FlowKind kind, TimePoint now)
{
    Flow &flow = m_flows[key];
    flow.kind = kind;
    flow.since = now;
    flow.halfOpenPosition = m_halfOpen.insert(m_halfOpen.end(), key);
    m_feeds += kind == FlowKind::Feed ? 1 : 0;
    return flow;
}

void FlowTable::setPhase(Flow &flow, FlowPhase phase)
{
    if (flow.phase == FlowPhase::HalfOpen && phase != FlowPhase::HalfOpen) {
        m_halfOpen.erase(flow.halfOpenPosition);
    }
    flow.phase = phase;
}

void FlowTable::remove(const flow::FlowKey &key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    const Flow &flow = found->second;
    if (flow.phase == FlowPhase::HalfOpen) {
        m_halfOpen.erase(flow.halfOpenPosition);
    }
    m_feeds -= flow.kind == FlowKind::Feed ? 1 : 0;
    m_flows.erase(found);
}

std::size_t FlowTable::size() const
{
    return m_flows.size();
}

std::uint32_t FlowTable::feeds() const
{
    return m_feeds;
}

const flow::FlowKey *FlowTable::oldestHalfOpen() const
{
    return m_halfOpen.empty() ? nullptr : &m_halfOpen.front();
}

std::vector<OwnedFlow> FlowTable::list() const
{
    std::vector<OwnedFlow> flows;
    flows.reserve(m_flows.size());
    for (const auto &[key, flow] : m_flows) {
        flows.push_back({key, flow.kind, flow.phase, flow.since});
    }
    std::sort(flows.begin(), flows.end(), [](const OwnedFlow &left, const OwnedFlow &right) {
        return left.since < right.since;
    });
    return flows;
}

} // namespace samphireswitch::admission
