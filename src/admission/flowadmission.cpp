#include "admission/flowadmissionprivate.h"

#include <algorithm>
#include <variant>

namespace samphireswitch::admission {

namespace {

/** After this number of announcement intervals without an announcement, the packets parked at a peer are forgotten. */
constexpr int s_missedAnnouncements = 3;

/**
 * Longest time after its deadline at which a parked packet is still refused. A packet that is found later is dropped
 * without an answer: the process was not running, and the caller has tried another agent in the meantime.
 */
constexpr std::chrono::milliseconds s_maximumRefusalDelay {50};

} // namespace

FlowAdmission::Private::Private(const AdmissionSettings &settings,
                                const protocol::Candidate &self,
                                std::mt19937_64 randomEngine)
    : m_settings(settings)
    , m_randomEngine(randomEngine)
    , m_members(self)
    , m_flows(m_randomEngine())
    , m_waiting(m_randomEngine())
    , m_peerBacklogs(s_missedAnnouncements * settings.waitingInterval)
    , m_unowned(settings.noOwnerGrace, settings.unownedCapacity, m_randomEngine())
    , m_ejection(settings.failuresToEject, settings.probeInterval)
    , m_times(settings.assumedServiceTime)
    , m_announcements(settings.waitingInterval)
{
}

Actions FlowAdmission::Private::handle(const Event &event, TimePoint now)
{
    Actions actions;
    // Expired state is discarded first, so that state that expired while the process was frozen does not influence the
    // decisions on the event.
    discardExpired(now, actions);
    std::visit([this, now, &actions](const auto &alternative) { apply(alternative, now, actions); }, event);
    openReadyUpstreams(now, actions);
    assignFreeSlots(now, actions);
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
    if (const auto release = m_slots.nextHoldExpiry()) {
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
        if (now - m_waiting.front().deadline <= s_maximumRefusalDelay) {
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
    m_slots.releaseExpiredHolds(now);
    endClaims(now);
}

void FlowAdmission::Private::endClaims(TimePoint now)
{
    // If another agent accepted the flow too, the handshake may complete there and never here, and no packet of the
    // caller may reach this agent to show that. Such a flow must not keep a slot idle for the whole half-open time-out.
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
        if (belongsToFlow(*flow, packet)) {
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
        // Another agent has accepted the flow, or the caller has opened a new connection with the same ports.
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
        handleFirstPacket(packet, granted, now, actions);
    } else {
        handleUnownedPacket(packet, now, actions);
    }
}

void FlowAdmission::Private::apply(const HandshakeOffered &event, TimePoint, Actions &)
{
    Flow *flow = m_flows.find(event.key);
    if (flow == nullptr) {
        return;
    }
    flow->hasInitialSequence = true;
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
    m_times.addHandshake(now - flow->since);
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
    if (!m_terms || message.service != m_terms->service || message.sender.agent == m_members.self().agent) {
        return;
    }
    m_peerBacklogs.update(message, now);
}

void FlowAdmission::Private::apply(const protocol::SlotOffer &message, TimePoint, Actions &actions)
{
    if (!m_terms || message.service != m_terms->service) {
        return;
    }
    m_announcements.countOffer(message.sender.agent);
    if (m_waiting.empty()) {
        actions.push_back(
            SendToAgent {message.sender, protocol::OfferDeclined {m_terms->service, m_members.self(), message.offer}});
        return;
    }
    const ParkedPacket &parked = m_waiting.front();
    protocol::EnvelopeHeader header = parked.header;
    // This agent stays the first of the chain, so that the peer receives the packet at hop 1. An agent that accepts a
    // packet at a hop greater than 0 sends a hint to the balancer.
    header.chain = {m_members.self(), message.sender};
    header.eligible = 2;
    header.hop = 1;
    header.grant = message.offer;
    actions.push_back(HandOverParked {parked.key, header});
    ++m_counters.handedOver;
    m_waiting.remove(flow::FlowKey(parked.key));
}

void FlowAdmission::Private::apply(const protocol::OfferDeclined &message, TimePoint, Actions &)
{
    m_peerBacklogs.clear(message.sender.agent);
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
        handOverAllParked(actions);
    }
}

void FlowAdmission::Private::apply(const MembersChanged &event, TimePoint, Actions &)
{
    m_members.set(event.members, event.eligible);
    std::vector<protocol::Candidate> peers(m_members.eligible().begin(), m_members.eligible().end());
    std::erase(peers, m_members.self());
    // In a random order, so that not every agent announces its parked packets to the same peer first.
    std::shuffle(peers.begin(), peers.end(), m_randomEngine);
    m_announcements.setPeers(std::move(peers));
}

void FlowAdmission::Private::apply(const DrainOrdered &, TimePoint, Actions &actions)
{
    m_stopping = true;
    handOverAllParked(actions);
}

void FlowAdmission::Private::apply(const TimerExpired &, TimePoint, Actions &)
{
}

void FlowAdmission::Private::openReadyUpstreams(TimePoint now, Actions &actions)
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
        m_claimEnds.emplace_back(key, now + m_times.claimTimeout());
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
        m_slots.resetEffective();
    }
    if (flow.slot == SlotUse::Occupied) {
        // The slot is held as long as a request takes on average. A host whose upstream fails fast would otherwise have
        // free slots sooner than the others and attract most of the work.
        flow.slot = SlotUse::None;
        m_slots.finishAndHold(flow.started, now + m_times.mean());
    }
}

void FlowAdmission::Private::recordServiceTime(Flow &flow, TimePoint now)
{
    m_times.addRequest(now - flow.started);
    if (m_times.areAnswersTooFast()) {
        flow.slot = SlotUse::None;
        m_slots.finishAndHold(flow.started, flow.started + m_times.fastAnswerHoldTime());
    }
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
