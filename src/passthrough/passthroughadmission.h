#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "flow/segment.h"
#include "passthrough/decision.h"
#include "passthrough/flowknowledge.h"
#include "passthrough/handledsearches.h"
#include "passthrough/locationannouncer.h"
#include "passthrough/locationrecords.h"
#include "passthrough/newflowadmission.h"
#include "passthrough/searchpeers.h"
#include "passthrough/storedflows.h"
#include "passthrough/upstreamstate.h"
#include "protocol/messages.h"

#include <array>
#include <cstdint>
#include <vector>

namespace samphireswitch::passthrough {

/** Identity of an agent, and the settings of the components of its PassthroughAdmission. */
struct PassthroughSettings
{
    AgentId agent;
    /** Address on which this agent receives envelopes. */
    Endpoint dataAddress;
    /** The store lists the runs that got flows: a run gets new flows only once it is listed; see RunLedger. */
    bool recordsServedRuns = false;
    /**
     * The settings say that the whole system starts. Peers are not asked for records then until the upstream has shown
     * that it ran before. No proof that the upstream holds no flow: the settings may be those of an earlier start.
     */
    bool startsEmpty = false;
    TrackerSettings tracker;
    RegistrationSettings registration;
    UpstreamSilenceSettings silence;
    BusyComparison busyComparison = BusyComparison::Load;
    UpstreamPaceSettings pace;
    LocationRecordSettings locationRecords;
    LocationAnnouncerSettings locationAnnouncer;
};

/** Counts of the decisions that a PassthroughAdmission has made since its construction. */
struct PassthroughCounters
{
    /** Number of decisions by cause; the index is the value of Cause. */
    std::array<std::uint64_t, s_causeCount> decisions {};
};

/**
 * Decision logic of an agent in passthrough mode, in which the upstream itself terminates the callers' connections.
 * Decides which packets belong to flows of the upstream, which new flows the upstream gets, and where all other packets
 * go. Has no socket, clock or thread of its own; the code that uses this class passes the current time and performs the
 * decisions.
 *
 * The upstream gets a packet in three cases: it holds the flow, it accepts a new flow, or the agent has evidence that
 * it holds the flow, which the agent does not know since it has restarted: a record of the flow, or the denial of every
 * other agent. The upstream returns a packet whose flow it does not hold. Without evidence it gets none: any number of
 * copies of a packet may be under way, and some may arrive when the flow has been served, so that packets of an open
 * flow would reach others and not its own.
 */
class PassthroughAdmission
{
public:
    /** @p now is the start of the agent. */
    PassthroughAdmission(const PassthroughSettings &settings, TimePoint now);

    /** Decides on a packet of a caller that arrived in an envelope with @p header. */
    Decision packetArrived(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);

    /**
     * Decides on a packet that was passed to another agent with @p header, after that agent did not acknowledge the
     * packet: the search skips the silent agent.
     */
    Decision agentSilent(protocol::EnvelopeHeader header, const flow::Segment &packet);

    /**
     * Decides on a packet that the upstream sent to a caller, or that it returned because it does not hold the flow or
     * does not accept the new one.
     */
    Decision upstreamSent(const flow::Segment &packet, TimePoint now);

    /**
     * Applies a report or a departure of the upstream. The report of a new run ends no flow: it may be a delayed one,
     * or of another writer. The upstream tells itself, by the packets that it returns, which flows it has lost.
     */
    RegistrationOutcome upstreamReported(const UpstreamMessage &message, TimePoint now);

    /**
     * The operating system reported that no process listens at the upstream's address when a packet was sent there. All
     * flows of the upstream are lost, and takeResets() returns the resets for their callers. The upstream holds no
     * other flow, not even one from before the start of this agent.
     */
    void upstreamRefused(TimePoint now);

    /**
     * The upstream had announced its exit to an earlier run of this agent, @p age before @p now. Without effect if it
     * has reported to this one.
     */
    void upstreamHadLeft(Clock::duration age, TimePoint now);

    /** Whether the upstream has announced its exit, to this run of the agent or to an earlier one, and not reported
     * since. */
    bool hasUpstreamLeft() const;

    /**
     * Decides on a packet that was handed to the upstream with @p mark and refused, after upstreamRefused(). Drops the
     * packet if no header has this mark.
     */
    Decision deliveryRefused(std::uint32_t mark, const flow::Segment &packet, TimePoint now);

