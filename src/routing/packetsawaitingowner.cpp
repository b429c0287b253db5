#include "routing/packetsawaitingowner.h"

#include <iterator>
#include <utility>

namespace samphireswitch::routing {

PacketsAwaitingOwner::PacketsAwaitingOwner(const AwaitingOwnerSettings &settings)
    : m_settings(settings)
{
}

bool PacketsAwaitingOwner::keep(const flow::FlowKey &key, std::span<const std::byte> packet, TimePoint now)
{
    if (m_packets >= m_settings.capacity) {
        return false;
    }
    Waiting &waiting = m_flows.try_emplace(key, Waiting {now, {}}).first->second;
    waiting.packets.emplace_back(packet.begin(), packet.end());
    ++m_packets;
    return true;
}

bool PacketsAwaitingOwner::empty() const
{
    return m_flows.empty();
}

std::vector<PacketsAwaitingOwner::Packet> PacketsAwaitingOwner::take(const flow::FlowKey &key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return {};
    }
    std::vector<Packet> packets = std::move(found->second.packets);
    m_packets -= packets.size();
    m_flows.erase(found);
    return packets;
}

std::vector<PacketsAwaitingOwner::Packet> PacketsAwaitingOwner::takeExpired(TimePoint now)
{
    std::vector<Packet> expired;
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        const auto current = position++;
        if (now - current->second.since < m_settings.maximumAge) {
            continue;
        }
        auto &packets = current->second.packets;
        m_packets -= packets.size();
        std::move(packets.begin(), packets.end(), std::back_inserter(expired));
        m_flows.erase(current);
    }
    return expired;
}

} // namespace samphireswitch::routing
