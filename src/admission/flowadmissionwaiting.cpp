#include "admission/flowadmissionprivate.h"

#include <algorithm>

namespace samphireswitch::admission {

using detail::Availability;

namespace {

/** Longest time for which a packet may wait if the service record sets no deadline. */
constexpr std::chrono::seconds s_waitWithoutDeadline {30};

/** Peers are told of a packet that has waited for the typical service time divided by this number. */
constexpr int s_announcementDivisor = 10;

/**
 * Number of requests that are accepted ahead in addition to the slots that are expected to become free during one
 * handshake, so that a request with a complete handshake is ready whenever a slot becomes free. With 1, slots idle for
 * 5% of a surge; with 3, more requests are bound to this host and wait behind stragglers.
 */
constexpr std::uint32_t s_spareHandshakes = 2;

} // namespace

void FlowAdmission::Private::park(const PacketArrived &packet, TimePoint now, Actions &actions)
{
    if (!canPark(now)) {
        refuse(packet.key, actions);
        return;
    }
    m_waiting.push({packet.key, packet.sequence, packet.header, now, now + maximumWait()});
    ++m_counters.parked;
    actions.push_back(ParkPacket {packet.key});
}

void FlowAdmission::Private::assignFreeSlots(TimePoint now, Actions &actions)
{
    if (m_waiting.empty() && m_peerBacklogs.total() == 0) {
        return;
    }
    m_peerBacklogs.removeExpired(now);
    while (m_slots.hasUnclaimed(acceptAheadLimit(now))) {
        const std::uint8_t ejected = m_waiting.empty() ? std::uint8_t {0} : m_waiting.front().header.ejected;
        if (availability(ejected, now) != Availability::Available) {
            return;
        }
        const PeerBacklogs::Peer *peer = m_peerBacklogs.oldest();
        // A packet that is parked here gets its slot without a round trip to a peer. A peer's packet therefore goes
        // first only if it is older by more than the validity of an offer.
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

std::uint32_t FlowAdmission::Private::acceptAheadLimit(TimePoint now) const
{
    // Only requests that have run for less than the straggler threshold are expected to end soon.
    const std::chrono::nanoseconds serviceTime = m_times.clippedMean();
    const std::chrono::nanoseconds handshake = m_times.meanHandshakeTime();
    const std::uint32_t recentRequests = m_slots.startedSince(now - m_times.stragglerThreshold());
    if (recentRequests == 0 || serviceTime.count() == 0) {
        return 0;
    }
    const auto desired = s_spareHandshakes + static_cast<std::uint32_t>(recentRequests * handshake / serviceTime);
    // A flow that is accepted ahead is bound to this host. Accepting it ahead is worthwhile only if the flow waits no
    // longer for a slot here than it would wait for the first free slot of any host and a handshake after that.
    const auto worthwhile = static_cast<std::uint32_t>(recentRequests * (expectedWait(now) + handshake) / serviceTime);
    return std::min(desired, worthwhile);
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
    // EnvelopeHeader::grant is 0 in an envelope that answers no offer, so 0 is not a valid identity.
    const std::uint64_t offer = std::max<std::uint64_t>(m_randomEngine(), 1);
    m_slots.reserve();
    m_offers.add(offer, now + m_settings.offerValidity);
    m_peerBacklogs.countOffer(peer.agent);
    actions.push_back(
        SendToAgent {peer, protocol::SlotOffer {m_terms->service, m_members.self(), offer, m_settings.offerValidity}});
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
                                           protocol::Waiting {m_terms->service, m_members.self(), count, age}});
        }
        return;
    }
    if (!m_announcements.hasOutdatedPeers()) {
        return;
    }
    for (const protocol::Candidate &peer : m_announcements.takeOutdatedPeers(now)) {
        actions.push_back(SendToAgent {peer, protocol::Waiting {m_terms->service, m_members.self(), 0, {}}});
    }
}

TimePoint FlowAdmission::Private::announcementTime() const
{
    // Most packets get a slot at this host before that time, and need not be announced.
    return m_waiting.front().since + m_times.clippedMean() / s_announcementDivisor;
}

void FlowAdmission::Private::handOverAllParked(Actions &actions)
{
    withdrawOffers();
    while (!m_waiting.empty()) {
        const ParkedPacket parked = m_waiting.front();
        m_waiting.remove(parked.key);
        protocol::EnvelopeHeader header = parked.header;
        header.directed = false;
        m_members.extendCandidates(header, parked.key);
        if (m_members.withdrawFromCandidates(header)) {
            header.hop = 0;
            ++m_counters.handedOver;
            actions.push_back(HandOverParked {parked.key, header});
        } else {
            ++m_counters.refused;
            actions.push_back(RefuseParked {parked.key});
        }
    }
}

bool FlowAdmission::Private::canPark(TimePoint now) const
{
    const std::chrono::nanoseconds limit =
        isSurge(now) ? std::min<std::chrono::nanoseconds>(maximumWait(), m_settings.surgeWait) : maximumWait();
    return m_waiting.size() < std::max<std::size_t>(m_terms->connections, 1) && expectedWait(now) <= limit;
}

bool FlowAdmission::Private::isSurge(TimePoint now) const
{
    const double serviceTime = std::chrono::duration<double>(m_times.mean()).count();
    return m_demand.rate(now) * serviceTime > m_settings.surgeDemand * static_cast<double>(serviceSlots());
}

std::size_t FlowAdmission::Private::serviceSlots() const
{
    return std::max<std::size_t>(m_slots.configured(), 1) * std::max<std::size_t>(m_members.eligible().size(), 1);
}

std::chrono::nanoseconds FlowAdmission::Private::expectedWait(TimePoint now) const
{
    const std::size_t hosts = std::max<std::size_t>(m_members.eligible().size(), 1);
    // In a surge, the queues of all hosts grow alike, and not every peer has announced its queue. The packets of
    // the service are therefore assumed to be at least those parked here times the number of hosts. Without a surge,
    // this host alone may have a long queue because stragglers occupy its slots, so only known packets count.
    const std::size_t knownPackets = m_waiting.size() + m_peerBacklogs.total();
    const std::size_t packetsAhead = isSurge(now) ? std::max(knownPackets, m_waiting.size() * hosts) : knownPackets;
    return m_times.mean() * static_cast<std::int64_t>(packetsAhead + 1) / static_cast<std::int64_t>(serviceSlots());
}

std::chrono::nanoseconds FlowAdmission::Private::maximumWait() const
{
    if (m_terms->deadline.count() == 0) {
        return s_waitWithoutDeadline;
    }
    // The deadline includes the time in which the request is served.
    return std::max<std::chrono::nanoseconds>(m_terms->deadline - m_times.mean(), std::chrono::nanoseconds(0));
}

} // namespace samphireswitch::admission
