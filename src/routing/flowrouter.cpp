#include "routing/flowrouter.h"

#include "base/hash.h"
#include "routing/candidatechain.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace samphireswitch::routing {

namespace {

// Number of agents in the chain of a first packet. Enough candidates to skip busy hosts and to retransmit twice, while
// each candidate adds 16 bytes to the envelope.
constexpr std::size_t s_firstPacketCandidates = 8;
// Number of candidates at the front of the chain that are in the balancer's failure domain. A first packet visits up to
// four busy agents before one of them keeps it. Two of the four come from all failure domains, so that a busy failure
// domain can use the free capacity of the others.
constexpr std::size_t s_nearbyCandidates = 2;
// Number of agents that a search asks first, because they may have a record of the flow's owner. The owner may be among
// them, and the others suffice then.
constexpr std::size_t s_recordHolders = s_locationCopies + 1;
// Agents that a record of a reset lists of one kind. It stays below a few kilobytes.
constexpr std::size_t s_listedAgents = 64;

std::uint64_t packOrigin(const Endpoint &origin)
{
    return (std::uint64_t {origin.address} << 16U) | origin.port;
}

/**
 * Appends the agents that a new flow is offered to, each once. The first ones are in the balancer's failure domain,
 * because traffic between failure domains adds latency and cost. The others are the highest-ranked of all @p members,
 * because the nearby agents may be busy.
 */
void appendFirstPacketCandidates(const flow::FlowKey &key,
                                 const PoolRoute &pool,
                                 std::span<const protocol::Candidate> members,
                                 protocol::CandidateChain &chain)
{
    const std::size_t begin = chain.size();
    appendRanked(key, pool.nearby(), s_nearbyCandidates, chain);
    const std::size_t nearby = chain.size() - begin;
    appendRanked(key, members, s_firstPacketCandidates, chain);
    const auto offered = std::span(chain).subspan(begin);
    const auto isRepeated = [near = offered.first(nearby)](const protocol::Candidate &candidate) {
        return std::ranges::find(near, candidate) != near.end();
    };
    const auto end = std::remove_if(offered.begin() + static_cast<std::ptrdiff_t>(nearby), offered.end(), isRepeated);
    const auto distinct = static_cast<std::size_t>(end - offered.begin());
    chain.resize(begin + std::min(distinct, s_firstPacketCandidates));
}

/** Appends the addresses of @p agents to @p text, which lists at most s_listedAgents. */
void appendAddresses(std::span<const protocol::Candidate> agents, std::size_t &listed, std::string &text)
{
    for (const protocol::Candidate &agent : agents) {
        if (listed == s_listedAgents) {
            return;
        }
        text += (listed == 0 ? "" : " ") + toString(agent.endpoint);
        ++listed;
    }
}

/** Appends those of @p members that the list does not contain from index @p first on. */
void appendMissing(std::span<const protocol::Candidate> members,
                   std::size_t first,
                   std::vector<protocol::Candidate> &list)
{
    const std::size_t end = list.size();
    for (const protocol::Candidate &member : members) {
        const auto present = std::span(list).subspan(first, end - first);
        if (std::ranges::find(present, member) == present.end()) {
            list.push_back(member);
        }
    }
}

/**
 * Appends the reachable agents of @p pool that record the owner of the flow, then those that a new flow with @p key
 * would be offered to, then the others in the order of the table. Adjacent agents in the table are in the same failure
 * domain, so the search rarely crosses between failure domains.
 */
void appendSearchCandidates(const flow::FlowKey &key, const PoolRoute &pool, std::vector<protocol::Candidate> &list)
{
    const std::size_t first = list.size();
    protocol::CandidateChain holders;
    appendRanked(key, pool.reachable(), s_recordHolders, holders);
    list.insert(list.end(), holders.begin(), holders.end());
    protocol::CandidateChain offered;
    appendFirstPacketCandidates(key, pool, pool.reachable(), offered);
    appendMissing(offered, first, list);
    appendMissing(pool.reachable(), first, list);
}

} // namespace

std::string_view dropReasonName(DropReason reason)
{
    switch (reason) {
    case DropReason::NoTable:
        return "no-table";
    case DropReason::NoService:
        return "no-service";
    case DropReason::NoMember:
        return "no-member";
    case DropReason::Evacuated:
        return "evacuated";
    case DropReason::OwnerAway:
        return "owner-away";
    }
    return "unknown";
}

