#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "protocol/messages.h"
#include "routing/coverage.h"
#include "routing/routingtable.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace samphireswitch::routing {

/*
 * The rule by which a flow counts as having no owner, after which its caller is reset. A balancer begins an exhaustive
 * search, which every agent that may own the flow has to answer, and the search ends at the same balancer. The answers
 * prove something only about the moments in which they were given: a search may wait in the socket of a process that
 * stands still, while an agent that it left out comes back. So the balancer judges the search when it ends, by its own
 * clock and by the agents that it has learned of since.
 */

/** Which agents have to answer that they do not own a flow before it counts as having no owner. */
enum class AnswersNeeded : std::uint8_t {
    /** No answers suffice, because an agent may be unknown or is expected back. */
    Insufficient,
    /** The agents that forward packets, because the machines of the others are lost. */
    OfReachable,
    /** The agents that forward packets and the suspects. */
    OfAll,
};

/** What a balancer knows when it begins or ends a search. */
struct SearchKnowledge
{
    const RoutingTable &table;
    Coverage coverage = Coverage::Partial;
    /** Number of recent searches for the owner of the flow that no agent answered. */
    std::uint32_t failedSearches = 0;
    /** Suspects whose machines answer no connection attempt, in ascending order. */
    std::span<const AgentId> lost {};
};

/** Which answers are needed for a flow of the service @p route, whose destination is served by pools. */
AnswersNeeded answersNeeded(const SearchKnowledge &knowledge, const ServiceRoute &route);

/** Whether a search that ended without an owner proves that the flow has none. */
enum class AbsenceVerdict : std::uint8_t {
    Proven,
    /** The search began too long ago, or at another process. */
    Outdated,
    /** The balancer does not know all agents any more that may own the flow. */
    Insufficient,
    /** An agent that may own the flow has joined, or came back, since the search began. */
    AgentJoined,
    /** Other parts of the search have not ended. */
    PartsMissing,
};

/** Number of values of AbsenceVerdict. */
constexpr std::size_t s_absenceVerdictCount = static_cast<std::size_t>(AbsenceVerdict::PartsMissing) + 1;

/** Returns the name of @p verdict in logs and metrics. */
std::string_view verdictName(AbsenceVerdict verdict);

/** An AbsenceVerdict with the age of the search, for the log. */
struct AbsenceJudgement
{
    AbsenceVerdict verdict = AbsenceVerdict::Outdated;
    /** Time since the search began; nothing if this process did not begin it. */
    std::optional<std::chrono::nanoseconds> age;
    /** Whether the search left out the suspects. */
    bool omitsSuspects = false;
    /** Number of suspects when the search ended. */
    std::size_t suspects = 0;
    /** Number of recent searches for the owner of the flow that no agent answered. */
    std::uint32_t failedSearches = 0;
};

/** Stamps the searches of one balancer, and judges them when they end. */
class SearchJudge
{
public:
    /** @p origin is the data address of the balancer, and @p processKey a number that no other process has. */
    SearchJudge(const Endpoint &origin, std::uint64_t processKey);

    /** Takes the agents of @p table, the routing table from now on, into account. */
    void replace(const RoutingTable &table);

    /** The stamp of a search that begins at @p now, and that asks the agents of @p asked. */
    protocol::SearchStamp stamp(AnswersNeeded asked, TimePoint now) const;

    /** Judges at @p now an exhaustive search with @p stamp that ended for a flow of the service @p route. */
    AbsenceJudgement judge(const protocol::SearchStamp &stamp,
                           const SearchKnowledge &knowledge,
                           const ServiceRoute &route,
                           TimePoint now) const;

    /** Version of the set of the reachable agents. It rises when an agent joins or comes back, also a suspect. */
    std::uint32_t reachableVersion() const;

    /** The time since the search with @p stamp began; nothing if another process began it. */
    std::optional<std::chrono::nanoseconds> age(const protocol::SearchStamp &stamp, TimePoint now) const;

private:
    static constexpr std::uint32_t s_firstVersion = 1;

    /** A set of agents, and a version that rises with each agent that is added to it. */
    struct AgentSet
    {
        std::vector<AgentId> agents;
        std::uint32_t version = s_firstVersion;
    };

    /** Replaces the agents, and raises the version if @p agents contains one that the set did not contain. */
    static void update(AgentSet &set, std::vector<AgentId> agents);

    std::uint64_t m_mask;
    AgentSet m_reachable;
    /** The reachable agents and the suspects. */
    AgentSet m_known;
};

} // namespace samphireswitch::routing
