#include "passthrough/passthroughadmission.h"

#include "routing/searchchain.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

namespace {

// An upstream that is silent for this many report timeouts from the start of the agent on does not run. One of them
// alone may pass because single reports are lost.
constexpr int s_silentReportTimeouts = 2;
// Flows of a single request end within this time, so that they are not written to the store.
constexpr std::chrono::seconds s_storedFlowAge {1};

/**
 * Removes the agents that were already asked from the chain of an exhaustive search. Such a chain already holds every
 * agent and is never extended by peers, so that it need not list the agents to leave out. A chain of 60 agents is as
 * long as a packet, and each hop transmits it.
 */
void removeAskedAgents(protocol::EnvelopeHeader &header)
{
    header.chain.erase(header.chain.begin(), header.chain.begin() + header.hop);
    header.hop = 0;
    // Without this flag the last agent of the chain would take itself for the only one that the balancer named, and
    // would send no hint if it owns the flow.
    header.extended = true;
}

} // namespace

PassthroughAdmission::PassthroughAdmission(const PassthroughSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_upstream(settings.registration, settings.tracker, settings.recordsServedRuns)
    , m_newFlows({settings.agent, settings.dataAddress}, settings.silence, settings.pace, settings.busyComparison)
    , m_locations(settings.locationRecords)
    , m_announcer({settings.agent, settings.dataAddress}, settings.locationAnnouncer)
    , m_peers(settings.agent)
    , m_knowledge({settings.tracker.idleTimeout, s_silentReportTimeouts * settings.registration.reportTimeout}, now)
{
    if (!settings.startsEmpty) {
        m_announcer.requestRecords();
    }
}

Decision
PassthroughAdmission::packetArrived(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    Decision decision = decide(header, packet, now);
    ++m_counters.decisions[static_cast<std::size_t>(decision.cause)];
    return decision;
}

Decision PassthroughAdmission::agentSilent(protocol::EnvelopeHeader header, const flow::Segment &packet)
{
    const protocol::Candidate silent = header.chain[header.hop];
    routing::skipCurrentAgent(header);
    const bool isLocatedOwner = header.located == silent.agent;
    Decision decision = isLocatedOwner
        ? Decision {ReturnSearch {routing::repeatForOwner(header, silent)}, Cause::AgentSilent, {}}
        : continueSearch(std::move(header), packet, Cause::AgentSilent);
    ++m_counters.decisions[static_cast<std::size_t>(decision.cause)];
    return decision;
}

Decision PassthroughAdmission::upstreamSent(const flow::Segment &packet, TimePoint now)
{
    m_newFlows.upstreamResponded();
    m_knowledge.packetArrived();
    if (m_knowledge.restsOnAbsence() && !m_upstream.isDown) {
        withdrawKnowledge(now);
    }
    // Only a packet that the upstream sent itself shows that it runs. A packet that it returned before its end may be
    // read after a later packet was refused.
    if (m_upstream.isDown && !packet.returned) {
        runGoesOn(now);
    }
    Decision decision {ForwardToCaller {packet.key.destination.address}, Cause::FromUpstream, {}};
    if (packet.returned) {
        const auto handed = m_upstream.returnable.take(packet.returnMark, packet.key);
        decision = returnedPacket(packet, handed ? &handed->header : nullptr, now);
        decision.returned = handed;
    } else {
        checkKnowledge(packet, now);
        m_upstream.tracker.upstreamSent(packet, now);
    }
    ++m_counters.decisions[static_cast<std::size_t>(decision.cause)];
    return decision;
}

void PassthroughAdmission::checkKnowledge(const flow::Segment &packet, TimePoint now)
{
    if (!m_knowledge.isComplete() || packet.syn || packet.rst) {
        return;
    }
    const TrackedFlow *tracked = m_upstream.tracker.find(flow::reversed(packet.key));
    if (tracked != nullptr && tracked->phase != FlowPhase::NotOwned) {
        return;
    }
    m_upstream.runs.contradicted();
    withdrawKnowledge(now);
}

RegistrationOutcome PassthroughAdmission::upstreamReported(const UpstreamMessage &message, TimePoint now)
{
    const bool hadRun = m_upstream.registration.report().has_value();
    const RegistrationOutcome outcome = m_upstream.registration.apply(message, now);
    const auto *report = std::get_if<UpstreamReport>(&message);
    if (report != nullptr) {
        m_upstream.runs.reported(report->run());
        compareWithStoredFlows(*report);
    } else {
        departureAnnounced(std::get<UpstreamDeparture>(message), outcome, now);
    }
    if (outcome == RegistrationOutcome::Superseded || outcome == RegistrationOutcome::Late) {
        if (report != nullptr && m_upstream.registration.isContinuedAfterDeparture(*report)) {
            // Another writer may have announced the exit.
            m_knowledge.upstreamReported();
            withdrawAbsence(now);
        }
        judgeRuns(now);
        return outcome;
    }
    if (report != nullptr) {
        m_knowledge.upstreamReported();
    }
    if (outcome == RegistrationOutcome::NewRun) {
        m_upstream.isDown = false;
        runBegan(hadRun, now);
    } else if (m_upstream.isDown) {
        runGoesOn(now);
    }
    judgeRuns(now);
    if (!m_knowledge.isComplete()) {
        // The settings may be those of an earlier start: the upstream has reported to an earlier process.
        m_announcer.requestRecords();
    }
    return outcome;
}

void PassthroughAdmission::departureAnnounced(const UpstreamDeparture &departure,
                                              RegistrationOutcome outcome,
                                              TimePoint now)
{
    // An upstream that was leaving when this agent started says nothing else to it.
    const bool isOfEarlierRun = !m_upstream.registration.report() && m_upstream.runs.isListed(departure);
    if (outcome == RegistrationOutcome::Changed || isOfEarlierRun) {
        m_knowledge.upstreamDeparted({}, now);
    }
}

void PassthroughAdmission::withdrawAbsence(TimePoint now)
{
    if (m_knowledge.restsOnAbsence()) {
        withdrawKnowledge(now);
    }
}

void PassthroughAdmission::runBegan(bool hadRun, TimePoint now)
{
    dropStoredFlowsOfOtherRun(*m_upstream.registration.report());
    // The run may be older than the refusal or the start of this agent.
    withdrawAbsence(now);
    if (hadRun) {
        m_newFlows.upstreamResponded();
        // Until the upstream returns packets of the flows in the table, they may be those of this run.
        m_upstream.tracker.stopWaitingForAnswers();
    }
}

void PassthroughAdmission::judgeRuns(TimePoint now)
{
    if (m_upstream.runs.showsUnservedRun()) {
        if (!m_knowledge.isComplete()) {
            m_knowledge.establish(KnowledgeBasis::UnservedRun, now);
        }
    } else if (m_knowledge.basis() == KnowledgeBasis::UnservedRun) {
        withdrawKnowledge(now);
    }
}

void PassthroughAdmission::runGoesOn(TimePoint now)
{
    m_upstream.isDown = false;
    m_upstream.runs.upstreamRuns();
    m_upstream.tracker.restoreLost();
    withdrawKnowledge(now);
}

void PassthroughAdmission::withdrawKnowledge(TimePoint now)
{
    m_knowledge.withdraw(now);
    // Records that came while the table counted as complete were not stored.
    m_announcer.renewRequests();
}

void PassthroughAdmission::upstreamRefused(TimePoint now)
{
    if (!m_upstream.isDown) {
        markFlowsLost();
    }
    m_upstream.isDown = true;
    m_upstream.runs.upstreamRefused();
    m_knowledge.establish(KnowledgeBasis::RefusedPacket, now);
}

Decision PassthroughAdmission::deliveryRefused(std::uint32_t mark, const flow::Segment &packet, TimePoint now)
{
    const auto handed = m_upstream.returnable.take(mark, packet.key);
    Decision decision {DropPacket {}, Cause::UnknownReturn, {}};
    if (handed) {
        decision = packet.isFirstPacket() ? m_newFlows.pass(handed->header, packet, Cause::NotReady)
                                          : passOtherPacket(handed->header, packet, denial(), now);
    }
    ++m_counters.decisions[static_cast<std::size_t>(decision.cause)];
    return decision;
}

void PassthroughAdmission::setPeers(std::vector<Peer> peers)
{
    std::vector<protocol::Candidate> candidates;
    candidates.reserve(peers.size());
    for (const Peer &peer : peers) {
        candidates.push_back(peer.candidate);
    }
    m_peers.set(std::move(candidates));
    m_announcer.setPeers(std::move(peers));
}

void PassthroughAdmission::locationsReceived(const protocol::LocationRecords &message, TimePoint now)
{
    if (message.owner.agent != m_settings.agent) {
        m_locations.store(message, now);
        return;
    }
    m_announcer.answered(message.sender);
    if (m_knowledge.isComplete()) {
        // The flow table is complete, so that records of other flows are outdated.
        return;
    }
    m_locations.store(message, now);
    for (const protocol::LocatedFlow &located : message.flows) {
        m_announcer.add(located);
    }
}

void PassthroughAdmission::storedFlowsRead(const StoredFlows &stored, TimePoint now)
{
    m_stored = stored;
    const auto &report = m_upstream.registration.report();
    if (report) {
        compareWithStoredFlows(*report);
        dropStoredFlowsOfOtherRun(*report);
        judgeRuns(now);
    }
    if (m_knowledge.isComplete()) {
        return;
    }
    m_locations.store({self(), m_stored.flows, {}}, now);
    for (const protocol::LocatedFlow &located : m_stored.flows) {
        m_announcer.add(located);
    }
}

StoredFlows PassthroughAdmission::flowsToStore(TimePoint now) const
{
    const auto &report = m_upstream.registration.report();
    StoredFlows stored;
    stored.runStartedSinceEpoch = report ? report->startedSinceEpoch : m_stored.runStartedSinceEpoch;
    stored.flows = m_announcer.openFlows([this, now](const flow::FlowKey &key) {
        const TrackedFlow *tracked = m_upstream.tracker.find(key);
        // A flow from before the start of this agent counts from its first packet here.
        const bool isRecorded = m_locations.names(key, m_settings.agent, now);
        const bool isOld = tracked == nullptr || isRecorded || now - tracked->began >= s_storedFlowAge;
        return isOld && ownsFlow(key, now);
    });
    return stored;
}

void PassthroughAdmission::compareWithStoredFlows(const UpstreamReport &report)
{
    const bool tellsStart = report.startedSinceEpoch.count() != 0;
    if (tellsStart && !m_stored.flows.empty() && m_stored.runStartedSinceEpoch == report.startedSinceEpoch) {
        m_upstream.runs.contradicted();
    }
}

void PassthroughAdmission::earlierRunsRead(const ServedRuns &earlier, TimePoint now)
{
    m_upstream.runs.earlierRunsRead(earlier);
    judgeRuns(now);
}

void PassthroughAdmission::runsRecorded(const ServedRuns &recorded)
{
    m_upstream.runs.runsRecorded(recorded);
}

std::optional<ServedRuns> PassthroughAdmission::runsToRecord() const
{
    return m_upstream.runs.listToRecord(m_knowledge.isComplete());
}

void PassthroughAdmission::dropStoredFlowsOfOtherRun(const UpstreamReport &report)
{
    const bool isKnown = report.startedSinceEpoch.count() != 0 && m_stored.runStartedSinceEpoch.count() != 0;
    if (!isKnown || m_stored.runStartedSinceEpoch == report.startedSinceEpoch) {
        return;
    }
    for (const protocol::LocatedFlow &located : m_stored.flows) {
        m_locations.remove(located.key, m_settings.agent);
    }
    m_stored = {};
}

std::vector<LocationMessage> PassthroughAdmission::locationsRequested(const protocol::LocationRequest &request)
{
    m_announcer.restarted(request.owner.agent);
    return m_announcer.answerRequest(request.owner, m_locations.flowsOf(request.owner.agent));
}

std::vector<LocationMessage> PassthroughAdmission::handOverLocations() const
{
    return m_announcer.handOver(m_locations.byOwner());
}

std::vector<LocationMessage> PassthroughAdmission::takeLocationMessages(TimePoint now)
{
    for (const flow::FlowKey &key : m_upstream.tracker.takeOpened()) {
        const TrackedFlow *tracked = m_upstream.tracker.find(key);
        if (tracked != nullptr) {
            m_announcer.add({key, tracked->upstreamInitialSequence.value_or(tracked->callerAcknowledged)});
        }
    }
    return m_announcer.takeDue(now, [this, now](const flow::FlowKey &key) { return ownsFlow(key, now); });
}

void PassthroughAdmission::setServed(ServedDestinations served)
{
    m_newFlows.setServed(std::move(served));
}

std::optional<ReleasedPacket> PassthroughAdmission::releaseHeld(TimePoint now)
{
    auto released = m_newFlows.releaseHeld(m_upstream, now);
    m_counters.decisions[static_cast<std::size_t>(Cause::Released)] += released ? 1 : 0;
    return released;
}

std::vector<ResetCaller> PassthroughAdmission::takeResets()
{
    return std::exchange(m_resets, {});
}

void PassthroughAdmission::stopAccepting()
{
    m_upstream.isStopped = true;
}

void PassthroughAdmission::expire(TimePoint now)
{
    m_upstream.tracker.expire(now);
    m_newFlows.expire(m_upstream, now);
    if (!m_knowledge.isComplete()) {
        // Nobody else renews the records of this agent's flows from before its start, and the flows may be idle.
        m_locations.renew(m_settings.agent, now);
    }
    m_locations.expire(now);
    // The idle timeout exceeds the longest life of a flow.
    m_knowledge.expire(now);
}

bool PassthroughAdmission::acceptsNewFlows(TimePoint now) const
{
    return m_upstream.acceptsNewFlows(now);
}

const UpstreamRegistration &PassthroughAdmission::registration() const
{
    return m_upstream.registration;
}

const FlowTracker &PassthroughAdmission::tracker() const
{
    return m_upstream.tracker;
}

const HeldFirstPackets &PassthroughAdmission::held() const
{
    return m_newFlows.held();
}

const NewFlowAdmission &PassthroughAdmission::newFlows() const
{
    return m_newFlows;
}

const LocationRecords &PassthroughAdmission::locations() const
{
    return m_locations;
}

const PassthroughCounters &PassthroughAdmission::counters() const
{
    return m_counters;
}

const FlowKnowledge &PassthroughAdmission::knowledge() const
{
    return m_knowledge;
}

bool PassthroughAdmission::isUpstreamDown() const
{
    return m_upstream.isDown;
}

void PassthroughAdmission::upstreamHadLeft(Clock::duration age, TimePoint now)
{
    if (!m_upstream.registration.report()) {
        m_knowledge.upstreamDeparted(age, now);
    }
}

bool PassthroughAdmission::hasUpstreamLeft() const
{
    return m_knowledge.isUpstreamDeparted();
}

bool PassthroughAdmission::isUpstreamAbsent() const
{
    return m_knowledge.restsOnAbsence() && !m_upstream.registration.report();
}

Decision
PassthroughAdmission::decide(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    return packet.isFirstPacket() ? m_newFlows.decide(header, packet, m_upstream, now)
                                  : otherPacket(header, packet, now);
}

Decision
PassthroughAdmission::otherPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    const TrackedFlow *tracked = m_upstream.tracker.find(packet.key);
    if (tracked == nullptr) {
        return untrackedPacket(header, packet, now);
    }
    const bool isHalfOpen = tracked->phase == FlowPhase::HalfOpen;
    if (!isHalfOpen && !tracked->canBelong(packet)) {
        // The caller uses its address and port for another flow by now.
        return notOwnedPacket(header, packet, now);
    }
    switch (tracked->phase) {
    case FlowPhase::NotOwned:
        return notOwnedPacket(header, packet, now);
    case FlowPhase::HalfOpen:
        if (!packet.ack || !tracked->isAcknowledgedBy(packet.acknowledgementNumber)) {
            // An upstream that has answered the first packet holds no other flow with the same key.
            return tracked->upstreamInitialSequence ? notOwnedPacket(header, packet, now)
                                                    : untrackedPacket(header, packet, now);
        }
        m_upstream.tracker.completeHandshake(packet.key);
        return ownedPacket(header, packet, now);
    case FlowPhase::Lost:
        if (tracked->wasHalfOpen && !tracked->isAcknowledgedBy(packet.acknowledgementNumber)) {
            return notOwnedPacket(header, packet, now);
        }
        m_upstream.tracker.forget(packet.key);
        return reset(packet.key, packet.acknowledgementNumber, Cause::UpstreamLostFlow);
    case FlowPhase::Open:
    case FlowPhase::Closed:
        return ownedPacket(header, packet, now);
    }
    return {DropPacket {}, Cause::NoOwner, {}};
}

