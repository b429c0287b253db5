#include "passthrough/heldfirstpackets.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

// Callers repeat a first packet 200 ms and 600 ms after the first one and give up after 1.4 s. A held packet is dropped
// 10 ms before its caller repeats it or gives up, so that the next copy does not meet the earlier one.
constexpr std::array<std::chrono::milliseconds, 3> s_ageOfCopy {0ms, 200ms, 600ms};
constexpr std::array<std::chrono::milliseconds, 3> s_holdTime {190ms, 390ms, 790ms};
// Time from the first copy after which a caller gives up.
constexpr std::chrono::milliseconds s_callerPatience {1400};
// One of this many turns goes to a late request, because a late answer is still of some use to its caller.
constexpr std::uint64_t s_turnsPerLateTurn = 8;

std::size_t copyIndex(const flow::Segment &packet)
{
    return std::min<std::size_t>(packet.synRetransmissions, s_holdTime.size() - 1);
}

} // namespace

void HeldFirstPackets::hold(const protocol::EnvelopeHeader &header,
                            const flow::Segment &packet,
                            const RequestTerms &terms,
                            TimePoint now)
{
    std::erase_if(m_packets, [&packet](const HeldFirstPacket &held) { return held.packet.key == packet.key; });
    if (m_packets.size() == s_capacity) {
        m_packets.erase(m_packets.begin());
    }
    const HeldFirstPacket held {header, packet, terms, now - s_ageOfCopy[copyIndex(packet)], now};
    const auto position = std::ranges::upper_bound(m_packets, held.startedAt, {}, &HeldFirstPacket::startedAt);
    m_packets.insert(position, held);
}

bool HeldFirstPackets::canWait(const flow::Segment &packet,
                               const RequestTerms &terms,
                               std::chrono::nanoseconds wait,
                               TimePoint now)
{
    const TimePoint startedAt = now - s_ageOfCopy[copyIndex(packet)];
    const TimePoint end = now + std::chrono::duration_cast<TimePoint::duration>(wait);
    return end < startedAt + s_callerPatience && !terms.isPastDeadline(startedAt, end);
}

std::optional<HeldFirstPacket> HeldFirstPackets::takeNext(TimePoint now)
{
    expire(now);
    if (m_packets.empty()) {
        return std::nullopt;
    }
    ++m_taken;
    const bool isTurnOfLate = m_taken % s_turnsPerLateTurn == 0;
    auto position = next(isTurnOfLate ? Group::Late : Group::OnTime, now);
    if (position == m_packets.end()) {
        position = next(isTurnOfLate ? Group::OnTime : Group::Late, now);
    }
    const HeldFirstPacket taken = *position;
    m_waitingTimes.record(now - taken.arrivedAt);
    m_packets.erase(position);
    return taken;
}

void HeldFirstPackets::expire(TimePoint now)
{
    std::erase_if(m_packets, [now](const HeldFirstPacket &held) {
        return now - held.arrivedAt >= s_holdTime[copyIndex(held.packet)]
            || held.terms.isPastDeadline(held.startedAt, now);
    });
}

std::size_t HeldFirstPackets::size() const
{
    return m_packets.size();
}

const LatencyHistogram &HeldFirstPackets::waitingTimes() const
{
    return m_waitingTimes;
}

HeldFirstPackets::Packets::const_iterator HeldFirstPackets::next(Group group, TimePoint now) const
{
    auto best = m_packets.end();
    for (auto position = m_packets.begin(); position != m_packets.end(); ++position) {
        const Group own = position->terms.isOnTime(position->startedAt, now) ? Group::OnTime : Group::Late;
        if (own != group) {
            continue;
        }
        if (best == m_packets.end() || position->terms.priority < best->terms.priority
            || (group == Group::OnTime && position->terms.priority == best->terms.priority)) {
            best = position;
        }
    }
    return best;
}

} // namespace samphireswitch::passthrough