FlowRouter::FlowRouter(const Endpoint &origin, HintTable hints, std::uint64_t processKey)
    : m_origin(origin)
    , m_hints(std::move(hints))
    , m_judge(origin, processKey)
{
}

RouteDecision FlowRouter::route(const flow::Segment &packet, TimePoint now, SearchMode mode)
{
    if (!m_table) {
        return Drop {DropReason::NoTable};
    }
    // Prefetches the hint: the lookup of the service takes about as long as the memory access to the hint.
    const bool isFirst = packet.isFirstPacket();
    const HintTable::Location hint = isFirst ? HintTable::Location() : m_hints.locate(packet.key);
    const ServiceRoute *route = m_table->find(packet.key.destination);
    if (route == nullptr) {
        return Drop {DropReason::NoService};
    }
    if (!m_table->poolsOf(*route).empty()) {
        return routeToPools(packet, *route, hint, now, mode);
    }
    RouteDecision decision(std::in_place_type<Forward>);
    protocol::EnvelopeHeader &header = std::get<Forward>(decision).header;
    header.service = route->service();
    header.generation = m_table->generation();
    header.origin = m_origin;
    if (isFirst) {
        appendEligible(packet.key, *route, header.chain);
        header.eligible = static_cast<std::uint8_t>(header.chain.size());
    } else if (const protocol::Candidate *owner = hintedOwner(hint, *route)) {
        header.chain.push_back(*owner);
    } else {
        appendEligible(packet.key, *route, header.chain);
        header.eligible = static_cast<std::uint8_t>(header.chain.size());
        appendOthers(*route, header.chain);
    }
    if (header.chain.empty()) {
        decision = Drop {DropReason::NoMember};
    }
    return decision;
}

void FlowRouter::learn(const protocol::OwnerHint &hint, TimePoint now)
{
    if (!m_table || m_table->find(hint.key.destination) == nullptr) {
        ++m_counters.hintsRejected;
        return;
    }
    m_hints.insert(hint.key, hint.owner.agent);
    m_searches.finish(hint.key, now);
    ++m_counters.hintsLearned;
}

void FlowRouter::abandonSearch(const flow::FlowKey &key)
{
    m_searches.cancel(key);
}

std::uint64_t FlowRouter::nextSearchId(TimePoint now)
{
    // The origin distinguishes balancers. The time distinguishes this process from the one before a restart, which also
    // counted from 1.
    ++m_lastSearch;
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t identity = mixHash(mixHash(m_lastSearch, packOrigin(m_origin)), time);
    return identity == 0 ? 1 : identity;
}

AbsenceJudgement FlowRouter::judgeAbsence(const protocol::SearchEnded &ended, TimePoint now)
{
    const protocol::SearchStamp &stamp = ended.search.stamp;
    const bool haveAllEnded = m_endedParts.ended(ended);
    const ServiceRoute *route = m_table ? m_table->find(ended.flow.destination) : nullptr;
    if (route == nullptr || m_table->poolsOf(*route).empty()) {
        AbsenceJudgement judgement;
        judgement.verdict = AbsenceVerdict::Insufficient;
        judgement.age = m_judge.age(stamp, now);
        return judgement;
    }
    const SearchKnowledge knowledge = knowledgeOf(m_searches.failedSearches(ended.flow, now));
    AbsenceJudgement judgement = m_judge.judge(stamp, knowledge, *route, now);
    if (haveAllEnded && judgement.verdict == AbsenceVerdict::Insufficient) {
        m_denied.denied(ended.flow, stamp.reachable, {}, now);
    }
    if (judgement.verdict == AbsenceVerdict::Proven && !haveAllEnded) {
        judgement.verdict = AbsenceVerdict::PartsMissing;
    }
    return judgement;
}

bool FlowRouter::knowsOwner(const flow::FlowKey &key) const
{
    const auto match = m_hints.find(m_hints.locate(key));
    if (!match || !m_table) {
        return false;
    }
    const PoolAgent *agent = m_table->agentInPools(match->agent);
    return agent != nullptr && !agent->isSuspect;
}

