#pragma once

#include "admission/demandestimate.h"
#include "admission/ejectionpolicy.h"
#include "admission/flowadmission.h"
#include "admission/flowtable.h"
#include "admission/peerbacklogs.h"
#include "admission/servicemembers.h"
#include "admission/slotoffers.h"
#include "admission/slotpool.h"
#include "admission/slottimeestimates.h"
#include "admission/unownedflows.h"
#include "admission/waitingannouncements.h"
#include "admission/waitingqueue.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <utility>

namespace samphireswitch::admission {

namespace detail {

/** Whether this agent may accept a new flow, and if not, why. Free slots are checked separately. */
enum class Availability {
    Available,
    /** All connections that the service record allows the host are in use. */
    Busy,
    /** The agent has ejected itself, no probe is due, and the limit on ejected members permits the ejection. */
    Ejected,
    /** No service record is known, the record does not name this host, or the host drains or is stopped. */
    NotServing
};

} // namespace detail

/**
 * State and implementation of FlowAdmission. The functions that decide on packets are in flowadmissionpackets.cpp,
 * those on parked packets and slot offers in flowadmissionwaiting.cpp, and all others in flowadmission.cpp.
 */
class FlowAdmission::Private
{
public:
    Private(const AdmissionSettings &settings, const protocol::Candidate &self, std::mt19937_64 randomEngine);

    Actions handle(const Event &event, TimePoint now);
    std::optional<TimePoint> nextTimer() const;

    bool isDraining() const;

    AdmissionSettings m_settings;
    std::mt19937_64 m_randomEngine;
    /** Empty until a service record was received. */
    std::optional<ServiceTerms> m_terms;
    ServiceMembers m_members;
    /** The process was ordered to drain; see DrainOrdered. */
    bool m_stopping = false;
    /** ReportDrained was returned in the current drain. */
    bool m_drainReported = false;

    FlowTable m_flows;
    SlotPool m_slots;
    WaitingQueue m_waiting;
    PeerBacklogs m_peerBacklogs;
    SlotOffers m_offers;
    UnownedFlows m_unowned;
    EjectionPolicy m_ejection;
    SlotTimeEstimates m_times;
    DemandEstimate m_demand;
    /**
     * When the claims of half-open flows to a slot end, in order of acceptance. The entry of a flow stays in the list
     * if its handshake completes or the flow ends before that time.
     */
    std::deque<std::pair<flow::FlowKey, TimePoint>> m_claimEnds;
    /** Requests with a complete handshake that wait for a slot, in the order in which the handshakes completed. */
    std::deque<flow::FlowKey> m_ready;
    WaitingAnnouncements m_announcements;
    AdmissionCounters m_counters;

private:
    void apply(const PacketArrived &packet, TimePoint now, Actions &actions);
    void apply(const HandshakeOffered &event, TimePoint now, Actions &actions);
    void apply(const HandshakeCompleted &event, TimePoint now, Actions &actions);
    void apply(const AnswerStarted &event, TimePoint now, Actions &actions);
    void apply(const UpstreamFinished &event, TimePoint now, Actions &actions);
    void apply(const FlowEnded &event, TimePoint now, Actions &actions);
    void apply(const protocol::Waiting &message, TimePoint now, Actions &actions);
    void apply(const protocol::SlotOffer &message, TimePoint now, Actions &actions);
    void apply(const protocol::OfferDeclined &message, TimePoint now, Actions &actions);
    void apply(const ServiceTermsChanged &event, TimePoint now, Actions &actions);
    void apply(const MembersChanged &event, TimePoint now, Actions &actions);
    void apply(const DrainOrdered &event, TimePoint now, Actions &actions);
    void apply(const TimerExpired &event, TimePoint now, Actions &actions);

