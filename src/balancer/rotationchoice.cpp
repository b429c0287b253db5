#include "balancer/rotationchoice.h"

#include <algorithm>
#include <functional>

namespace samphireswitch::balancer {

namespace {

using protocol::MemberRecord;

constexpr std::uint64_t s_bitsPerByte = 8;
// A full packet with its headers. It crosses the link twice, the second time in an envelope.
constexpr std::uint64_t s_bytesPerPacket = 1400;
constexpr std::uint64_t s_linkBitsPerPacket = 2 * s_bytesPerPacket * s_bitsPerByte;
// Order of magnitude of the processor time for a packet; only the ratio between balancers counts.
constexpr std::uint64_t s_processorMicrosecondsPerPacket = 25;
constexpr std::uint64_t s_bitsPerKilobit = 1000;
constexpr std::uint64_t s_microsecondsPerThousandth = 1000;
// A smaller gain is not worth the flows that move, and the rest of the rotation has to keep some room.
constexpr std::uint64_t s_leastGainPercent = 125;
// Time for which a departure has to be due, so that a short absence of another balancer does not cause it.
constexpr std::chrono::seconds s_departureDelay {4};
// A process that starts learns the other balancers within this time.
constexpr std::chrono::seconds s_peerDiscoveryTime {3};

bool isForwarding(const MemberRecord &balancer)
{
    return balancer.state == protocol::MemberState::Active && balancer.liveness == protocol::Liveness::Alive;
}

/** Capacity of the strongest @p count balancers of @p capacities, which are in descending order. */
std::uint64_t rotationCapacity(const std::vector<std::uint64_t> &capacities, std::size_t count)
{
    return count * capacities[count - 1];
}

/** Returns the smallest capacity that stays in rotation; @p capacities must be in descending order. */
std::uint64_t leastCapacityInRotation(const std::vector<std::uint64_t> &capacities, std::size_t leastCount)
{
    std::size_t chosen = capacities.size();
    for (std::size_t count = capacities.size(); count >= leastCount && count > 0; --count) {
        if (rotationCapacity(capacities, count) > rotationCapacity(capacities, chosen)) {
            chosen = count;
        }
    }
    constexpr std::uint64_t percent = 100;
    const std::uint64_t all = rotationCapacity(capacities, capacities.size());
    const bool isGainSufficient = rotationCapacity(capacities, chosen) * percent >= all * s_leastGainPercent;
    return isGainSufficient ? capacities[chosen - 1] : capacities.back();
}

} // namespace

std::optional<std::uint64_t> forwardingCapacity(const MemberRecord &balancer)
{
    std::optional<std::uint64_t> capacity;
    if (balancer.linkRate != 0) {
        capacity = balancer.linkRate * s_bitsPerKilobit / s_linkBitsPerPacket;
    }
    if (balancer.processorShare != 0) {
        const std::uint64_t byProcessor =
            balancer.processorShare * s_microsecondsPerThousandth / s_processorMicrosecondsPerPacket;
        capacity = std::min(capacity.value_or(byProcessor), byProcessor);
    }
    return capacity;
}

bool isInRotation(const MemberRecord &self, const std::vector<MemberRecord> &members)
{
    const auto own = forwardingCapacity(self);
    if (!own) {
        return true;
    }
    std::vector<std::uint64_t> capacities {*own};
    std::size_t known = 1;
    for (const MemberRecord &member : members) {
        if (member.role != protocol::MemberRole::Balancer || member.failureDomain != self.failureDomain) {
            continue;
        }
        ++known;
        if (!isForwarding(member)) {
            continue;
        }
        const auto capacity = forwardingCapacity(member);
        if (!capacity) {
            return true;
        }
        capacities.push_back(*capacity);
    }
    const std::size_t half = (known + 1) / 2;
    if (capacities.size() <= half) {
        return true;
    }
    std::ranges::sort(capacities, std::greater());
    return *own >= leastCapacityInRotation(capacities, half);
}

bool RotationHold::observe(bool wanted, TimePoint now)
{
    m_begun = m_begun.value_or(now);
    if (wanted) {
        m_unwantedSince.reset();
        return true;
    }
    if (!m_unwantedSince) {
        const bool isStarting = now - *m_begun < s_peerDiscoveryTime;
        m_unwantedSince = isStarting ? now - s_departureDelay : now;
    }
    return now - *m_unwantedSince < s_departureDelay;
}

} // namespace samphireswitch::balancer
