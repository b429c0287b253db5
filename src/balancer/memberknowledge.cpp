#include "balancer/memberknowledge.h"

#include <algorithm>

namespace samphireswitch::balancer {

namespace {

using membership::MembershipTable;

// A peer answers the first request for its members within this time.
constexpr std::chrono::milliseconds s_completeTime {100};
// For this long after a start the directory alone is trusted: entries name an agent within 0.2 s. Peers that started at
// the same time agree only when the states of all agents have settled.
constexpr std::chrono::milliseconds s_directoryTrustTime {2000};
// Three times the interval in which peers tell what they know.
constexpr std::chrono::milliseconds s_agreementTime {1500};
// An agent that was found dead may only be cut off, and its flows may live; longer cuts outlast the callers' patience.
constexpr std::chrono::seconds s_deadDoubtTime {15};
// A balancer that hears from no other process cannot reach the agents either.
constexpr std::chrono::milliseconds s_isolationTime {2500};

/** Whether every agent is known that was there when the balancer started. */
bool knowsAgentsAtStart(const MemberKnowledge &knowledge, const MembershipTable &members)
{
    const auto &agents = knowledge.agentsAtStart;
    return agents && std::ranges::all_of(*agents, [&members](std::uint64_t id) { return members.find(id) != nullptr; });
}

} // namespace

routing::Coverage coverageOf(const MemberKnowledge &knowledge, const MembershipTable &members, TimePoint now)
{
    const auto age = now - knowledge.startedAt;
    const bool agrees = knowledge.agreedAt != TimePoint() && now - knowledge.agreedAt < s_agreementTime;
    const bool trustsMembers = !knowledge.isLeaving && (agrees || age < s_directoryTrustTime);
    if (age < s_completeTime || !trustsMembers || !knowsAgentsAtStart(knowledge, members)) {
        return routing::Coverage::Partial;
    }
    switch (members.agentDeathsSince(now - s_deadDoubtTime)) {
    case MembershipTable::Deaths::None:
        return routing::Coverage::Full;
    case MembershipTable::Deaths::OfServing:
        return routing::Coverage::Reachable;
    case MembershipTable::Deaths::OfStopping:
        break;
    }
    return routing::Coverage::Partial;
}

bool isReady(const ReadinessInputs &inputs)
{
    const bool isConnected = inputs.peersSilentFor < s_isolationTime;
    return !inputs.leaving && inputs.isConfigured && inputs.hasMembers && isConnected;
}

} // namespace samphireswitch::balancer
