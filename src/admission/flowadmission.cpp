#include "admission/flowadmission.h"

#include "admission/demandestimate.h"
#include "admission/ejectionpolicy.h"
#include "admission/fastanswerdetector.h"
#include "admission/flowtable.h"
#include "admission/peerwaiters.h"
#include "admission/servicetimeestimate.h"
#include "admission/slotoffers.h"
#include "admission/slotpool.h"
#include "admission/unownedflows.h"
#include "admission/waitingannouncements.h"
#include "admission/waitingqueue.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>

namespace samphireswitch::admission {

namespace {

/** Value of EnvelopeHeader::leastFeeds when no candidate so far has a free connection. */
constexpr std::uint32_t s_noFeedCandidate = std::numeric_limits<std::uint32_t>::max();

/** Announcements that a peer may miss before its waiting packets are forgotten. */
constexpr int s_missedAnnouncements = 3;

/** How long a packet may wait if the service's record names no deadline. */
constexpr std::chrono::seconds s_waitWithoutDeadline {30};

/**
 * A parked packet whose deadline passed longer ago than this is dropped without an answer: the process was not running,
 * and the caller has tried another agent in the meantime.
 */
constexpr std::chrono::milliseconds s_latestRefusal {50};

/** Why a first packet is not accepted here. */
enum class Obstacle { None, Busy, Ejected, NotServing };

bool contains(const protocol::CandidateChain &chain, AgentId agent)
{
    return std::any_of(
        chain.begin(), chain.end(), [agent](const protocol::Candidate &candidate) { return candidate.agent == agent; });
}

/** Bounds of the time for which a half-open flow claims a slot, and its multiple of the mean handshake time. */
constexpr std::chrono::milliseconds s_shortestClaim {50};
constexpr std::chrono::milliseconds s_longestClaim {500};
constexpr int s_claimHandshakes = 4;

/** A request that has run for so many typical service times is a straggler. 5% of exponential times are longer. */
constexpr int s_stragglerFactor = 3;

/** Shorter times are never cut off, so that the typical time can grow again after some answers that took no time. */
constexpr std::chrono::milliseconds s_shortestCut {1};

/**
 * How long an answer that came too fast occupies its slot, as a share of the mean service time. With 100% the host gets
 * up to 1.14 times its fair share (orders desk), because its slots are occupied for equal times.
 */
constexpr int s_tooFastHoldPercent = 120;

/** Peers are told of a packet that has waited for this part of the typical service time. */
constexpr int s_announcementDivisor = 10;

/**
 * Handshakes of waiting requests beyond those that are expected to be needed while one is made, so that a completed one
 * is there whenever a slot becomes free. With 1, slots idle for 5% of a surge; 3 binds more requests behind stragglers.
 */
constexpr std::uint32_t s_spareHandshakes = 2;

/** Handshake time that is assumed until one was completed. */
constexpr std::chrono::milliseconds s_assumedHandshakeTime {10};

/** How many members of the chain may take new work. */
std::size_t candidateCount(const protocol::EnvelopeHeader &header)
{
    return std::min<std::size_t>(header.eligible, header.chain.size());
}

} // namespace

class FlowAdmission::Private
{
public:
    Private(const AdmissionSettings &settings, const protocol::Candidate &self, std::mt19937_64 randomEngine);

    Actions handle(const Event &event, TimePoint now);
    std::optional<TimePoint> nextTimer() const;

    bool isDraining() const;

    AdmissionSettings m_settings;
    protocol::Candidate m_self;
    std::mt19937_64 m_randomEngine;
    std::optional<ServiceTerms> m_terms;
    std::vector<protocol::Candidate> m_members;
    std::size_t m_eligibleMembers = 0;
    bool m_stopping = false;
    bool m_drainReported = false;

    FlowTable m_flows;
    SlotPool m_slots;
    WaitingQueue m_waiting;
    PeerWaiters m_peerWaiters;
    SlotOffers m_offers;
    UnownedFlows m_unowned;
    EjectionPolicy m_ejection;
    /** Time for which requests occupy a slot. */
    ServiceTimeEstimate m_slotTime;
    /** As m_slotTime, with long times cut off, so that it describes the requests that are not stragglers. */
    ServiceTimeEstimate m_typicalTime;
    ServiceTimeEstimate m_handshakeTime;
    FastAnswerDetector m_fastAnswers;
    DemandEstimate m_demand;
    /** Ends of the claims of half-open flows, in order of acceptance. Claims that ended earlier are still listed. */
    std::deque<std::pair<flow::FlowKey, TimePoint>> m_claimEnds;
    /** Requests with a complete handshake that wait for a slot. */
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

