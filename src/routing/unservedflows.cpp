#include "routing/unservedflows.h"

namespace samphireswitch::routing {

UnservedFlows::UnservedFlows(std::size_t capacity)
    : m_capacity(capacity)
{
}

TimePoint UnservedFlows::firstPacketAt(const flow::FlowKey &key, TimePoint now)
{
    const auto [position, isNew] = m_firstPackets.try_emplace(key, now);
    if (!isNew) {
        position->second = now - position->second > s_memory ? now : position->second;
        return position->second;
    }
    m_order.push_back(key);
    if (m_order.size() > m_capacity) {
        m_firstPackets.erase(m_order.front());
        m_order.pop_front();
    }
    return now;
}

} // namespace samphireswitch::routing