Decision
PassthroughAdmission::ownedPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    if (m_upstream.isDown) {
        m_upstream.tracker.forget(packet.key);
        return reset(packet.key, packet.acknowledgementNumber, Cause::UpstreamLostFlow);
    }
    m_upstream.tracker.callerSent(packet, now);
    return {DeliverToUpstream {}, Cause::Owned, hintFor(header, packet.key, self())};
}

Decision
PassthroughAdmission::returnedPacket(const flow::Segment &packet, const protocol::EnvelopeHeader *header, TimePoint now)
{
    const TrackedFlow *tracked = m_upstream.tracker.find(packet.key);
    if (packet.isFirstPacket()) {
        if (tracked != nullptr && tracked->phase == FlowPhase::HalfOpen) {
            m_upstream.tracker.forget(packet.key);
        }
        if (header == nullptr) {
            return {DropPacket {}, Cause::UnknownReturn, {}};
        }
        return m_newFlows.pass(*header, packet, Cause::UpstreamDeclined);
    }
    const bool isOpen = tracked != nullptr && tracked->phase == FlowPhase::Open;
    const bool isAnswered =
        tracked != nullptr && tracked->phase == FlowPhase::HalfOpen && tracked->upstreamInitialSequence;
    if (isOpen && packet.returnMark != 0) {
        // Packets of open flows are handed over without a mark. This one was handed over before the flow opened, so
        // that it is of an earlier flow, or was overtaken and will be repeated.
        return {DropPacket {}, Cause::NotOwned, {}};
    }
    if (!isAnswered) {
        m_locations.remove(packet.key, m_settings.agent);
        m_upstream.tracker.markNotOwned(packet.key, now);
    }
    if (isOpen) {
        return reset(packet.key, packet.acknowledgementNumber, Cause::UpstreamLostFlow);
    }
    if (header == nullptr) {
        return {DropPacket {}, Cause::UnknownReturn, {}};
    }
    return passOtherPacket(*header, packet, protocol::OwnershipDenial::ReturnedByUpstream, now);
}

