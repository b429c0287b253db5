#include "routing/absenceproof.h"

#include "base/hash.h"
#include "routing/searchparts.h"

#include <algorithm>
#include <span>

namespace samphireswitch::routing {

namespace {

// Longest time from the start of a search to its use as a proof: several times as long as a search takes. An agent that
// was left out and comes back reports to the balancers within this time, and its answer is missing then.
constexpr std::chrono::milliseconds s_proofValidity {1000};
// A stamp that is older than this was made by another process.
constexpr std::chrono::hours s_oldestStamp {1};
// Suspects may be left out of a search only if there are at least this many reachable agents for each suspect. With
// more suspects, the cause is probably the network connection of this balancer.
constexpr std::size_t s_agentsPerSuspect = 2;

struct AgentCounts
{
    std::size_t reachable = 0;
    std::size_t suspects = 0;
    /** Suspects whose machines are lost. */
    std::size_t lost = 0;
};

AgentCounts countAgents(const SearchKnowledge &knowledge)
{
    AgentCounts counts;
    for (const PoolRoute &pool : knowledge.table.pools()) {
        counts.reachable += pool.reachable().size();
        counts.suspects += pool.suspects().size();
        counts.lost += static_cast<std::size_t>(std::ranges::count_if(pool.suspects(), [&](const auto &suspect) {
            return std::ranges::binary_search(knowledge.lost, suspect.agent);
        }));
    }
    return counts;
}

/**
 * Whether asking the reachable agents alone is enough. For a service whose callers may repeat their requests, a suspect
 * whose machine is lost is left out once it did not answer a search. Otherwise callers whose flow was on a lost host
 * would wait until their deadline. Silence alone is no reason: a process that stands still is as silent, and its
 * upstream holds its flows.
 */
bool canOmitSuspects(const SearchKnowledge &knowledge, const ServiceRoute &route, const AgentCounts &counts)
{
    const RoutingTable &table = knowledge.table;
    const bool isOwnerExpectedBack =
        table.hasStoppedAgent() || table.hasUnconfirmedAgent() || counts.lost < counts.suspects;
    const bool isCovered =
        !mayMissOwner(knowledge.coverage) && !isOwnerExpectedBack && counts.reachable <= s_maximumAskedAgents;
    // If many agents stop responding at the same time, this balancer has probably lost its own connection.
    const bool areFew = counts.suspects * s_agentsPerSuspect <= counts.reachable;
    return isCovered && table.isIdempotent(route) && knowledge.failedSearches > 0 && areFew;
}

void append(std::span<const protocol::Candidate> candidates, std::vector<AgentId> &agents)
{
    for (const protocol::Candidate &candidate : candidates) {
        agents.push_back(candidate.agent);
    }
}

} // namespace

AnswersNeeded answersNeeded(const SearchKnowledge &knowledge, const ServiceRoute &route)
{
    const AgentCounts counts = countAgents(knowledge);
    const bool isComplete = knowledge.coverage == Coverage::Full && !knowledge.table.hasStoppedAgent();
    const bool canAskAll = isComplete && counts.reachable + counts.suspects <= s_maximumAskedAgents;
    const bool hasSuspects = counts.suspects > 0;
    if ((hasSuspects || !canAskAll) && canOmitSuspects(knowledge, route, counts)) {
        return AnswersNeeded::OfReachable;
    }
    return canAskAll ? AnswersNeeded::OfAll : AnswersNeeded::Insufficient;
}

std::string_view verdictName(AbsenceVerdict verdict)
{
    switch (verdict) {
    case AbsenceVerdict::Proven:
        return "proven";
    case AbsenceVerdict::Outdated:
        return "outdated";
    case AbsenceVerdict::Insufficient:
        return "insufficient";
    case AbsenceVerdict::AgentJoined:
        return "agent-joined";
    case AbsenceVerdict::PartsMissing:
        return "parts-missing";
    }
    return "unknown";
}

SearchJudge::SearchJudge(const Endpoint &origin, std::uint64_t processKey)
    : m_mask(mixHash(processKey, mixHash(origin.address, origin.port)))
{
}

void SearchJudge::replace(const RoutingTable &table)
{
    std::vector<AgentId> reachable;
    for (const PoolRoute &pool : table.pools()) {
        append(pool.reachable(), reachable);
    }
    std::vector<AgentId> known = reachable;
    for (const PoolRoute &pool : table.pools()) {
        append(pool.suspects(), known);
    }
    update(m_reachable, std::move(reachable));
    update(m_known, std::move(known));
}

void SearchJudge::update(AgentSet &set, std::vector<AgentId> agents)
{
    std::ranges::sort(agents);
    set.version += std::ranges::includes(set.agents, agents) ? 0 : 1;
    // Stamps keep the lower bits only. The version never becomes 0, which stands for a search without suspects.
    set.version = std::max(s_firstVersion, withoutPart({0, set.version, 0}).reachable);
    set.agents = std::move(agents);
}

protocol::SearchStamp SearchJudge::stamp(AnswersNeeded asked, TimePoint now) const
{
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    // Without a version of the suspects, a search that left them out is no proof once they have to be asked.
    const std::uint32_t known = asked == AnswersNeeded::OfReachable ? 0 : m_known.version;
    return {time ^ m_mask, m_reachable.version, known};
}

AbsenceJudgement SearchJudge::judge(const protocol::SearchStamp &stamp,
                                    const SearchKnowledge &knowledge,
                                    const ServiceRoute &route,
                                    TimePoint now) const
{
    AbsenceJudgement judgement {AbsenceVerdict::Outdated,
                                age(stamp, now),
                                stamp.known == 0,
                                countAgents(knowledge).suspects,
                                knowledge.failedSearches};
    if (!judgement.age || *judgement.age > s_proofValidity) {
        return judgement;
    }
    const AnswersNeeded needed = answersNeeded(knowledge, route);
    if (needed == AnswersNeeded::Insufficient) {
        judgement.verdict = AbsenceVerdict::Insufficient;
        return judgement;
    }
    const bool haveAllAnswered = stamp.known == m_known.version;
    const bool haveReachableAnswered = withoutPart(stamp).reachable == m_reachable.version;
    const bool isProven = haveAllAnswered || (haveReachableAnswered && needed == AnswersNeeded::OfReachable);
    judgement.verdict = isProven ? AbsenceVerdict::Proven : AbsenceVerdict::AgentJoined;
    return judgement;
}

std::uint32_t SearchJudge::reachableVersion() const
{
    return m_reachable.version;
}

std::optional<std::chrono::nanoseconds> SearchJudge::age(const protocol::SearchStamp &stamp, TimePoint now) const
{
    const TimePoint begun {TimePoint::duration(static_cast<TimePoint::rep>(stamp.begun ^ m_mask))};
    if (begun > now || begun < now - s_oldestStamp) {
        return std::nullopt;
    }
    return now - begun;
}

} // namespace samphireswitch::routing