    /**
     * Sets the agents of the upstream's pool, to which searches can be extended and which record the owners of each
     * other's flows. May contain this agent itself.
     */
    void setPeers(std::vector<Peer> peers);

    /** Stores records of another agent's flows, or records of this agent's flows that a peer returned to it. */
    void locationsReceived(const protocol::LocationRecords &message, TimePoint now);

    /**
     * Takes over the flows that an earlier process of this agent has kept in the store. Without effect if the table is
     * complete, or if the upstream has reported another run than theirs.
     */
    void storedFlowsRead(const StoredFlows &stored, TimePoint now);

    /** Takes over the list of served runs that the store had after the start of this process. */
    void earlierRunsRead(const ServedRuns &earlier, TimePoint now);

    /** The store has the list @p recorded. */
    void runsRecorded(const ServedRuns &recorded);

    /** The list of served runs that the store should have; see RunLedger::listToRecord(). */
    std::optional<ServedRuns> runsToRecord() const;

    /** The open flows to keep in the store: those that have been open for a while, as most flows end soon. */
    StoredFlows flowsToStore(TimePoint now) const;

    /**
     * Returns the records of the flows of the agent that sent @p request: one message at least, so that it has an
     * answer. The agent has started, so that this agent's flows are announced to it again.
     */
    std::vector<LocationMessage> locationsRequested(const protocol::LocationRequest &request);

    /** Returns the messages by which this agent passes on the records of other agents' flows before it stops. */
    std::vector<LocationMessage> handOverLocations() const;

    /** Returns the messages about the owners of flows that are due. Call this function after each batch of packets. */
    std::vector<LocationMessage> takeLocationMessages(TimePoint now);

    /** Sets the addresses that the upstream may serve according to the latest configuration that this agent has. */
    void setServed(ServedDestinations served);

    /**
     * Returns the next held first packet if a slot is free. Call this function repeatedly until it returns nothing. If
     * the upstream cannot accept the packet any more, for instance because its address is no longer served, the packet
     * is dropped and nothing is returned, although further packets may wait.
     */
    std::optional<ReleasedPacket> releaseHeld(TimePoint now);

    /** Removes and returns the pending resets for callers whose flows were lost with a run of the upstream. */
    std::vector<ResetCaller> takeResets();

    /** Stops accepting new flows for good. */
    void stopAccepting();

    /** Removes expired flows and held packets. Call this function about once a second. */
    void expire(TimePoint now);

    /** Whether the upstream runs and is ready, and the agent was not stopped. A new flow also needs a free slot. */
    bool acceptsNewFlows(TimePoint now) const;

