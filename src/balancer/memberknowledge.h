#pragma once

#include "base/time.h"
#include "membership/membershiptable.h"
#include "routing/coverage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphireswitch::balancer {

/** Facts from which a balancer derives whether its membership table contains every agent that may own a flow. */
struct CoverageInputs
{
    TimePoint startedAt;
    /**
     * When the digest of a peer last matched the membership table; the epoch of the clock if the newest digest differed
     * or if no peer has sent one.
     */
    TimePoint agreedAt;
    /** Ids of the agents that the directory listed when the balancer started; nothing if it listed no process. */
    std::optional<std::set<std::uint64_t>> agentsAtStart;
    /** Whether the balancer has announced that it leaves; peers then no longer send it records of new agents. */
    bool isLeaving = false;
    /** Whether a peer has answered a request for its members since the start of the balancer. */
    bool hasPeerAnswered = false;
    /** When the process last noticed that it had stood still; the epoch of the clock if it never did. */
    TimePoint resumedAt {};
    /** Ids of the silent agents whose machines answer no connection attempt. */
    std::set<std::uint64_t> lostAgents {};
    /** Ids of the silent agents for which the system accepts connections. */
    std::set<std::uint64_t> agentsStandingStill {};
};

/**
 * Whether an agent that is away may be expected back: one that has announced its stop, one of which only the directory
 * tells, and one that died without a word unless its machine is lost. True for a balancer that leaves, which still
 * receives packets, but whose peers tell it of no stop any more.
 */
bool expectsAbsentAgent(const CoverageInputs &inputs, const membership::MembershipTable &members, TimePoint now);

/** Agents that do not respond, of which it has to be found out whether their machines are lost. */
std::vector<protocol::MemberRecord> silentAgents(const membership::MembershipTable &members, TimePoint now);

/**
 * Names the agents that have announced their stop, do not respond or were found dead in the last minute, with state and
 * liveness: the first ones if there are many. For records of resets.
 */
std::string describeAbsentAgents(const membership::MembershipTable &members, TimePoint now);

/**
 * Returns to what extent @p members includes every agent that may own a flow: Coverage::Partial if an agent may be
 * missing, Coverage::Awaiting if one is stopped for a restart or standing still, Coverage::Reachable if only agents are
 * missing whose machines are lost.
 */
routing::Coverage coverageOf(const CoverageInputs &inputs, const membership::MembershipTable &members, TimePoint now);

/** Facts that decide whether a balancer reports itself as ready to receive packets from the fabric. */
struct ReadinessInputs
{
    bool leaving = false;
    /** Whether a configuration has been received. */
    bool isConfigured = false;
    /** Whether at least one agent accepts new flows. */
    bool hasMembers = false;
    /** Time since the last well-formed datagram of another process. */
    std::chrono::nanoseconds peersSilentFor {0};
    /** Whether the choice among balancers of unequal capacity includes this one. */
    bool isInRotation = true;
};

/**
 * Whether the balancer is configured, has agents, heard from a peer in the last 2.5 s, is not leaving and is part of
 * the rotation.
 */
bool isReady(const ReadinessInputs &inputs);

} // namespace samphireswitch::balancer