KnownAgents FlowRouter::knownAgents(const flow::FlowKey &key) const
{
    KnownAgents known;
    std::size_t reachable = 0;
    std::size_t suspects = 0;
    std::size_t stopped = 0;
    for (const PoolRoute &pool : m_table ? m_table->pools() : std::span<const PoolRoute>()) {
        appendAddresses(pool.reachable(), reachable, known.reachable);
        appendAddresses(pool.suspects(), suspects, known.suspects);
        appendAddresses(pool.stopped(), stopped, known.stopped);
    }
    const auto match = m_hints.find(m_hints.locate(key));
    if (match && m_table) {
        const PoolAgent *agent = m_table->agentInPools(match->agent);
        known.hinted = agent == nullptr ? "unknown" : toString(agent->candidate.endpoint);
    }
    return known;
}

bool FlowRouter::expectsAbsentAgent() const
{
    return m_absent.expectsReturn || (m_table && m_table->hasStoppedAgent());
}

bool FlowRouter::hasHint(const flow::FlowKey &key) const
{
    return m_hints.find(m_hints.locate(key)).has_value();
}

void FlowRouter::setCoverage(Coverage coverage)
{
    m_coverage = coverage;
}

void FlowRouter::setAbsentAgents(AbsentAgents agents)
{
    m_absent = std::move(agents);
    std::ranges::sort(m_absent.lost);
}

void FlowRouter::replace(std::shared_ptr<const RoutingTable> table)
{
    m_table = std::move(table);
    m_judge.replace(*m_table);
}

const std::shared_ptr<const RoutingTable> &FlowRouter::table() const
{
    return m_table;
}

const FlowRouterCounters &FlowRouter::counters() const
{
    return m_counters;
}

const LatencyHistogram &FlowRouter::searchTimes() const
{
    return m_searches.searchTimes();
}

const HintTable &FlowRouter::hints() const
{
    return m_hints;
}

RouteDecision FlowRouter::routeToPools(const flow::Segment &packet,
                                       const ServiceRoute &route,
                                       const HintTable::Location &hint,
                                       TimePoint now,
                                       SearchMode mode)
{
    RouteDecision decision(std::in_place_type<Forward>);
    protocol::EnvelopeHeader &header = std::get<Forward>(decision).header;
    header.generation = m_table->generation();
    header.origin = m_origin;
    const auto pools = m_table->poolsOf(route);
    const auto picked = pickByWeight(packet.key, pools);
    if (!picked) {
        return Drop {DropReason::NoMember};
    }
    const PoolRoute &pool = m_table->pools()[pools[*picked].pool];
    header.service = pool.service();
    if (packet.isFirstPacket()) {
        buildFirstPacketChain(packet, pool, now, header.chain);
        header.eligible = static_cast<std::uint8_t>(header.chain.size());
    } else {
        // Also set if a hint names the owner: if the hint is wrong, the agent passes the packet on as a search.
        header.search = nextSearchId(now);
        const PoolAgent *owner = hintedAgent(hint);
        if (owner != nullptr && !owner->isSuspect) {
            header.chain.push_back(owner->candidate);
        } else if (mode == SearchMode::OncePerFlow && m_searches.isAnswerExpected(packet.key, now)) {
            return AwaitOwner {};
        } else {
            const protocol::Candidate *hinted = owner == nullptr ? nullptr : &owner->candidate;
            auto &forward = std::get<Forward>(decision);
            forward.unansweredSearches = buildSearch(packet, route, hinted, now, forward);
            forward.isIncompleteSearch = mayMissOwner(m_coverage);
            forward.isSearch = true;
            ++m_counters.searches;
            m_counters.searchesRepeated += forward.unansweredSearches > 0 ? 1 : 0;
            if (header.chain.size() == 1) {
                m_searches.cancel(packet.key);
            }
        }
    }
    if (header.chain.empty() && !packet.isFirstPacket() && isDenied(packet.key, now)) {
        return Drop {DropReason::OwnerAway};
    }
    if (header.chain.empty()) {
        // With partial coverage, agents elsewhere may not be known yet.
        const bool isEvacuated = packet.isFirstPacket() && pool.isEvacuated() && m_coverage != Coverage::Partial;
        return Drop {isEvacuated ? DropReason::Evacuated : DropReason::NoMember};
    }
    return decision;
}

