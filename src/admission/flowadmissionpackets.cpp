#include "admission/flowadmissionprivate.h"

#include <algorithm>
#include <limits>

namespace samphireswitch::admission {

using detail::Availability;

namespace {

/** Value of EnvelopeHeader::leastFeeds while no candidate that was visited can accept the feed. */
constexpr std::uint32_t s_noFeedCandidate = std::numeric_limits<std::uint32_t>::max();

} // namespace

void FlowAdmission::Private::deliver(const PacketArrived &packet, Actions &actions)
{
    actions.push_back(DeliverPacket {packet.key});
    if (packet.header.hop > 0) {
        actions.push_back(SendHint {packet.header.origin, packet.key});
    }
}

void FlowAdmission::Private::handleFirstPacket(const PacketArrived &packet,
                                               bool granted,
                                               TimePoint now,
                                               Actions &actions)
{
    m_unowned.remove(packet.key);
    if (m_terms && m_terms->feedPort != 0 && packet.key.destination.port == m_terms->feedPort) {
        handleFeed(packet, now, actions);
    } else {
        handleRequest(packet, granted, now, actions);
    }
}

void FlowAdmission::Private::handleRequest(const PacketArrived &packet, bool granted, TimePoint now, Actions &actions)
{
    if (!granted) {
        m_demand.recordArrival(now);
    }
    protocol::EnvelopeHeader header = packet.header;
    header.grant = 0;
    const Availability ownAvailability = availability(header.ejected, now);
    if (ownAvailability == Availability::Available && (granted || (m_slots.hasUnclaimed() && m_waiting.empty()))) {
        accept(packet, FlowKind::Request, now, actions);
        return;
    }
    if (ownAvailability == Availability::Ejected) {
        ++header.ejected;
    }
    if (passToNextCandidate(header, packet.key, actions)) {
        return;
    }
    if (ownAvailability == Availability::Available || ownAvailability == Availability::Busy) {
        park(packet, now, actions);
        return;
    }
    if (m_members.withdrawFromCandidates(header)) {
        pass(header, 0, actions);
    } else if (!m_terms) {
        drop(DropReason::NoServiceRecord, actions);
    } else {
        refuse(packet.key, actions);
    }
}

void FlowAdmission::Private::handleFeed(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    protocol::EnvelopeHeader header = packet.header;
    const Availability ownAvailability = availability(header.ejected, now);
    const bool acceptable = ownAvailability == Availability::Available;
    if (header.directed) {
        if (acceptable) {
            accept(packet, FlowKind::Feed, now, actions);
            return;
        }
        // This agent can no longer accept the feed for which it was chosen. The other candidates are compared again.
        header.directed = false;
        if (m_members.withdrawFromCandidates(header)) {
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
    if (ownAvailability == Availability::Ejected) {
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

void FlowAdmission::Private::handleUnownedPacket(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    protocol::EnvelopeHeader header = packet.header;
    const std::size_t next = std::min(std::size_t {header.hop} + 1, header.chain.size());
    if (next < header.chain.size() || m_members.extendSearch(header, packet.key)) {
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
    if (!m_unowned.hasGraceExpired(packet.key, now)) {
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
    if (next >= candidateCount(header) && !m_members.extendCandidates(header, key)) {
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

bool FlowAdmission::Private::belongsToFlow(const Flow &flow, const PacketArrived &packet) const
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
    return flow.hasInitialSequence && packet.acknowledgement == flow.sequenceOffset + flow.initialSequence + 1;
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

Availability FlowAdmission::Private::availability(std::uint8_t ejectedCandidates, TimePoint now) const
{
    if (!m_terms || isDraining() || !m_terms->namesHost) {
        return Availability::NotServing;
    }
    if (m_ejection.isEjected() && !m_ejection.isProbeDue(now)
        && ejectedCandidates < EjectionPolicy::maximumEjected(m_members.eligible().size())) {
        return Availability::Ejected;
    }
    return hasFreeConnection() ? Availability::Available : Availability::Busy;
}

} // namespace samphireswitch::admission