    const UpstreamRegistration &registration() const;
    const FlowTracker &tracker() const;
    const HeldFirstPackets &held() const;
    const NewFlowAdmission &newFlows() const;
    const LocationRecords &locations() const;
    const PassthroughCounters &counters() const;
    /** Whether the flow table contains every flow that the upstream holds. Not so for some time after a restart. */
    const FlowKnowledge &knowledge() const;
    /** Whether the upstream refused a packet and has shown no sign of life since. */
    bool isUpstreamDown() const;
    /**
     * Whether no upstream runs beside this agent, and none has reported since its start; see
     * FlowKnowledge::restsOnAbsence().
     */
    bool isUpstreamAbsent() const;

private:
    Decision decide(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    Decision otherPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    Decision ownedPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    /** Decides on a packet that the upstream returned. @p header is that of its envelope, or null if it is not known.
     */
    Decision returnedPacket(const flow::Segment &packet, const protocol::EnvelopeHeader *header, TimePoint now);
    /**
     * Decides on a packet whose flow is not in the table, or is half-open there without the packet acknowledging the
     * upstream's SYN+ACK. The upstream can hold the flow only if it began before the start of this agent.
     */
    Decision untrackedPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    /** Decides on a packet of a flow that the upstream does not hold. */
    Decision notOwnedPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    /**
     * Decides on a packet of a flow that the upstream may or may not hold. It goes to the upstream only if every other
     * agent that may own the flow has denied it; see routing::isOnlyPossibleOwner().
     */
    Decision unknownPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    /**
     * Whether this agent has already handled the search in the same turn. Records the turn if it has not. Always false
     * for a packet without a search identity.
     */
    bool wasHandled(const protocol::EnvelopeHeader &header, TimePoint now);
    /** Whether a location record, here or at the agent that sent the packet, names this agent as the flow's owner. */
    bool isLocatedHere(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now) const;
    /** Hands a packet whose flow is located here to the upstream, which returns it if it does not hold the flow. */
    Decision deliverLocated(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);
    /** The delivery of a packet that the upstream returns if it does not hold the flow, to which @p cause led. */
    DeliverToUpstream
    handOver(const protocol::EnvelopeHeader &header, const flow::Segment &packet, Cause cause, TimePoint now);
    /** Passes a packet to the next agent that may own its flow, which this agent does not own because of @p denial. */
    Decision passOtherPacket(protocol::EnvelopeHeader header,
                             const flow::Segment &packet,
                             protocol::OwnershipDenial denial,
                             TimePoint now);
    /** Why the upstream does not hold a flow that is not in the table, or is marked there as not owned. */
    protocol::OwnershipDenial denial() const;
    /**
     * Makes the recorded owner of the flow the agent that the search asks next. Returns nothing if there is no such
     * record, or if it names this agent or one that neither the balancer nor this agent knows as a member. If the owner
     * does not acknowledge packets, the search waits for it instead of asking agents that do not own the flow.
     */
    std::optional<Decision> redirect(protocol::EnvelopeHeader header, const flow::Segment &packet, TimePoint now) const;
    /** Stored flows of the run of @p report show that an earlier process has served it. */
    void compareWithStoredFlows(const UpstreamReport &report);
    /** Forgets the flows of an earlier run than the one of @p report. */
    void dropStoredFlowsOfOtherRun(const UpstreamReport &report);
    /** Whether the upstream holds the flow, or held it before the start of this agent according to the records. */
    bool ownsFlow(const flow::FlowKey &key, TimePoint now) const;
    /** Passes a packet to the agent at the current hop of its search, or ends the search if no agent is left. */
    Decision continueSearch(protocol::EnvelopeHeader header, const flow::Segment &packet, Cause cause);
    /**
     * Decides on a packet for which no agent is left in the chain. If every agent of an exhaustive search has answered,
     * the answers are returned to the balancer, which decides whether the flow has no owner, unless the packet is a
     * reset. Otherwise the search is extended to the peers, or returned to the balancer to be repeated for the agents
     * that did not acknowledge, or the packet is dropped.
     */
    Decision endSearch(protocol::EnvelopeHeader header, const flow::Segment &packet, Cause cause);
    Decision reset(const flow::FlowKey &callerKey, std::uint32_t sequenceNumber, Cause cause);
    /**
     * Withdraws the certainty about the flow table if @p packet, which the upstream sent, shows an open flow that the
     * table lacks.
     */
    void checkKnowledge(const flow::Segment &packet, TimePoint now);
    /** Takes an announced exit into account, if it is of the current run or of one that the store lists. */
    void departureAnnounced(const UpstreamDeparture &departure, RegistrationOutcome outcome, TimePoint now);
    /** An upstream runs: the table does not count as complete because there is none. */
    void withdrawAbsence(TimePoint now);
    /** The first report of a run that this agent gets has arrived; @p hadRun tells whether another one has reported
     * before. */
    void runBegan(bool hadRun, TimePoint now);
    /** Takes the flow table for complete, or withdraws this, by what the ledger of runs shows. */
    void judgeRuns(TimePoint now);
    /** The upstream has shown that the run whose packet was refused goes on: its flows are not lost. */
    void runGoesOn(TimePoint now);
    /** The table may lack flows, so that the peers' records are needed. */
    void withdrawKnowledge(TimePoint now);
    /** Marks all flows as lost and adds the resets for their callers. */
    void markFlowsLost();
    protocol::Candidate self() const;

    PassthroughSettings m_settings;
    UpstreamState m_upstream;
    NewFlowAdmission m_newFlows;
    HandledSearches m_handledSearches;
    LocationRecords m_locations;
    LocationAnnouncer m_announcer;
    /** The flows that an earlier process has kept in the store, until the upstream tells its run. */
    StoredFlows m_stored;
    std::vector<ResetCaller> m_resets;
    SearchPeers m_peers;
    PassthroughCounters m_counters;
    FlowKnowledge m_knowledge;
};

} // namespace samphireswitch::passthrough