Decision PassthroughAdmission::untrackedPacket(const protocol::EnvelopeHeader &header,
                                               const flow::Segment &packet,
                                               TimePoint now)
{
    if (m_knowledge.isComplete() || m_upstream.isDown) {
        return notOwnedPacket(header, packet, now);
    }
    if (isLocatedHere(header, packet, now)) {
        return deliverLocated(header, packet, now);
    }
    return unknownPacket(header, packet, now);
}

Decision
PassthroughAdmission::notOwnedPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    if (wasHandled(header, now)) {
        return {DropPacket {}, Cause::SearchRepeated, {}};
    }
    return passOtherPacket(header, packet, denial(), now);
}

Decision
PassthroughAdmission::unknownPacket(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    if (wasHandled(header, now)) {
        return {DropPacket {}, Cause::SearchRepeated, {}};
    }
    protocol::EnvelopeHeader next = header;
    if (!routing::isDeferred(header)) {
        routing::deferCurrentAgent(next);
        if (const auto redirected = redirect(next, packet, now)) {
            return *redirected;
        }
    }
    if (routing::isOnlyPossibleOwner(next) && next.chain[next.hop].agent == m_settings.agent) {
        return {handOver(next, packet, Cause::OwnerUnknown, now), Cause::OwnerUnknown, {}};
    }
    return continueSearch(std::move(next), packet, Cause::OwnerUnknown);
}

