#include "agent/parkedpackets.h"

#include <utility>

namespace samphireswitch::agent {

namespace {

/**
 * Maximum number of stored packets. Exceeds the number of packets that can be waiting on one host within a deadline of
 * a few seconds.
 */
constexpr std::size_t s_maximumPackets = 4096;

/** Maximum size of a stored packet in bytes. A first packet has headers and options but rarely data. */
constexpr std::size_t s_maximumPacketSize = 1500;

} // namespace

bool ParkedPackets::store(const flow::FlowKey &key, std::span<const std::byte> packet)
{
    if (packet.size() > s_maximumPacketSize || m_packets.size() >= s_maximumPackets) {
        return false;
    }
    m_packets.insert_or_assign(key, std::vector<std::byte>(packet.begin(), packet.end()));
    return true;
}

std::vector<std::byte> ParkedPackets::take(const flow::FlowKey &key)
{
    const auto found = m_packets.find(key);
    if (found == m_packets.end()) {
        return {};
    }
    std::vector<std::byte> packet = std::move(found->second);
    m_packets.erase(found);
    return packet;
}

void ParkedPackets::retain(const std::function<bool(const flow::FlowKey &)> &isNeeded)
{
    std::erase_if(m_packets, [&isNeeded](const auto &stored) { return !isNeeded(stored.first); });
}

std::size_t ParkedPackets::size() const
{
    return m_packets.size();
}

} // namespace samphireswitch::agent
