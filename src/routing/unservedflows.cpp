#include "routing/unservedflows.h"

namespace samphireswitch::routing {

namespace {

// More than twice as long as the longest interval between two retransmissions of a caller.
constexpr std::chrono::milliseconds s_longestPause {4000};

} // namespace

UnservedFlows::UnservedFlows(std::size_t capacity)
    : m_capacity(capacity)
{
}

TimePoint UnservedFlows::firstPacketAt(const flow::FlowKey &key, TimePoint now)
{
    const auto [position, isNew] = m_packets.try_emplace(key, Packets {now, now});
    Packets &packets = position->second;
    if (now - packets.last >= s_longestPause) {
        packets.first = now;
    }
    packets.last = now;
    const TimePoint first = packets.first;
    if (!isNew) {
        return first;
    }
    m_order.push_back(key);
    if (m_order.size() > m_capacity) {
        m_packets.erase(m_order.front());
        m_order.pop_front();
    }
    return first;
}

} // namespace samphireswitch::routing
