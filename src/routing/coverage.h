#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace samphireswitch::routing {

/** How completely a routing table lists the agents that may own a flow. */
enum class Coverage : std::uint8_t {
    /** An agent may be unknown to this balancer. */
    Partial,
    /** Every agent is known, but one that stopped, or stands still, is expected back. */
    Awaiting,
    /**
     * Every reachable agent is known. Some agents recently stopped responding and were declared dead, but they may be
     * alive behind a network partition.
     */
    Reachable,
    /** Every agent is known, and none of them is missing. */
    Full,
};

/** Whether agents that do not respond, or are not known, may own a flow that all others deny. */
constexpr bool mayMissOwner(Coverage coverage)
{
    return coverage == Coverage::Partial || coverage == Coverage::Awaiting;
}

/** Returns the name of @p coverage that log events contain. */
constexpr std::string_view coverageName(Coverage coverage)
{
    switch (coverage) {
    case Coverage::Partial:
        return "partial";
    case Coverage::Awaiting:
        return "awaiting";
    case Coverage::Reachable:
        return "reachable";
    case Coverage::Full:
        return "full";
    }
    return "unknown";
}

/** What is known of agents that do not respond. */
struct AbsentAgents
{
    /** Agents whose machines answer no connection attempt. */
    std::vector<AgentId> lost;
    /** Whether an agent that is away may be expected back. Until then its flows must not be looked for elsewhere. */
    bool expectsReturn = false;

    bool operator==(const AbsentAgents &) const = default;
};

} // namespace samphireswitch::routing