void FlowRouter::buildFirstPacketChain(const flow::Segment &packet,
                                       const PoolRoute &pool,
                                       TimePoint now,
                                       protocol::CandidateChain &chain)
{
    // A suspect may still accept flows, which is better than dropping the packet.
    const auto members = pool.eligible().empty() ? pool.lastResorts() : pool.eligible();
    appendFirstPacketCandidates(packet.key, pool, members, chain);
    if (chain.empty()) {
        return;
    }
    if (packet.synRetransmissions == 0) {
        m_silence.recordFirstPacket(chain.front().agent, now);
    } else {
        ++m_counters.repeatedFirstPackets;
        const std::size_t previous = (packet.synRetransmissions - 1) % chain.size();
        m_counters.agentsSilenced += m_silence.recordRepeatedFirstPacket(chain[previous].agent, now) ? 1 : 0;
        const auto next = static_cast<std::ptrdiff_t>(packet.synRetransmissions % chain.size());
        std::rotate(chain.begin(), chain.begin() + next, chain.end());
    }
    std::stable_partition(chain.begin(), chain.end(), [this, now](const protocol::Candidate &candidate) {
        return !m_silence.isSilent(candidate.agent, now);
    });
    m_hints.insert(packet.key, chain.front().agent);
}

std::uint32_t FlowRouter::buildSearch(const flow::Segment &packet,
                                      const ServiceRoute &route,
                                      const protocol::Candidate *hinted,
                                      TimePoint now,
                                      Forward &forward)
{
    const std::uint32_t failedSearches = m_searches.begin(packet.key, now);
    protocol::EnvelopeHeader &header = forward.header;
    protocol::CandidateChain &chain = header.chain;
    listReachable(packet.key, route, failedSearches);
    protocol::CandidateChain suspects = rankSuspects(packet.key, hinted);
    const AnswersNeeded needed = answersNeeded(knowledgeOf(failedSearches), route);
    const protocol::SearchStamp stamp = m_judge.stamp(needed, now);
    const bool isDeniedBefore = needed == AnswersNeeded::Insufficient && isDenied(packet.key, now);
    if (isDeniedBefore) {
        m_asked = m_denied.undecided(now);
        // The last agent is not to add those that have denied the flow.
        header.extended = true;
    } else {
        m_denied.searchBegan(packet.key, m_judge.reachableVersion(), now);
    }
    if (needed == AnswersNeeded::OfReachable) {
        divide(stamp, forward);
        return failedSearches;
    }
    if (hinted != nullptr && failedSearches == 0 && m_asked.size() < chain.capacity()) {
        // Because the chain has further candidates, the suspect answers with a hint if it still owns the flow.
        chain.push_back(*hinted);
        chain.insert(chain.end(), m_asked.begin(), m_asked.end());
        return failedSearches;
    }
    if (!suspects.empty()) {
        // A suspect that does not respond delays the search, so each repeated search starts with another suspect.
        std::rotate(suspects.begin(), suspects.begin() + failedSearches % suspects.size(), suspects.end());
    }
    m_asked.insert(m_asked.end(), suspects.begin(), suspects.end());
    if (needed == AnswersNeeded::OfAll) {
        // The search is exhaustive although it asks suspects: a suspect that passes the packet on is alive.
        header.allowsTrial = !expectsAbsentAgent();
        divide(stamp, forward);
        return failedSearches;
    }
    for (const PoolRoute &pool : m_table->pools()) {
        protocol::CandidateChain stopped;
        appendRanked(packet.key, pool.stopped(), stopped.capacity(), stopped);
        m_asked.insert(m_asked.end(), stopped.begin(), stopped.end());
    }
    if (m_coverage != Coverage::Partial && !isDeniedBefore && m_asked.size() <= s_maximumAskedAgents) {
        // All agents are known, so that the last one has nobody to add. It tells this balancer of the end.
        divide(stamp, forward);
        return failedSearches;
    }
    m_asked.resize(std::min(m_asked.size(), chain.capacity()));
    chain.assign(m_asked.begin(), m_asked.end());
    return failedSearches;
}

bool FlowRouter::isDenied(const flow::FlowKey &key, TimePoint now) const
{
    return m_coverage != Coverage::Partial && m_denied.isDenied(key, m_judge.reachableVersion(), now);
}