bool PassthroughAdmission::wasHandled(const protocol::EnvelopeHeader &header, TimePoint now)
{
    if (header.search == 0) {
        return false;
    }
    using Turn = HandledSearches::Turn;
    const bool isSecondTurn = routing::isDeferred(header) || header.located == m_settings.agent;
    return !m_handledSearches.insert(header.search, isSecondTurn ? Turn::Second : Turn::First, now);
}

bool PassthroughAdmission::isLocatedHere(const protocol::EnvelopeHeader &header,
                                         const flow::Segment &packet,
                                         TimePoint now) const
{
    const auto owner = m_locations.find(packet, now);
    return header.located == m_settings.agent || (owner && owner->agent == m_settings.agent);
}

Decision
PassthroughAdmission::deliverLocated(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now)
{
    if (wasHandled(header, now)) {
        return {DropPacket {}, Cause::SearchRepeated, {}};
    }
    return {handOver(header, packet, Cause::Located, now), Cause::Located, hintFor(header, packet.key, self())};
}

DeliverToUpstream PassthroughAdmission::handOver(const protocol::EnvelopeHeader &header,
                                                 const flow::Segment &packet,
                                                 Cause cause,
                                                 TimePoint now)
{
    return {m_upstream.returnable.keep({header, cause, now}, packet.key)};
}

