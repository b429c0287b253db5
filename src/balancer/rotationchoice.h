#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::balancer {

/**
 * Number of packets a second that the machine of @p balancer can forward, by the rate of its link and its processor
 * share. Nothing if its record tells neither.
 */
std::optional<std::uint64_t> forwardingCapacity(const protocol::MemberRecord &balancer);

/**
 * Whether the balancer @p self should take packets of the fabric, which spreads flows evenly over the balancers of a
 * failure domain that are in rotation. A rotation can therefore carry as much as its weakest member times its size.
 * The strongest balancers that together carry the most stay in rotation. If the others would add nothing, they leave
 * it and their flows are served by stronger machines.
 *
 * @p members holds the other processes that are known. At least half of the balancers of the failure domain that are
 * known, also those that do not run, stay in rotation, because the fabric ignores readiness with fewer. Balancers of
 * equal capacity, and those in a failure domain where a capacity is unknown, all stay. All processes with the same
 * records choose the same rotation.
 */
bool isInRotation(const protocol::MemberRecord &self, const std::vector<protocol::MemberRecord> &members);

/**
 * Delays the departure from a rotation until it has been due for some time, because each change of the rotation moves
 * flows to other balancers. A return has no delay, and neither has a departure soon after the start: the records of the
 * other balancers have just arrived then, and flows have hardly come. Belongs to one thread.
 */
class RotationHold
{
public:
    /** Returns whether to be in rotation at @p now, where @p wanted is the result of isInRotation(). */
    bool observe(bool wanted, TimePoint now);

private:
    std::optional<TimePoint> m_begun;
    std::optional<TimePoint> m_unwantedSince;
};

} // namespace samphireswitch::balancer
