#include "passthrough/heldfirstpackets.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

// Callers repeat a first packet 200 ms and 600 ms after the first one and give up after 1.4 s. A held packet is dropped
// 10 ms before its caller repeats it or gives up, so that the next copy does not meet the earlier one.
constexpr std::array<std::chrono::milliseconds, 3> s_ageOfCopy {0ms, 200ms, 600ms};
constexpr std::array<std::chrono::milliseconds, 3> s_holdTime {190ms, 390ms, 790ms};
// Time from the first copy after which a caller gives up.
constexpr std::chrono::milliseconds s_callerPatience {1400};

std::size_t copyIndex(const flow::Segment &packet)
{
    return std::min<std::size_t>(packet.synRetransmissions, s_holdTime.size() - 1);
}

} // namespace

std::optional<HeldFirstPacket> HeldFirstPackets::hold(const protocol::EnvelopeHeader &header,
                                                      const flow::Segment &packet,
                                                      const RequestTerms &terms,
                                                      TimePoint now)
{
    std::erase_if(m_packets, [&packet](const HeldFirstPacket &held) { return held.packet.key == packet.key; });
    const HeldFirstPacket arriving {header, packet, terms, startOf(packet, now), now};
    if (m_packets.size() == s_capacity) {
        expire(now);
    }
    auto displaced = m_packets.size() == s_capacity ? makeRoom(arriving) : std::nullopt;
    m_displaced += displaced ? 1 : 0;
    if (m_packets.size() < s_capacity) {
        const auto position = std::ranges::upper_bound(m_packets, arriving.startedAt, {}, &HeldFirstPacket::startedAt);
        m_packets.insert(position, arriving);
    }
    return displaced;
}

std::optional<HeldFirstPacket> HeldFirstPackets::makeRoom(const HeldFirstPacket &arriving)
{
    auto sizes = sizeByPriority();
    ++sizes[arriving.terms.priority];
    const auto exceedsPlaces = [](const auto &size) { return size.second > s_reservedPlaces; };
    const auto lowest = std::find_if(sizes.rbegin(), sizes.rend(), exceedsPlaces);
    const std::uint8_t priority = lowest == sizes.rend() ? sizes.rbegin()->first : lowest->first;
    const bool gaveWay = priority != sizes.begin()->first;
    const auto oldest =
        std::ranges::find(m_packets, priority, [](const HeldFirstPacket &held) { return held.terms.priority; });
    if (oldest == m_packets.end()) {
        return arriving;
    }
    auto dropped = gaveWay ? std::optional(*oldest) : std::nullopt;
    m_packets.erase(oldest);
    return dropped;
}

bool HeldFirstPackets::canWait(const flow::Segment &packet,
                               const RequestTerms &terms,
                               std::chrono::nanoseconds wait,
                               TimePoint now)
{
    const TimePoint startedAt = startOf(packet, now);
    const TimePoint end = now + std::chrono::duration_cast<TimePoint::duration>(wait);
    return end < startedAt + s_callerPatience && !terms.isPastDeadline(startedAt, end);
}

std::optional<HeldFirstPacket> HeldFirstPackets::takeNext(TimePoint now)
{
    expire(now);
    if (m_packets.empty()) {
        return std::nullopt;
    }
    std::vector<std::uint8_t> waiting;
    for (const auto &[priority, count] : sizeByPriority()) {
        waiting.push_back(priority);
    }
    const QueueTurn turn = m_turns.next(waiting);
    auto position = next(turn.priority, turn.prefersLate ? Group::Late : Group::OnTime, now);
    if (position == m_packets.end()) {
        position = next(turn.priority, turn.prefersLate ? Group::OnTime : Group::Late, now);
    }
    const HeldFirstPacket taken = *position;
    m_waitingTimes.record(now - taken.arrivedAt);
    m_packets.erase(position);
    return taken;
}

std::size_t HeldFirstPackets::turnsBefore(const flow::Segment &packet, const RequestTerms &terms, TimePoint now) const
{
    const TimePoint startedAt = startOf(packet, now);
    const Group group = groupOf(terms, startedAt, now);
    std::size_t higher = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    for (const HeldFirstPacket &held : m_packets) {
        if (held.packet.key == packet.key || held.terms.priority > terms.priority) {
            continue;
        }
        if (held.terms.priority < terms.priority) {
            ++higher;
            continue;
        }
        const bool isOnTime = groupOf(held.terms, held.startedAt, now) == Group::OnTime;
        onTime += isOnTime && (group == Group::Late || held.startedAt > startedAt) ? 1 : 0;
        late += !isOnTime && group == Group::Late && held.startedAt <= startedAt ? 1 : 0;
    }
    // The turns reserved for late requests, and those shared with lower priorities, may serve the packet earlier.
    const std::size_t own =
        group == Group::Late ? std::min(onTime + late, (late + 1) * PriorityTurns::s_turnsPerLateTurn - 1) : onTime;
    auto sizes = sizeByPriority();
    ++sizes[terms.priority];
    const std::size_t lowerPriorities = std::max<std::size_t>(sizes.size(), 2) - 1;
    return std::min(higher + own, (own + 1) * lowerPriorities * PriorityTurns::s_turnsPerSharedTurn - 1);
}

TimePoint HeldFirstPackets::startOf(const flow::Segment &packet, TimePoint now)
{
    return now - s_ageOfCopy[copyIndex(packet)];
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

bool HeldFirstPackets::contains(const flow::FlowKey &key) const
{
    return std::ranges::any_of(m_packets, [&key](const HeldFirstPacket &held) { return held.packet.key == key; });
}

const LatencyHistogram &HeldFirstPackets::waitingTimes() const
{
    return m_waitingTimes;
}

std::map<std::uint8_t, std::size_t> HeldFirstPackets::sizeByPriority() const
{
    std::map<std::uint8_t, std::size_t> sizes;
    for (const HeldFirstPacket &held : m_packets) {
        ++sizes[held.terms.priority];
    }
    return sizes;
}

std::uint64_t HeldFirstPackets::displaced() const
{
    return m_displaced;
}

HeldFirstPackets::Group HeldFirstPackets::groupOf(const RequestTerms &terms, TimePoint startedAt, TimePoint now)
{
    return terms.isOnTime(startedAt, now) ? Group::OnTime : Group::Late;
}

HeldFirstPackets::Packets::const_iterator
HeldFirstPackets::next(std::uint8_t priority, Group group, TimePoint now) const
{
    const auto isCandidate = [&](const HeldFirstPacket &held) {
        return held.terms.priority == priority && groupOf(held.terms, held.startedAt, now) == group;
    };
    if (group == Group::Late) {
        return std::ranges::find_if(m_packets, isCandidate);
    }
    const auto newest = std::find_if(m_packets.rbegin(), m_packets.rend(), isCandidate);
    return newest == m_packets.rend() ? m_packets.end() : std::prev(newest.base());
}

} // namespace samphireswitch::passthrough