Decision PassthroughAdmission::passOtherPacket(protocol::EnvelopeHeader header,
                                               const flow::Segment &packet,
                                               protocol::OwnershipDenial denial,
                                               TimePoint now)
{
    if (header.exhaustive) {
        header.exhaustive->answers.add(denial);
    }
    routing::advance(header);
    const auto redirected = redirect(header, packet, now);
    return redirected ? *redirected : continueSearch(std::move(header), packet, Cause::NotOwned);
}

protocol::OwnershipDenial PassthroughAdmission::denial() const
{
    if (m_upstream.isDown) {
        return protocol::OwnershipDenial::NoUpstream;
    }
    return m_knowledge.isComplete() ? protocol::OwnershipDenial::KnowsItsFlows
                                    : protocol::OwnershipDenial::ReturnedByUpstream;
}

std::optional<Decision>
PassthroughAdmission::redirect(protocol::EnvelopeHeader header, const flow::Segment &packet, TimePoint now) const
{
    const auto owner = m_locations.find(packet, now);
    if (!owner || owner->agent == m_settings.agent) {
        return std::nullopt;
    }
    if (routing::isUnanswered(header, *owner)) {
        return Decision {ReturnSearch {routing::repeatForOwner(header, *owner)}, Cause::AgentSilent, {}};
    }
    const bool isMember = m_peers.contains(*owner) || std::ranges::find(header.chain, *owner) != header.chain.end();
    if (!isMember || !routing::askLocatedOwner(header, *owner)) {
        return std::nullopt;
    }
    if (header.exhaustive) {
        removeAskedAgents(header);
    }
    return Decision {PassToAgent {std::move(header), true}, Cause::Redirected, {}};
}

