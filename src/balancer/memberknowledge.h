#pragma once

#include "base/time.h"
#include "membership/membershiptable.h"
#include "routing/coverage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace samphireswitch::balancer {

/** What a balancer knows of the agents, and how it came to know it. */
struct MemberKnowledge
{
    TimePoint startedAt;
    /** When a peer last had the same members; the epoch if the last one to tell had others. */
    TimePoint agreedAt;
    /** The agents that the directory named at the start; nothing if it was not read. */
    std::optional<std::set<std::uint64_t>> agentsAtStart;
    /** Peers do not tell a balancer that leaves of new agents. */
    bool isLeaving = false;
};

/** How far the agents in @p members are all that may own a flow. */
routing::Coverage
coverageOf(const MemberKnowledge &knowledge, const membership::MembershipTable &members, TimePoint now);

/** What decides whether a balancer asks the fabric for packets. */
struct ReadinessInputs
{
    bool leaving = false;
    bool isConfigured = false;
    /** At least one agent takes new flows. */
    bool hasMembers = false;
    /** Time since another process was last heard from. */
    std::chrono::nanoseconds peersSilentFor {0};
};

bool isReady(const ReadinessInputs &inputs);

} // namespace samphireswitch::balancer