    void discardExpired(TimePoint now, Actions &actions);
    void endClaims(TimePoint now);
    void deliver(const PacketArrived &packet, Actions &actions);
    void decideFirstPacket(const PacketArrived &packet, bool granted, TimePoint now, Actions &actions);
    void decideRequest(const PacketArrived &packet, bool granted, TimePoint now, Actions &actions);
    void decideFeed(const PacketArrived &packet, TimePoint now, Actions &actions);
    void decideUnowned(const PacketArrived &packet, TimePoint now, Actions &actions);
    void accept(const PacketArrived &packet, FlowKind kind, TimePoint now, Actions &actions);
    void park(const PacketArrived &packet, TimePoint now, Actions &actions);
    void pass(protocol::EnvelopeHeader &header, std::size_t hop, Actions &actions);
    /** Passes a first packet on; returns false if no candidate is left. */
    bool passToNextCandidate(protocol::EnvelopeHeader &header, const flow::FlowKey &key, Actions &actions);
    void refuse(const flow::FlowKey &key, Actions &actions);
    void drop(DropReason reason, Actions &actions);
    void cede(const flow::FlowKey &key, Actions &actions);

    /** Opens the upstream connections of ready requests while slots are free. */
    void startReady(TimePoint now, Actions &actions);
    void serveWaiting(TimePoint now, Actions &actions);
    /** How many waiting flows may be accepted before a slot is free for them. */
    std::uint32_t acceptedAhead(TimePoint now) const;
    void acceptOldestParked(TimePoint now, Actions &actions);
    void offerSlot(const protocol::Candidate &peer, TimePoint now, Actions &actions);
    /** Gives back the slot that an offer reserved; returns false if the offer has expired. */
    bool redeemOffer(std::uint64_t offer);
    void withdrawOffers();
    void announceWaiting(TimePoint now, Actions &actions);
    /** When peers are told of the packet that has waited longest. */
    TimePoint announcementTime() const;
    void leaveParked(Actions &actions);
    void reportDrained(Actions &actions);

    Flow &addFlow(const flow::FlowKey &key, FlowKind kind, std::uint32_t sequence, TimePoint now);
    void removeFlow(const flow::FlowKey &key);
    void dropClaim(Flow &flow);
    /** Frees the slot of a flow, or its claim to one. */
    void releaseSlot(const flow::FlowKey &key, Flow &flow);
    std::chrono::nanoseconds claimTime() const;
    /** Learns from an answered request; keeps its slot occupied if the answers come too fast. */
    void recordServiceTime(Flow &flow, TimePoint now);
    void recordOutcome(Flow &flow, UpstreamOutcome outcome, TimePoint now);

