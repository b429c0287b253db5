#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "flow/segment.h"
#include "protocol/messages.h"
#include "routing/absenceproof.h"
#include "routing/coverage.h"
#include "routing/deniedflows.h"
#include "routing/hinttable.h"
#include "routing/recentsearches.h"
#include "routing/routingtable.h"
#include "routing/searchparts.h"
#include "routing/silencedetector.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphireswitch::routing {

/** Why FlowRouter::route() dropped a packet. */
enum class DropReason : std::uint8_t {
    /** The router has no routing table yet. */
    NoTable,
    /** No service, or more than one, has the packet's destination address and port. */
    NoService,
    /** The service has no agent that may accept the flow or own it. */
    NoMember,
    /** The agents that could accept the new flow are in evacuated failure domains. */
    Evacuated,
    /** All agents that respond have denied the flow, and the one that may own it is expected back. */
    OwnerAway,
};

/** The name of @p reason in logs, such as "no-member". */
std::string_view dropReasonName(DropReason reason);

/** Routing decision: send the packet, in an envelope with this header, to the agent header.chain[header.hop]. */
struct Forward
{
    protocol::EnvelopeHeader header;
    /** Headers of further copies of the packet: the other parts of a search over more agents than a chain holds. */
    std::vector<protocol::EnvelopeHeader> furtherParts;
    /**
     * Whether the packet starts a search while coverage is partial. Such a search may miss the owner and cannot prove
     * that the flow has none, so the caller should repeat the search when coverage improves.
     */
    bool isIncompleteSearch = false;
    /** Whether the packet is sent to find the owner of its flow, which is not known. */
    bool isSearch = false;
    /** Number of recent searches for the owner of the flow that no agent answered. */
    std::uint32_t unansweredSearches = 0;
};

/** Routing decision: discard the packet. */
struct Drop
{
    DropReason reason = DropReason::NoTable;
};

/**
 * Routing decision: a search for the owner of the flow is in progress. The packet should be queued until the owner is
 * known or the search times out; see PacketsAwaitingOwner.
 */
struct AwaitOwner
{
};

/** Which packets of a flow without a known owner are sent from agent to agent to find the owner. */
enum class SearchMode : std::uint8_t {
    /** One packet per flow; route() returns AwaitOwner for further packets while an answer is expected. */
    OncePerFlow,
    /** Every packet, even while another search for the same flow is in progress. */
    EveryPacket,
};

using RouteDecision = std::variant<Forward, Drop, AwaitOwner>;

/** The agents that a FlowRouter knows, as texts for the record of a reset. */
struct KnownAgents
{
    /** Addresses, separated by spaces; the first ones if there are many. */
    std::string reachable;
    std::string suspects;
    std::string stopped;
    /** The agent that a hint for the flow names, or `unknown` if it is in no pool; empty without a hint. */
    std::string hinted;
};

/** Event counts of a FlowRouter since its construction. */
struct FlowRouterCounters
{
    /** Hints that learn() stored. */
    std::uint64_t hintsLearned = 0;
    /** Hints that learn() ignored because no service has the destination address and port of the flow. */
    std::uint64_t hintsRejected = 0;
    /** Lookups whose hint named an agent in the routing table. */
    std::uint64_t hintsUsed = 0;
    /** Lookups whose hint named an agent that is no longer in the routing table, or not a member of the service. */
    std::uint64_t hintsStale = 0;
    /** First packets that the caller retransmitted because no agent had answered the previous copy. */
    std::uint64_t repeatedFirstPackets = 0;
    /** How often the silence detector changed the state of an agent to silent. */
    std::uint64_t agentsSilenced = 0;
    /** Packets that were sent to find the owner of their flow, because no hint named an agent that responds. */
    std::uint64_t searches = 0;
    /** Searches that followed an unanswered search for the owner of the same flow. */
    std::uint64_t searchesRepeated = 0;
};

/**
 * Chooses, for each packet that a balancer receives, the agents that the packet is offered to and their order.
 *
 * After construction, the router allocates memory only to count first packets of an agent that it has not counted
 * before, and for searches.
 *
 * For a service with members of its own, a hint is looked up among the members that the current table has for the
 * packet's destination. An outdated or forged hint therefore cannot direct a packet to another service.
 *
 * Not thread-safe.
 */
class FlowRouter
{
public:
    /**
     * @p origin is the data address of the balancer, to which agents send hints. @p processKey is a number that no
     * other process has, so that searches of an earlier process at the same address are not taken for those of this
     * one.
     */
    FlowRouter(const Endpoint &origin, HintTable hints, std::uint64_t processKey = 0);

    /**
     * Decides what happens to @p packet, which arrived at @p now.
     *
     * The first packet of a flow is offered to the eligible members of the service. Any other packet is sent to the
     * agent that a hint names as the owner. Without a hint, it is offered to the eligible members and then to the
     * members that take no new work.
     *
     * For an address that is served by pools, agents deliver a packet other than a first packet only if they own its
     * flow. A packet without a hint therefore starts a search over the agents of all pools, so that an open flow stays
     * with its upstream after the service was moved to another pool. Further packets of the flow wait for the answer,
     * unless @p mode is SearchMode::EveryPacket. For a first packet, the router stores its first candidate as a hint;
     * when the caller retransmits the first packet, the router starts with the next candidate.
     *
     * Returns Drop if there is no table, no service at the destination, or no candidate.
     */
    RouteDecision route(const flow::Segment &packet, TimePoint now, SearchMode mode = SearchMode::OncePerFlow);