bool PassthroughAdmission::ownsFlow(const flow::FlowKey &key, TimePoint now) const
{
    const TrackedFlow *tracked = m_upstream.tracker.find(key);
    if (tracked != nullptr) {
        return tracked->phase == FlowPhase::Open;
    }
    return !m_knowledge.isComplete() && m_locations.names(key, m_settings.agent, now);
}

Decision PassthroughAdmission::continueSearch(protocol::EnvelopeHeader header, const flow::Segment &packet, Cause cause)
{
    if (routing::isDeferred(header) && !routing::isOnlyPossibleOwner(header)) {
        routing::giveUpDeferredAgents(header);
    }
    if (routing::isSearchOver(header)) {
        return endSearch(std::move(header), packet, cause);
    }
    if (header.exhaustive) {
        removeAskedAgents(header);
    }
    return {PassToAgent {std::move(header), true}, cause, {}};
}

Decision PassthroughAdmission::endSearch(protocol::EnvelopeHeader header, const flow::Segment &packet, Cause cause)
{
    const bool wereAllAsked = header.exhaustive && header.unanswered == 0;
    if (wereAllAsked && !packet.rst) {
        const protocol::SearchEnded ended {
            packet.key, packet.acknowledgementNumber, *header.exhaustive, m_settings.dataAddress};
        return {EndSearch {header.origin, ended}, Cause::NoOwner, {}};
    }
    if (!header.extended && m_peers.replaceAsked(header, packet.key)) {
        return {PassToAgent {std::move(header), true}, cause, {}};
    }
    if (header.unanswered > 0) {
        return {ReturnSearch {routing::repeatForUnanswered(header)}, cause, {}};
    }
    return {DropPacket {}, Cause::NoOwner, {}};
}

Decision PassthroughAdmission::reset(const flow::FlowKey &callerKey, std::uint32_t sequenceNumber, Cause cause)
{
    return {ResetCaller {callerKey, sequenceNumber}, cause, {}};
}

void PassthroughAdmission::markFlowsLost()
{
    m_locations.removeAll(m_settings.agent);
    for (const FlowTracker::LostFlow &lost : m_upstream.tracker.markLost()) {
        m_resets.push_back({lost.callerKey, lost.callerAcknowledged});
    }
}

protocol::Candidate PassthroughAdmission::self() const
{
    return {m_settings.agent, m_settings.dataAddress};
}

} // namespace samphireswitch::passthrough