    /**
     * Cedes half-open flows, refuses or drops parked packets, and ends offers, holds of slots and claims whose time has
     * come.
     */
    void discardExpired(TimePoint now, Actions &actions);
    /** Drops the claims of half-open flows whose handshake takes too long. The flows stay half open. */
    void endClaims(TimePoint now);
    /** Delivers the packet, and tells the balancer of the owner if the packet did not come here directly. */
    void deliver(const PacketArrived &packet, Actions &actions);
    /** Decides on the first packet of a flow. @p granted is true if the packet answers an open offer of this agent. */
    void handleFirstPacket(const PacketArrived &packet, bool granted, TimePoint now, Actions &actions);
    void handleRequest(const PacketArrived &packet, bool granted, TimePoint now, Actions &actions);
    /**
     * Accepts the feed or passes it on. The envelope visits all candidates, which record the one with the fewest feeds
     * in the header; the last candidate then directs the envelope to that one.
     */
    void handleFeed(const PacketArrived &packet, TimePoint now, Actions &actions);
    /**
     * Passes the packet of a flow that is not owned here to the next agent that may own the flow. If there is none
     * left, the packet is dropped, or reset if the flow has been without an owner for the grace period.
     */
    void handleUnownedPacket(const PacketArrived &packet, TimePoint now, Actions &actions);
    void accept(const PacketArrived &packet, FlowKind kind, TimePoint now, Actions &actions);
    /** Parks the packet, or refuses it if it would wait too long; see canPark(). */
    void park(const PacketArrived &packet, TimePoint now, Actions &actions);
    void pass(protocol::EnvelopeHeader &header, std::size_t hop, Actions &actions);
    /**
     * Passes a first packet to the next candidate that may take new work, if need be to a member that is missing in the
     * chain; returns false if there is none.
     */
    bool passToNextCandidate(protocol::EnvelopeHeader &header, const flow::FlowKey &key, Actions &actions);
    void refuse(const flow::FlowKey &key, Actions &actions);
    void drop(DropReason reason, Actions &actions);
    /** Discards a half-open flow because a packet shows that its handshake does not continue at this agent. */
    void cede(const flow::FlowKey &key, Actions &actions);

    /** Opens the upstream connections of requests with a complete handshake while slots are free. */
    void openReadyUpstreams(TimePoint now, Actions &actions);
    /** Gives free slots to packets that are parked here or at peers; the packet that has waited longest is first. */
    void assignFreeSlots(TimePoint now, Actions &actions);
    /**
     * How many parked packets may be accepted before a slot is free for them, so that handshakes overlap with requests.
     */
    std::uint32_t acceptAheadLimit(TimePoint now) const;
    void acceptOldestParked(TimePoint now, Actions &actions);
    /** Reserves a slot and offers it to the peer for one of the packets that are parked there. */
    void offerSlot(const protocol::Candidate &peer, TimePoint now, Actions &actions);
    /** Ends the reservation of an offered slot; returns false if the offer has expired or is unknown. */
    bool redeemOffer(std::uint64_t offer);
    /** Ends the reservations of all offered slots. */
    void withdrawOffers();
    /**
     * Tells the next peer how many packets are parked here, if an announcement is due. If no packet is parked, corrects
     * the count at the peers that still expect some.
     */
    void announceWaiting(TimePoint now, Actions &actions);
    /** Earliest time at which peers are told of the packet that has waited longest. The queue must not be empty. */
    TimePoint announcementTime() const;
    /**
     * Sends all parked packets to other agents, and refuses those for which no agent is known. Withdraws all offers.
     */
    void handOverAllParked(Actions &actions);
    /** Returns ReportDrained if the host drains and holds neither flows nor parked packets. */
    void reportDrained(Actions &actions);

    /** Adds a half-open flow that claims a slot if it is a request. @p sequence is that of the first packet. */
    Flow &addFlow(const flow::FlowKey &key, FlowKind kind, std::uint32_t sequence, TimePoint now);
    /** Removes the flow, if it is owned, and frees its slot. */
    void removeFlow(const flow::FlowKey &key);
    void dropClaim(Flow &flow);
    /** Frees the slot that a flow occupies or claims. */
    void releaseSlot(const flow::FlowKey &key, Flow &flow);
    /**
     * Adds the time of an answered request to the estimates; holds its slot if the answers come too fast.
     */
    void recordServiceTime(Flow &flow, TimePoint now);
    /** Counts the outcome, updates the ejection and the effective slots, and holds the slot of a failed request. */
    void recordOutcome(Flow &flow, UpstreamOutcome outcome, TimePoint now);

    /**
     * Whether a packet with the key of @p flow belongs to that flow, and not to a new connection with the same ports or
     * to a handshake that another agent offered.
     */
    bool belongsToFlow(const Flow &flow, const PacketArrived &packet) const;
    /** Whether the envelope and the packet are addressed to the service. The service record must be known. */
    bool isForThisService(const PacketArrived &packet) const;
    bool hasFreeConnection() const;
    /** @p ejectedCandidates is the number of candidates that passed the packet on because they are ejected. */
    detail::Availability availability(std::uint8_t ejectedCandidates, TimePoint now) const;
    /** Whether one more packet may be parked: the queue has room, and the expected wait is not too long. */
    bool canPark(TimePoint now) const;
    /** Whether requests arrive faster than the service can serve them, by the factor AdmissionSettings::surgeDemand. */
    bool isSurge(TimePoint now) const;
    /** Slots of all hosts of the service; every host is assumed to have as many as this one. */
    std::size_t serviceSlots() const;
    /** Expected time until a packet that is parked now gets a slot. */
    std::chrono::nanoseconds expectedWait(TimePoint now) const;
    /** Longest time for which a parked packet may wait so that the request is still served within its deadline. */
    std::chrono::nanoseconds maximumWait() const;
};

} // namespace samphireswitch::admission