    /**
     * Stores @p hint and ends the search for its flow. The hint is ignored if no service has the destination of the
     * flow. The agent that the hint names need not be in the routing table yet.
     */
    void learn(const protocol::OwnerHint &hint, TimePoint now);

    /**
     * Forgets the searches for the owner of the flow, because the last one was given up before every agent was asked.
     */
    void abandonSearch(const flow::FlowKey &key);

    /**
     * A search for the owner of the flow came back, to be repeated with @p repeated: the agents in its chain could not
     * tell, or did not acknowledge the packet. All others have denied the flow, unless an agent has named the owner.
     */
    void searchUnanswered(const flow::FlowKey &key, const protocol::EnvelopeHeader &repeated, TimePoint now);

    /** Judges at @p now an exhaustive search that every agent has answered. */
    AbsenceJudgement judgeAbsence(const protocol::SearchEnded &ended, TimePoint now);

    /**
     * Returns an identifier for a new search, which is never 0. It is a hash, so that identifiers of other balancers,
     * and of this balancer before a restart, are different with high probability.
     */
    std::uint64_t nextSearchId(TimePoint now);

    /**
     * Whether a hint names the owner of the flow and this agent is in a pool and not suspect, so no search is needed.
     */
    bool knowsOwner(const flow::FlowKey &key) const;

    /** Whether a hint for the flow is stored. The agent that the hint names may have left since. */
    bool hasHint(const flow::FlowKey &key) const;

    /** All agents of the routing table, and the one that is hinted for the flow. */
    KnownAgents knownAgents(const flow::FlowKey &key) const;

    /** Whether an agent that is away is expected back, which may own a flow that all others deny. */
    bool expectsAbsentAgent() const;

    /** Sets the coverage of the routing table; it is partial until the first call. */
    void setCoverage(Coverage coverage);

    /** Sets what is known of the agents that do not respond. */
    void setAbsentAgents(AbsentAgents agents);

    /** Makes @p table the routing table of all further decisions. Stored hints remain valid. */
    void replace(std::shared_ptr<const RoutingTable> table);

    const std::shared_ptr<const RoutingTable> &table() const;
    const FlowRouterCounters &counters() const;
    const HintTable &hints() const;
    /** Times from the start of a search for the owner of a flow to the hint that answered it. */
    const LatencyHistogram &searchTimes() const;

private:
    /** Decides about a packet whose destination is served by pools; see route(). */
    RouteDecision routeToPools(const flow::Segment &packet,
                               const ServiceRoute &route,
                               const HintTable::Location &hint,
                               TimePoint now,
                               SearchMode mode);
    /**
     * Fills @p chain for a first packet with eligible agents of @p pool, or with suspects if no agent is eligible.
     * Agents that the silence detector reports as silent come last.
     */
    void buildFirstPacketChain(const flow::Segment &packet,
                               const PoolRoute &pool,
                               TimePoint now,
                               protocol::CandidateChain &chain);
    /**
     * Fills the headers of @p forward with the agents that may own the flow: first the agents that record its owner,
     * then those that new flows of the key would be offered to, then the others grouped by failure domain. @p hinted is
     * a suspect that a hint names, or null. Returns the number of earlier searches for the flow that failed.
     */
    std::uint32_t buildSearch(const flow::Segment &packet,
                              const ServiceRoute &route,
                              const protocol::Candidate *hinted,
                              TimePoint now,
                              Forward &forward);
    /**
     * Lists the reachable agents in m_asked, in the order in which a search asks them. Every second search asks those
     * after the holders of records in reverse order, because a silent agent delays those after it.
     */
    void listReachable(const flow::FlowKey &key, const ServiceRoute &route, std::uint32_t failedSearches);
    /** Whether the agents that could tell have denied the flow, so that only the others need to be asked. */
    bool isDenied(const flow::FlowKey &key, TimePoint now) const;
    /** Makes @p forward an exhaustive search over the agents in m_asked, in as many parts as are needed. */
    void divide(const protocol::SearchStamp &stamp, Forward &forward) const;
    /**
     * Returns the suspects of all pools in rendezvous order, with @p hinted, if it is among them, moved to the front.
     */
    protocol::CandidateChain rankSuspects(const flow::FlowKey &key, const protocol::Candidate *hinted) const;
    SearchKnowledge knowledgeOf(std::uint32_t failedSearches) const;
    /** Returns the agent that @p hint names, in whichever pool it is, or null if there is no such hint or agent. */
    const PoolAgent *hintedAgent(const HintTable::Location &hint);
    /** Returns the agent that @p hint names if it is a member of @p route, otherwise null. */
    const protocol::Candidate *hintedOwner(const HintTable::Location &hint, const ServiceRoute &route);

    Endpoint m_origin;
    HintTable m_hints;
    SilenceDetector m_silence;
    RecentSearches m_searches;
    SearchJudge m_judge;
    EndedParts m_endedParts;
    DeniedFlows m_denied;
    /** The agents of the search that is being built; a member so that its memory is used again. */
    std::vector<protocol::Candidate> m_asked;
    std::uint64_t m_lastSearch = 0;
    std::shared_ptr<const RoutingTable> m_table;
    Coverage m_coverage = Coverage::Partial;
    /** The lost agents are in ascending order. */
    AbsentAgents m_absent;
    FlowRouterCounters m_counters;
};

} // namespace samphireswitch::routing