void FlowRouter::searchUnanswered(const flow::FlowKey &key, const protocol::EnvelopeHeader &repeated, TimePoint now)
{
    if (repeated.located != AgentId {}) {
        // An agent has named the owner, so that the agents behind it were not asked.
        return;
    }
    // The others, stopped agents and suspects, are asked by each search until they are back. The version of the
    // reachable agents rises then, and the denial is void.
    std::vector<protocol::Candidate> reachable;
    for (const PoolRoute &pool : m_table ? m_table->pools() : std::span<const PoolRoute>()) {
        std::ranges::copy_if(repeated.chain, std::back_inserter(reachable), [&pool](const protocol::Candidate &agent) {
            return std::ranges::find(pool.reachable(), agent) != pool.reachable().end();
        });
    }
    m_denied.denied(key, {}, reachable, now);
}

void FlowRouter::listReachable(const flow::FlowKey &key, const ServiceRoute &route, std::uint32_t failedSearches)
{
    m_asked.clear();
    const auto pools = m_table->poolsOf(route);
    const auto isOfService = [&](std::size_t pool) {
        return std::ranges::find(pools, pool, &WeightedPool::pool) != pools.end();
    };
    const auto all = m_table->pools();
    for (const bool ofService : {true, false}) {
        for (std::size_t pool = 0; pool < all.size(); ++pool) {
            if (isOfService(pool) == ofService) {
                appendSearchCandidates(key, all[pool], m_asked);
            }
        }
    }
    if (failedSearches % 2 == 1) {
        const std::size_t holders = std::min(m_asked.size(), s_recordHolders);
        std::reverse(m_asked.begin() + static_cast<std::ptrdiff_t>(holders), m_asked.end());
    }
}

void FlowRouter::divide(const protocol::SearchStamp &stamp, Forward &forward) const
{
    const std::vector<protocol::CandidateChain> chains = divideSearch(m_asked);
    if (chains.empty()) {
        return;
    }
    const auto count = static_cast<std::uint8_t>(chains.size());
    const protocol::EnvelopeHeader common = forward.header;
    for (std::uint8_t index = 0; index < count; ++index) {
        protocol::EnvelopeHeader &part = index == 0 ? forward.header : forward.furtherParts.emplace_back(common);
        part.chain = chains[index];
        part.exhaustive = {withPart(stamp, {index, count}), {}};
        // The last agent of one part knows nothing of the answers in the others.
        part.allowsTrial = common.allowsTrial && count == 1;
    }
}

protocol::CandidateChain FlowRouter::rankSuspects(const flow::FlowKey &key, const protocol::Candidate *hinted) const
{
    protocol::CandidateChain suspects;
    for (const PoolRoute &pool : m_table->pools()) {
        appendRanked(key, pool.suspects(), suspects.capacity(), suspects);
    }
    if (hinted != nullptr) {
        const auto found = std::ranges::find(suspects, *hinted);
        if (found != suspects.end()) {
            std::rotate(suspects.begin(), found, found + 1);
        }
    }
    return suspects;
}

SearchKnowledge FlowRouter::knowledgeOf(std::uint32_t failedSearches) const
{
    return {*m_table, m_coverage, failedSearches, m_absent.lost};
}

const PoolAgent *FlowRouter::hintedAgent(const HintTable::Location &hint)
{
    const auto match = m_hints.find(hint);
    if (!match) {
        return nullptr;
    }
    const PoolAgent *agent = m_table->agentInPools(match->agent);
    if (agent == nullptr) {
        ++m_counters.hintsStale;
        return nullptr;
    }
    m_hints.markUsed(*match);
    ++m_counters.hintsUsed;
    return agent;
}

const protocol::Candidate *FlowRouter::hintedOwner(const HintTable::Location &hint, const ServiceRoute &route)
{
    const auto match = m_hints.find(hint);
    if (!match) {
        return nullptr;
    }
    for (const protocol::Candidate &member : route.members()) {
        if (HintTable::tagOf(member.agent) != match->agent) {
            continue;
        }
        m_hints.markUsed(*match);
        ++m_counters.hintsUsed;
        return &member;
    }
    ++m_counters.hintsStale;
    return nullptr;
}

} // namespace samphireswitch::routing
