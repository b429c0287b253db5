#include "passthrough/heldfirstpackets.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

// Callers repeat a first packet 200 ms and 600 ms after the first one and give up after 1.4 s. A packet is given up a
// little earlier, so that the copy does not find it.
constexpr std::array<std::chrono::milliseconds, 3> s_ageOfCopy {0ms, 200ms, 600ms};
constexpr std::array<std::chrono::milliseconds, 3> s_patience {190ms, 390ms, 790ms};
constexpr std::uint64_t s_turnsPerOldest = 4;

std::size_t copyIndex(const flow::Segment &packet)
{
    return std::min<std::size_t>(packet.earlierCopies, s_patience.size() - 1);
}

} // namespace

void HeldFirstPackets::hold(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    const auto same = std::ranges::find(m_packets, packet.key, [](const auto &held) { return held.packet.key; });
    if (same != m_packets.end()) {
        m_packets.erase(same);
    }
    if (m_packets.size() == s_capacity) {
        erase(0);
    }
    const HeldFirstPacket held {header, packet, now - s_ageOfCopy[copyIndex(packet)], now};
    const auto position = std::ranges::upper_bound(m_packets, held.startedAt, {}, &HeldFirstPacket::startedAt);
    m_packets.insert(position, held);
}

std::optional<HeldFirstPacket> HeldFirstPackets::takeNext(TimePoint now)
{
    expire(now);
    if (m_packets.empty()) {
        return std::nullopt;
    }
    ++m_taken;
    const std::size_t index = m_taken % s_turnsPerOldest == 0 ? 0 : m_packets.size() - 1;
    const HeldFirstPacket next = m_packets[index];
    erase(index);
    return next;
}

void HeldFirstPackets::expire(TimePoint now)
{
    std::erase_if(m_packets, [now](const HeldFirstPacket &held) {
        return now - held.arrivedAt >= s_patience[copyIndex(held.packet)];
    });
}

std::size_t HeldFirstPackets::size() const
{
    return m_packets.size();
}

void HeldFirstPackets::erase(std::size_t index)
{
    m_packets.erase(m_packets.begin() + static_cast<std::ptrdiff_t>(index));
}

} // namespace samphireswitch::passthrough
