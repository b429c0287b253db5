#include "balancer/memberknowledge.h"

#include <algorithm>
#include <span>

namespace samphireswitch::balancer {

namespace {

using membership::MembershipTable;

// Time after a start within which a peer answers the first request for its members.
constexpr std::chrono::milliseconds s_initialSyncTime {100};
// Time after a start during which the directory and the answer of one peer suffice without an equal digest. The
// directory lists an agent within 0.2 s, whereas peers that started at the same time agree only once the states of all
// agents have settled. The directory alone may lack agents, because an entry names agents only if its balancer is one
// of two in its failure domain that list them.
constexpr std::chrono::milliseconds s_directoryTrustTime {2000};
// How long the agreement of a peer counts: three times the interval at which peers send their digests.
constexpr std::chrono::milliseconds s_agreementValidity {1500};
// For this time after an agent was marked as dead, it may merely be unreachable and its flows may still be open.
// Callers give up during longer network partitions.
constexpr std::chrono::seconds s_deadAgentDoubtTime {15};
// An agent that stands still for longer holds no flow any more.
constexpr std::chrono::seconds s_longestFlow {60};
// An agent that nobody has heard from for this time is no more expected than one that died 15 s ago.
constexpr std::chrono::seconds s_reportTime {20};
// Agents that a record of a reset names as absent. Most of the time there is none.
constexpr std::size_t s_describedAgents = 16;
// A balancer that has heard from no other process for this time is assumed to be unable to reach the agents as well.
constexpr std::chrono::milliseconds s_isolationTimeout {2500};

/**
 * Whether the membership table contains every agent that the directory listed when the balancer started. If it listed
 * nothing, or was not read, agents count as known once those that run have had time to report.
 */
bool knowsAgentsAtStart(const CoverageInputs &inputs, const MembershipTable &members, TimePoint now)
{
    const auto &agents = inputs.agentsAtStart;
    if (!agents) {
        return now - inputs.startedAt >= s_reportTime;
    }
    return std::ranges::all_of(*agents, [&members](std::uint64_t id) { return members.find(id) != nullptr; });
}

/** Agents that were found dead at @p time or later, without those whose upstream had left and held no flows. */
std::vector<protocol::MemberRecord> deadAgentsSince(const MembershipTable &members, TimePoint time)
{
    std::vector<protocol::MemberRecord> agents = members.deadAgentsSince(time);
    std::erase_if(agents, protocol::hasUpstreamLeft);
    return agents;
}

/** Whether one of the agents that were found dead may come back, with an upstream that has held its flows meanwhile. */
bool isDeadAgentExpectedBack(const CoverageInputs &inputs, const MembershipTable &members, TimePoint now)
{
    const auto standsStill = [&inputs](const protocol::MemberRecord &agent) {
        return inputs.agentsStandingStill.contains(agent.id);
    };
    // An agent that announced its stop may have an upstream that runs and holds flows. So may one whose machine
    // answers.
    const auto isExpectedBack = [&inputs](const protocol::MemberRecord &agent) {
        return agent.state == protocol::MemberState::Stopping || !inputs.lostAgents.contains(agent.id);
    };
    return std::ranges::any_of(deadAgentsSince(members, now - s_longestFlow), standsStill)
        || std::ranges::any_of(deadAgentsSince(members, now - s_deadAgentDoubtTime), isExpectedBack);
}

} // namespace

bool expectsAbsentAgent(const CoverageInputs &inputs, const MembershipTable &members, TimePoint now)
{
    // The end of an agent need not have been noticed: a balancer that has just started knows of a stop from others
    // only. One that hears from no other balancer does not even know whether the agents that the directory lists have
    // stopped.
    return inputs.isLeaving || !std::ranges::all_of(members.stoppingAgents(), protocol::hasUpstreamLeft)
        || isDeadAgentExpectedBack(inputs, members, now);
}

std::vector<protocol::MemberRecord> silentAgents(const MembershipTable &members, TimePoint now)
{
    std::vector<protocol::MemberRecord> agents = members.suspectAgents();
    const std::vector<protocol::MemberRecord> dead = deadAgentsSince(members, now - s_longestFlow);
    agents.insert(agents.end(), dead.begin(), dead.end());
    return agents;
}

std::string describeAbsentAgents(const MembershipTable &members, TimePoint now)
{
    std::vector<protocol::MemberRecord> agents = silentAgents(members, now);
    const std::vector<protocol::MemberRecord> stopping = members.stoppingAgents();
    agents.insert(agents.end(), stopping.begin(), stopping.end());
    const std::size_t listed = std::min(agents.size(), s_describedAgents);
    std::string text;
    for (const protocol::MemberRecord &agent : std::span(agents).first(listed)) {
        text += (text.empty() ? "" : ", ") + agent.name + ' ';
        text += protocol::stateName(agent.state);
        text += ' ';
        text += protocol::livenessName(agent.liveness);
    }
    return listed < agents.size() ? text + ", ..." : text;
}

routing::Coverage coverageOf(const CoverageInputs &inputs, const MembershipTable &members, TimePoint now)
{
    const auto age = now - inputs.startedAt;
    const bool isRecent = inputs.agreedAt != TimePoint() && now - inputs.agreedAt < s_agreementValidity;
    // While the process stood still, agents may have joined.
    const bool agrees = isRecent && inputs.agreedAt >= inputs.resumedAt;
    const bool hasStoodStill = inputs.resumedAt > inputs.startedAt;
    const bool trustsDirectory = inputs.hasPeerAnswered && !hasStoodStill && age < s_directoryTrustTime;
    const bool trustsMembers = !inputs.isLeaving && (agrees || trustsDirectory);
    if (age < s_initialSyncTime || !trustsMembers || !knowsAgentsAtStart(inputs, members, now)) {
        return routing::Coverage::Partial;
    }
    if (isDeadAgentExpectedBack(inputs, members, now)) {
        return routing::Coverage::Awaiting;
    }
    return deadAgentsSince(members, now - s_deadAgentDoubtTime).empty() ? routing::Coverage::Full
                                                                        : routing::Coverage::Reachable;
}

bool isReady(const ReadinessInputs &inputs)
{
    const bool isConnected = inputs.peersSilentFor < s_isolationTimeout;
    return !inputs.leaving && inputs.isConfigured && inputs.hasMembers && isConnected && inputs.isInRotation;
}

} // namespace samphireswitch::balancer