    bool isOwnPacket(const Flow &flow, const PacketArrived &packet) const;
    bool isForThisService(const PacketArrived &packet) const;
    bool hasFreeConnection() const;
    Obstacle obstacle(std::uint8_t ejectedCandidates, TimePoint now) const;
    /** Whether one more packet may be parked. */
    bool mayWait(TimePoint now) const;
    bool isSurge(TimePoint now) const;
    /** Slots of all hosts of the service; the others are assumed to have as many as this one. */
    std::size_t serviceSlots() const;
    std::chrono::nanoseconds expectedWait(TimePoint now) const;
    std::chrono::nanoseconds longestWait() const;
    /** Adds members that may take new work and that the chain lacks as the last candidates. */
    bool extendCandidates(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const;
    /** Appends all members that the chain lacks, for the search of an owner. */
    bool extendSearch(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const;
    std::size_t insertMembers(protocol::CandidateChain &chain,
                              std::size_t position,
                              const flow::FlowKey &key,
                              std::size_t memberLimit) const;
    /** Puts this agent behind the candidates that may take new work; returns whether any of those is left. */
    bool leaveCandidates(protocol::EnvelopeHeader &header) const;
};

FlowAdmission::Private::Private(const AdmissionSettings &settings,
                                const protocol::Candidate &self,
                                std::mt19937_64 randomEngine)
    : m_settings(settings)
    , m_self(self)
    , m_randomEngine(randomEngine)
    , m_flows(m_randomEngine())
    , m_waiting(m_randomEngine())
    , m_peerWaiters(s_missedAnnouncements * settings.waitingInterval)
    , m_unowned(settings.noOwnerGrace, settings.unownedCapacity, m_randomEngine())
    , m_ejection(settings.failuresToEject, settings.probeInterval)
    , m_slotTime(settings.assumedServiceTime)
    , m_typicalTime(settings.assumedServiceTime)
    , m_handshakeTime(s_assumedHandshakeTime)
    , m_announcements(settings.waitingInterval)
{
}

Actions FlowAdmission::Private::handle(const Event &event, TimePoint now)
{
    Actions actions;
    // First, so that state that expired while the process was frozen has no influence on the event.
    discardExpired(now, actions);
    std::visit([this, now, &actions](const auto &alternative) { apply(alternative, now, actions); }, event);
    startReady(now, actions);
    serveWaiting(now, actions);
    announceWaiting(now, actions);
    reportDrained(actions);
    return actions;
}

std::optional<TimePoint> FlowAdmission::Private::nextTimer() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (const flow::FlowKey *key = m_flows.oldestHalfOpen()) {
        consider(m_flows.find(*key)->since + m_settings.halfOpenTimeout);
    }
    if (!m_waiting.empty()) {
        consider(m_waiting.front().deadline);
        consider(std::max(m_announcements.nextTime(), announcementTime()));
    }
    if (const auto expiry = m_offers.nextExpiry()) {
        consider(*expiry);
    }
    if (const auto release = m_slots.nextRelease()) {
        consider(*release);
    }
    if (!m_claimEnds.empty()) {
        consider(m_claimEnds.front().second);
    }
    return next;
}

bool FlowAdmission::Private::isDraining() const
{
    return m_stopping || (m_terms && m_terms->mode != HostMode::Active);
}

void FlowAdmission::Private::discardExpired(TimePoint now, Actions &actions)
{
    while (const flow::FlowKey *oldest = m_flows.oldestHalfOpen()) {
        const flow::FlowKey key = *oldest;
        if (now - m_flows.find(key)->since < m_settings.halfOpenTimeout) {
            break;
        }
        actions.push_back(CedeFlow {key});
        removeFlow(key);
    }
    while (!m_waiting.empty() && m_waiting.front().deadline <= now) {
        const flow::FlowKey key = m_waiting.front().key;
        if (now - m_waiting.front().deadline <= s_latestRefusal) {
            actions.push_back(RefuseParked {key});
            ++m_counters.refused;
        } else {
            actions.push_back(DropParked {key});
            ++m_counters.droppedOther;
        }
        m_waiting.remove(key);
    }
    while (m_offers.removeExpired(now)) {
        m_slots.unreserve();
    }
    m_slots.releaseDue(now);
    endClaims(now);
}

void FlowAdmission::Private::endClaims(TimePoint now)
{
    // The handshake of a flow that another agent accepted too is never completed here, and the caller's packets may not
    // come by this agent. Such a flow must not keep a slot idle for the whole time-out.
    while (!m_claimEnds.empty() && m_claimEnds.front().second <= now) {
        Flow *flow = m_flows.find(m_claimEnds.front().first);
        if (flow != nullptr && flow->phase == FlowPhase::HalfOpen && flow->slot == SlotUse::Claimed) {
            dropClaim(*flow);
        }
        m_claimEnds.pop_front();
    }
}

void FlowAdmission::Private::apply(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    const bool granted = packet.header.grant != 0 && redeemOffer(packet.header.grant);
    if (const Flow *flow = m_flows.find(packet.key)) {
        if (isOwnPacket(*flow, packet)) {
            deliver(packet, actions);
            return;
        }
        cede(packet.key, actions);
    }
    if (const ParkedPacket *parked = m_waiting.find(packet.key)) {
        if (packet.firstPacket && packet.sequence == parked->sequence) {
            drop(DropReason::Duplicate, actions);
            return;
        }
        // Another agent accepted the flow, or the caller has started a new connection with the same ports.
        actions.push_back(DropParked {packet.key});
        ++m_counters.droppedOther;
        m_waiting.remove(packet.key);
    }
    if (m_terms && !isForThisService(packet)) {
        ++m_counters.droppedWrongService;
        actions.push_back(DropPacket {DropReason::WrongService});
        return;
    }
    if (packet.firstPacket) {
        decideFirstPacket(packet, granted, now, actions);
    } else {
        decideUnowned(packet, now, actions);
    }
}

void FlowAdmission::Private::apply(const HandshakeOffered &event, TimePoint, Actions &)
{
    Flow *flow = m_flows.find(event.key);
    if (flow == nullptr) {
        return;
    }
    flow->offered = true;
    flow->initialSequence = event.sequence;
}

void FlowAdmission::Private::apply(const HandshakeCompleted &event, TimePoint now, Actions &actions)
{
    Flow *flow = m_flows.find(event.key);
    if (flow == nullptr || flow->phase != FlowPhase::HalfOpen) {
        return;
    }
    m_flows.setPhase(*flow, FlowPhase::Established);
    if (flow->kind == FlowKind::Feed) {
        actions.push_back(OpenUpstream {event.key});
        return;
    }
    m_handshakeTime.addSample(std::min<Clock::duration>(now - flow->since, s_longestClaim));
    if (flow->slot == SlotUse::None) {
        m_slots.claim();
        flow->slot = SlotUse::Claimed;
    }
    m_ready.push_back(event.key);
}

void FlowAdmission::Private::apply(const AnswerStarted &event, TimePoint, Actions &)
{
    if (m_flows.find(event.key) == nullptr) {
        return;
    }
    m_ejection.recordSuccess();
}

void FlowAdmission::Private::apply(const UpstreamFinished &event, TimePoint now, Actions &)
{
    Flow *flow = m_flows.find(event.key);
    if (flow == nullptr || flow->phase == FlowPhase::Closing) {
        return;
    }
    recordOutcome(*flow, event.outcome, now);
    releaseSlot(event.key, *flow);
    m_flows.setPhase(*flow, FlowPhase::Closing);
}

void FlowAdmission::Private::apply(const FlowEnded &event, TimePoint, Actions &)
{
    removeFlow(event.key);
}

void FlowAdmission::Private::apply(const protocol::Waiting &message, TimePoint now, Actions &)
{
    if (!m_terms || message.service != m_terms->service || message.sender.agent == m_self.agent) {
        return;
    }
    m_peerWaiters.update(message, now);
}

void FlowAdmission::Private::apply(const protocol::SlotOffer &message, TimePoint, Actions &actions)
{
    if (!m_terms || message.service != m_terms->service) {
        return;
    }
    m_announcements.countOffer(message.sender.agent);
    if (m_waiting.empty()) {
        actions.push_back(
            SendToAgent {message.sender, protocol::OfferDeclined {m_terms->service, m_self, message.offer}});
        return;
    }
    const ParkedPacket &parked = m_waiting.front();
    protocol::EnvelopeHeader header = parked.header;
    // This agent stays the first of the chain, so that the peer sends a hint to the balancer.
    header.chain = {m_self, message.sender};
    header.eligible = 2;
    header.hop = 1;
    header.grant = message.offer;
    actions.push_back(HandOverParked {parked.key, header});
    ++m_counters.handedOver;
    m_waiting.remove(flow::FlowKey(parked.key));
}

void FlowAdmission::Private::apply(const protocol::OfferDeclined &message, TimePoint, Actions &)
{
    m_peerWaiters.clear(message.sender.agent);
    redeemOffer(message.offer);
}

void FlowAdmission::Private::apply(const ServiceTermsChanged &event, TimePoint, Actions &actions)
{
    if (m_terms && event.terms.generation < m_terms->generation) {
        return;
    }
    const bool wasDraining = isDraining();
    const bool otherService = m_terms && m_terms->service != event.terms.service;
    m_terms = event.terms;
    m_slots.configure(event.terms.slots);
    if (wasDraining && !isDraining()) {
        m_drainReported = false;
    }
    if (isDraining() || !m_terms->namesHost || otherService) {
        leaveParked(actions);
    }
}

void FlowAdmission::Private::apply(const MembersChanged &event, TimePoint, Actions &)
{
    m_members = event.members;
    m_eligibleMembers = std::min(event.eligible, event.members.size());
    std::vector<protocol::Candidate> peers(m_members.begin(),
                                           m_members.begin() + static_cast<std::ptrdiff_t>(m_eligibleMembers));
    std::erase(peers, m_self);
    // Each agent starts with another peer, so that the first of the list is not told of everything.
    std::shuffle(peers.begin(), peers.end(), m_randomEngine);
    m_announcements.setPeers(std::move(peers));
}

void FlowAdmission::Private::apply(const DrainOrdered &, TimePoint, Actions &actions)
{
    m_stopping = true;
    leaveParked(actions);
}

void FlowAdmission::Private::apply(const TimerExpired &, TimePoint, Actions &)
{
}

void FlowAdmission::Private::deliver(const PacketArrived &packet, Actions &actions)
{
    actions.push_back(DeliverPacket {packet.key});
    if (packet.header.hop > 0) {
        actions.push_back(SendHint {packet.header.origin, packet.key});
    }
}

void FlowAdmission::Private::decideFirstPacket(const PacketArrived &packet,
                                               bool granted,
                                               TimePoint now,
                                               Actions &actions)
{
    m_unowned.remove(packet.key);
    if (m_terms && m_terms->feedPort != 0 && packet.key.destination.port == m_terms->feedPort) {
        decideFeed(packet, now, actions);
    } else {
        decideRequest(packet, granted, now, actions);
    }
}

void FlowAdmission::Private::decideRequest(const PacketArrived &packet, bool granted, TimePoint now, Actions &actions)
{
    if (!granted) {
        m_demand.recordArrival(now);
    }
    protocol::EnvelopeHeader header = packet.header;
    header.grant = 0;
    const Obstacle found = obstacle(header.ejected, now);
    if (found == Obstacle::None && (granted || (m_slots.hasUnclaimed() && m_waiting.empty()))) {
        accept(packet, FlowKind::Request, now, actions);
        return;
    }
    if (found == Obstacle::Ejected) {
        ++header.ejected;
    }
    if (passToNextCandidate(header, packet.key, actions)) {
        return;
    }
    if (found == Obstacle::None || found == Obstacle::Busy) {
        park(packet, now, actions);
        return;
    }
    if (leaveCandidates(header)) {
        pass(header, 0, actions);
    } else if (!m_terms) {
        drop(DropReason::NoServiceRecord, actions);
    } else {
        refuse(packet.key, actions);
    }
}

void FlowAdmission::Private::decideFeed(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    protocol::EnvelopeHeader header = packet.header;
    const Obstacle found = obstacle(header.ejected, now);
    const bool acceptable = found == Obstacle::None;
    if (header.directed) {
        if (acceptable) {
            accept(packet, FlowKind::Feed, now, actions);
            return;
        }
        // The state changed since the counts were compared. The others are compared again.
        header.directed = false;
        if (leaveCandidates(header)) {
            pass(header, 0, actions);
        } else {
            refuse(packet.key, actions);
        }
        return;
    }
    if (header.hop == 0) {
        header.leastFeeds = s_noFeedCandidate;
    }
    if (acceptable && m_flows.feeds() < header.leastFeeds) {
        header.leastFeeds = m_flows.feeds();
        header.leastFeedsHop = header.hop;
    }
    if (found == Obstacle::Ejected) {
        ++header.ejected;
    }
    if (passToNextCandidate(header, packet.key, actions)) {
        return;
    }
    if (header.leastFeeds == s_noFeedCandidate || header.leastFeedsHop >= header.chain.size()) {
        refuse(packet.key, actions);
        return;
    }
    if (header.leastFeedsHop == header.hop) {
        accept(packet, FlowKind::Feed, now, actions);
        return;
    }
    header.directed = true;
    pass(header, header.leastFeedsHop, actions);
}

void FlowAdmission::Private::decideUnowned(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    protocol::EnvelopeHeader header = packet.header;
    const std::size_t next = std::min(std::size_t {header.hop} + 1, header.chain.size());
    if (next < header.chain.size() || extendSearch(header, packet.key)) {
        pass(header, next, actions);
        return;
    }
    if (!m_terms) {
        drop(DropReason::NoServiceRecord, actions);
        return;
    }
    if (packet.reset) {
        drop(DropReason::StrayReset, actions);
        return;
    }
    m_unowned.record(packet.key, now);
    if (!m_unowned.isGraceOver(packet.key, now)) {
        drop(DropReason::NoOwnerYet, actions);
        return;
    }
    ++m_counters.resetUnowned;
    actions.push_back(ResetUnowned {packet.key});
}

void FlowAdmission::Private::accept(const PacketArrived &packet, FlowKind kind, TimePoint now, Actions &actions)
{
    const Flow &flow = addFlow(packet.key, kind, packet.sequence, now);
    actions.push_back(AcceptFlow {packet.key, flow.sequenceOffset});
    if (packet.header.hop > 0) {
        actions.push_back(SendHint {packet.header.origin, packet.key});
    }
}

void FlowAdmission::Private::park(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    if (!mayWait(now)) {
        refuse(packet.key, actions);
        return;
    }
    m_waiting.push({packet.key, packet.sequence, packet.header, now, now + longestWait()});
    ++m_counters.parked;
    actions.push_back(ParkPacket {packet.key});
}

void FlowAdmission::Private::pass(protocol::EnvelopeHeader &header, std::size_t hop, Actions &actions)
{
    header.hop = static_cast<std::uint8_t>(hop);
    ++m_counters.passed;
    actions.push_back(PassPacket {header});
}

bool FlowAdmission::Private::passToNextCandidate(protocol::EnvelopeHeader &header,
                                                 const flow::FlowKey &key,
                                                 Actions &actions)
{
    const std::size_t next = std::min(std::size_t {header.hop} + 1, candidateCount(header));
    if (next >= candidateCount(header) && !extendCandidates(header, key)) {
        return false;
    }
    pass(header, next, actions);
    return true;
}

void FlowAdmission::Private::refuse(const flow::FlowKey &key, Actions &actions)
{
    ++m_counters.refused;
    actions.push_back(RefusePacket {key});
}

void FlowAdmission::Private::drop(DropReason reason, Actions &actions)
{
    ++m_counters.droppedOther;
    actions.push_back(DropPacket {reason});
}

void FlowAdmission::Private::cede(const flow::FlowKey &key, Actions &actions)
{
    ++m_counters.ceded;
    actions.push_back(CedeFlow {key});
    removeFlow(key);
}

void FlowAdmission::Private::startReady(TimePoint now, Actions &actions)
{
    while (!m_ready.empty() && m_slots.canStart()) {
        const flow::FlowKey key = m_ready.front();
        m_ready.pop_front();
        Flow &flow = *m_flows.find(key);
        m_slots.dropClaim();
        m_slots.start(now);
        flow.slot = SlotUse::Occupied;
        flow.started = now;
        actions.push_back(OpenUpstream {key});
    }
}

void FlowAdmission::Private::serveWaiting(TimePoint now, Actions &actions)
{
    if (m_waiting.empty() && m_peerWaiters.total() == 0) {
        return;
    }
    m_peerWaiters.removeExpired(now);
    while (m_slots.hasUnclaimed(acceptedAhead(now))) {
        const std::uint8_t ejected = m_waiting.empty() ? std::uint8_t {0} : m_waiting.front().header.ejected;
        if (obstacle(ejected, now) != Obstacle::None) {
            return;
        }
        const PeerWaiters::Peer *peer = m_peerWaiters.oldest();
        // A packet that waits here needs no round trip, so a peer's packet goes first only if it is clearly older.
        const bool peerFirst = peer != nullptr
            && (m_waiting.empty() || peer->oldestSince + m_settings.offerValidity < m_waiting.front().since);
        if (peerFirst) {
            offerSlot(protocol::Candidate(peer->agent), now, actions);
        } else if (!m_waiting.empty()) {
            acceptOldestParked(now, actions);
        } else {
            return;
        }
    }
}

std::uint32_t FlowAdmission::Private::acceptedAhead(TimePoint now) const
{
    // Only the requests that have not run for long are expected to end soon: the others are stragglers.
    const std::chrono::nanoseconds typical = m_typicalTime.mean();
    const std::chrono::nanoseconds handshake = m_handshakeTime.mean();
    const std::uint32_t young = m_slots.startedSince(now - s_stragglerFactor * typical);
    if (young == 0 || typical.count() == 0) {
        return 0;
    }
    const auto useful = s_spareHandshakes + static_cast<std::uint32_t>(young * handshake / typical);
    // A flow that is accepted ahead is bound to this host. That pays only if it waits no longer here than for the first
    // free slot of the service and the handshake after that.
    const auto affordable = static_cast<std::uint32_t>(young * (expectedWait(now) + handshake) / typical);
    return std::min(useful, affordable);
}

void FlowAdmission::Private::acceptOldestParked(TimePoint now, Actions &actions)
{
    const ParkedPacket parked = m_waiting.front();
    m_waiting.remove(parked.key);
    const Flow &flow = addFlow(parked.key, FlowKind::Request, parked.sequence, now);
    actions.push_back(AcceptParked {parked.key, flow.sequenceOffset});
    if (parked.header.hop > 0) {
        actions.push_back(SendHint {parked.header.origin, parked.key});
    }
}

void FlowAdmission::Private::offerSlot(const protocol::Candidate &peer, TimePoint now, Actions &actions)
{
    // 0 means "no offer" in an envelope.
    const std::uint64_t offer = std::max<std::uint64_t>(m_randomEngine(), 1);
    m_slots.reserve();
    m_offers.add(offer, now + m_settings.offerValidity);
    m_peerWaiters.countOffer(peer.agent);
    actions.push_back(
        SendToAgent {peer, protocol::SlotOffer {m_terms->service, m_self, offer, m_settings.offerValidity}});
}

bool FlowAdmission::Private::redeemOffer(std::uint64_t offer)
{
    if (!m_offers.remove(offer)) {
        return false;
    }
    m_slots.unreserve();
    return true;
}

void FlowAdmission::Private::withdrawOffers()
{
    while (m_offers.removeExpired(TimePoint::max())) {
        m_slots.unreserve();
    }
}

void FlowAdmission::Private::announceWaiting(TimePoint now, Actions &actions)
{
    if (!m_terms) {
        return;
    }
    if (!m_waiting.empty()) {
        if (m_announcements.isDue(now) && now >= announcementTime()) {
            const auto count = static_cast<std::uint32_t>(m_waiting.size());
            const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - m_waiting.front().since);
            actions.push_back(SendToAgent {m_announcements.takeNext(count, now),
                                           protocol::Waiting {m_terms->service, m_self, count, age}});
        }
        return;
    }
    if (!m_announcements.hasOutdated()) {
        return;
    }
    for (const protocol::Candidate &peer : m_announcements.takeOutdated(now)) {
        actions.push_back(SendToAgent {peer, protocol::Waiting {m_terms->service, m_self, 0, {}}});
    }
}

TimePoint FlowAdmission::Private::announcementTime() const
{
    // Most packets get a slot here before that, so that the peers need not know of them.
    return m_waiting.front().since + m_typicalTime.mean() / s_announcementDivisor;
}

void FlowAdmission::Private::leaveParked(Actions &actions)
{
    withdrawOffers();
    while (!m_waiting.empty()) {
        const ParkedPacket parked = m_waiting.front();
        m_waiting.remove(parked.key);
        protocol::EnvelopeHeader header = parked.header;
        header.directed = false;
        extendCandidates(header, parked.key);
        if (leaveCandidates(header)) {
            header.hop = 0;
            ++m_counters.handedOver;
            actions.push_back(HandOverParked {parked.key, header});
        } else {
            ++m_counters.refused;
            actions.push_back(RefuseParked {parked.key});
        }
    }
}

void FlowAdmission::Private::reportDrained(Actions &actions)
{
    if (m_drainReported || !isDraining() || m_flows.size() > 0 || !m_waiting.empty()) {
        return;
    }
    m_drainReported = true;
    actions.push_back(ReportDrained {});
}

Flow &FlowAdmission::Private::addFlow(const flow::FlowKey &key, FlowKind kind, std::uint32_t sequence, TimePoint now)
{
    Flow &flow = m_flows.add(key, kind, now);
    flow.firstSequence = sequence;
    flow.sequenceOffset = static_cast<std::uint32_t>(m_randomEngine());
    if (kind == FlowKind::Request) {
        m_slots.claim();
        flow.slot = SlotUse::Claimed;
        m_claimEnds.emplace_back(key, now + claimTime());
    }
    if (m_ejection.isProbeDue(now)) {
        m_ejection.recordProbe(now);
    }
    ++m_counters.accepted;
    return flow;
}

void FlowAdmission::Private::removeFlow(const flow::FlowKey &key)
{
    Flow *flow = m_flows.find(key);
    if (flow == nullptr) {
        return;
    }
    releaseSlot(key, *flow);
    m_flows.remove(key);
}

void FlowAdmission::Private::dropClaim(Flow &flow)
{
    flow.slot = SlotUse::None;
    m_slots.dropClaim();
}

void FlowAdmission::Private::releaseSlot(const flow::FlowKey &key, Flow &flow)
{
    if (flow.slot == SlotUse::Claimed) {
        std::erase(m_ready, key);
        dropClaim(flow);
    } else if (flow.slot == SlotUse::Occupied) {
        flow.slot = SlotUse::None;
        m_slots.finish(flow.started);
    }
}

std::chrono::nanoseconds FlowAdmission::Private::claimTime() const
{
    return std::clamp<std::chrono::nanoseconds>(
        s_claimHandshakes * m_handshakeTime.mean(), s_shortestClaim, s_longestClaim);
}

void FlowAdmission::Private::recordOutcome(Flow &flow, UpstreamOutcome outcome, TimePoint now)
{
    if (outcome == UpstreamOutcome::CallerGone) {
        return;
    }
    if (outcome == UpstreamOutcome::Answered) {
        ++m_counters.answered;
        m_ejection.recordSuccess();
        if (flow.slot == SlotUse::Occupied) {
            m_slots.grow();
            recordServiceTime(flow, now);
        }
        return;
    }
    ++m_counters.failed;
    const bool wasEjected = m_ejection.isEjected();
    m_ejection.recordFailure(now);
    if (m_ejection.isEjected() && !wasEjected) {
        m_slots.restart();
    }
    if (flow.slot == SlotUse::Occupied) {
        // A host that fails fast would otherwise be the first with a free slot again and attract most of the work.
        flow.slot = SlotUse::None;
        m_slots.finishFailed(flow.started, now + m_slotTime.mean());
    }
}

void FlowAdmission::Private::recordServiceTime(Flow &flow, TimePoint now)
{
    const Clock::duration slotTime = now - flow.started;
    m_fastAnswers.addSample(slotTime, m_typicalTime.mean());
    if (m_fastAnswers.isUsual()) {
        m_slotTime.addSample(slotTime);
        const std::chrono::nanoseconds longest
            = std::max<std::chrono::nanoseconds>(s_stragglerFactor * m_typicalTime.mean(), s_shortestCut);
        m_typicalTime.addSample(std::min<Clock::duration>(slotTime, longest));
    }
    if (m_fastAnswers.isTooFast()) {
        flow.slot = SlotUse::None;
        m_slots.finishFailed(flow.started, flow.started + m_slotTime.mean() * s_tooFastHoldPercent / 100);
    }
}

bool FlowAdmission::Private::isOwnPacket(const Flow &flow, const PacketArrived &packet) const
{
    if (flow.phase != FlowPhase::HalfOpen) {
        return true;
    }
    if (packet.firstPacket) {
        return packet.sequence == flow.firstSequence;
    }
    if (!packet.hasAcknowledgement) {
        return true;
    }
    return flow.offered && packet.acknowledgement == flow.sequenceOffset + flow.initialSequence + 1;
}

bool FlowAdmission::Private::isForThisService(const PacketArrived &packet) const
{
    const Endpoint &destination = packet.key.destination;
    return packet.header.service == m_terms->service && destination.address == m_terms->address && destination.port != 0
        && (destination.port == m_terms->requestPort || destination.port == m_terms->feedPort);
}

bool FlowAdmission::Private::hasFreeConnection() const
{
    return m_flows.size() < m_terms->connections;
}

Obstacle FlowAdmission::Private::obstacle(std::uint8_t ejectedCandidates, TimePoint now) const
{
    if (!m_terms || isDraining() || !m_terms->namesHost) {
        return Obstacle::NotServing;
    }
    if (m_ejection.isEjected() && !m_ejection.isProbeDue(now)
        && ejectedCandidates < EjectionPolicy::limit(m_eligibleMembers)) {
        return Obstacle::Ejected;
    }
    return hasFreeConnection() ? Obstacle::None : Obstacle::Busy;
}

bool FlowAdmission::Private::mayWait(TimePoint now) const
{
    const std::chrono::nanoseconds limit =
        isSurge(now) ? std::min<std::chrono::nanoseconds>(longestWait(), m_settings.surgeWait) : longestWait();
    return m_waiting.size() < std::max<std::size_t>(m_terms->connections, 1) && expectedWait(now) <= limit;
}

bool FlowAdmission::Private::isSurge(TimePoint now) const
{
    const double serviceTime = std::chrono::duration<double>(m_slotTime.mean()).count();
    return m_demand.rate(now) * serviceTime > m_settings.surgeDemand * static_cast<double>(serviceSlots());
}

std::size_t FlowAdmission::Private::serviceSlots() const
{
    return std::max<std::size_t>(m_slots.configured(), 1) * std::max<std::size_t>(m_eligibleMembers, 1);
}

std::chrono::nanoseconds FlowAdmission::Private::expectedWait(TimePoint now) const
{
    const std::size_t hosts = std::max<std::size_t>(m_eligibleMembers, 1);
    // The queues of all hosts grow alike in a surge, and not all of them are announced. Otherwise one host may have the
    // longer queue because stragglers occupy its slots.
    const std::size_t known = m_waiting.size() + m_peerWaiters.total();
    const std::size_t ahead = isSurge(now) ? std::max(known, m_waiting.size() * hosts) : known;
    return m_slotTime.mean() * static_cast<std::int64_t>(ahead + 1) / static_cast<std::int64_t>(serviceSlots());
}

std::chrono::nanoseconds FlowAdmission::Private::longestWait() const
{
    if (m_terms->deadline.count() == 0) {
        return s_waitWithoutDeadline;
    }
    // The request has to be served within the deadline too.
    return std::max<std::chrono::nanoseconds>(m_terms->deadline - m_slotTime.mean(), std::chrono::nanoseconds(0));
}

bool FlowAdmission::Private::extendCandidates(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const
{
    const std::size_t end = candidateCount(header);
    const std::size_t added = insertMembers(header.chain, end, key, m_eligibleMembers);
    header.eligible = static_cast<std::uint8_t>(end + added);
    return added > 0;
}

bool FlowAdmission::Private::extendSearch(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const
{
    return insertMembers(header.chain, header.chain.size(), key, m_members.size()) > 0;
}

std::size_t FlowAdmission::Private::insertMembers(protocol::CandidateChain &chain,
                                                  std::size_t position,
                                                  const flow::FlowKey &key,
                                                  std::size_t memberLimit) const
{
    std::size_t added = 0;
    const std::size_t limit = std::min(memberLimit, m_members.size());
    // Starts at a member that depends on the flow, so that extended chains do not all begin with the same one.
    const std::size_t start = limit == 0 ? 0 : flow::hashFlow(key, 0) % limit;
    for (std::size_t index = 0; index < limit && chain.size() < chain.capacity(); ++index) {
        const protocol::Candidate &member = m_members[(start + index) % limit];
        if (member.agent == m_self.agent || contains(chain, member.agent)) {
            continue;
        }
        chain.insert(chain.begin() + static_cast<std::ptrdiff_t>(position + added), member);
        ++added;
    }
    return added;
}

bool FlowAdmission::Private::leaveCandidates(protocol::EnvelopeHeader &header) const
{
    protocol::CandidateChain eligible;
    protocol::CandidateChain others;
    const std::size_t limit = candidateCount(header);
    for (std::size_t index = 0; index < header.chain.size(); ++index) {
        const bool stays = index < limit && header.chain[index].agent != m_self.agent;
        (stays ? eligible : others).push_back(header.chain[index]);
    }
    header.eligible = static_cast<std::uint8_t>(eligible.size());
    header.chain = std::move(eligible);
    header.chain.insert(header.chain.end(), others.begin(), others.end());
    return header.eligible > 0;
}

FlowAdmission::FlowAdmission(const AdmissionSettings &settings,
                             const protocol::Candidate &self,
                             std::mt19937_64 randomEngine)
    : m_d(std::make_unique<Private>(settings, self, randomEngine))
{
}

FlowAdmission::~FlowAdmission() = default;

Actions FlowAdmission::handle(const Event &event, TimePoint now)
{
    return m_d->handle(event, now);
}

std::optional<TimePoint> FlowAdmission::nextTimer() const
{
    return m_d->nextTimer();
}

std::uint32_t FlowAdmission::busySlots() const
{
    return m_d->m_slots.used();
}

std::uint32_t FlowAdmission::effectiveSlots() const
{
    return m_d->m_slots.effective();
}

std::uint32_t FlowAdmission::feedsHeld() const
{
    return m_d->m_flows.feeds();
}

std::uint32_t FlowAdmission::connectionsHeld() const
{
    return static_cast<std::uint32_t>(m_d->m_flows.size());
}

std::uint32_t FlowAdmission::parkedPackets() const
{
    return static_cast<std::uint32_t>(m_d->m_waiting.size());
}

bool FlowAdmission::isDraining() const
{
    return m_d->isDraining();
}

bool FlowAdmission::isEjected() const
{
    return m_d->m_ejection.isEjected();
}

bool FlowAdmission::owns(const flow::FlowKey &key) const
{
    return m_d->m_flows.find(key) != nullptr;
}

const AdmissionCounters &FlowAdmission::counters() const
{
    return m_d->m_counters;
}

std::vector<OwnedFlow> FlowAdmission::ownedFlows() const
{
    return m_d->m_flows.list();
}

} // namespace samphireswitch::admission
