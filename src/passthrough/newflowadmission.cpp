#include "passthrough/newflowadmission.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

namespace {

// Number of busy agents that a first packet visits before it goes to the least busy one. Each visit costs a network
// delay.
constexpr std::uint8_t s_maximumBusyVisits = 4;
// By Wait, figures from here on are those of cold upstreams at their limit. As a wait this one is 59 hours.
constexpr std::uint32_t s_leastColdFigure = 1U << 31U;

std::size_t slotDivisor(const UpstreamState &upstream)
{
    return std::max(1U, upstream.registration.report()->slots);
}

} // namespace

std::optional<SendHint>
hintFor(const protocol::EnvelopeHeader &header, const flow::FlowKey &key, const protocol::Candidate &self)
{
    if (header.chain.size() == 1 && !header.extended) {
        return std::nullopt;
    }
    return SendHint {header.origin, {key, self, header.generation}};
}

NewFlowAdmission::NewFlowAdmission(const protocol::Candidate &self,
                                   const UpstreamSilenceSettings &silence,
                                   const UpstreamPaceSettings &pace,
                                   BusyComparison comparison)
    : m_self(self)
    , m_silence(silence)
    , m_limits(pace)
    , m_comparison(comparison)
{
}

Decision NewFlowAdmission::decide(const protocol::EnvelopeHeader &header,
                                  const flow::Segment &packet,
                                  UpstreamState &upstream,
                                  TimePoint now)
{
    m_limits.observe(upstream, m_served, m_silence.isSilent(now), now);
    const TrackedFlow *tracked = upstream.tracker.find(packet.key);
    if (tracked != nullptr && tracked->beganWith(packet)) {
        return repeat(header, packet, upstream, now);
    }
    const Cause cause = rejectionCause(header, packet, upstream, now);
    if (cause != Cause::Accepted) {
        return pass(header, packet, cause);
    }
    const std::uint32_t ownLoad = m_limits.load(upstream, now);
    if (ownLoad < s_fullLoad) {
        return acceptInTurn(header, packet, upstream, now);
    }
    if (header.directed) {
        return acceptOrHold(header, packet, upstream, now);
    }
    protocol::EnvelopeHeader next = header;
    const std::uint32_t ownFigure = busyFigure(packet, ownLoad, upstream, now);
    if (next.leastFeeds == 0 || ownFigure < next.leastFeeds) {
        next.leastFeeds = ownFigure;
        next.leastFeedsHop = header.hop;
    }
    const bool isLast = header.hop + 1U >= header.chain.size() || header.hop + 1U >= s_maximumBusyVisits;
    if (next.leastFeedsHop == header.hop && isLast) {
        return acceptOrHold(header, packet, upstream, now);
    }
    return pass(next, packet, m_limits.causeOfLoad(upstream, now));
}

Decision NewFlowAdmission::repeat(const protocol::EnvelopeHeader &header,
                                  const flow::Segment &packet,
                                  UpstreamState &upstream,
                                  TimePoint now)
{
    const TrackedFlow *tracked = upstream.tracker.find(packet.key);
    const bool isAnswered = tracked->upstreamInitialSequence || tracked->phase == FlowPhase::Open;
    const bool isLast = header.hop + 1U >= header.chain.size();
    // A directed packet cannot be passed to another agent.
    if (!isAnswered && !isLast && !header.directed && packet.synRetransmissions > 0) {
        return pass(header, packet, Cause::UpstreamSilent);
    }
    if (!m_limits.cold().allows(now)) {
        // The upstream has the first copy. If its answer was lost, the caller's next copy may find room.
        return {DropPacket {}, Cause::ColdLimit, {}};
    }
    m_limits.delivered(now);
    return {DeliverToUpstream {upstream.returnable.keep({header, Cause::Repeated, now}, packet.key)},
            Cause::Repeated,
            hintFor(header, packet.key, m_self)};
}

std::optional<ReleasedPacket> NewFlowAdmission::releaseHeld(UpstreamState &upstream, TimePoint now)
{
    m_limits.observe(upstream, m_served, m_silence.isSilent(now), now);
    if (!upstream.acceptsNewFlows(now) || !m_limits.hasRoom(upstream, now)) {
        return std::nullopt;
    }
    const auto held = m_held.takeNext(now);
    if (!held || rejectionCause(held->header, held->packet, upstream, now) != Cause::Accepted) {
        return std::nullopt;
    }
    const DeliverToUpstream delivery = deliver(held->header, held->packet, upstream, now);
    return ReleasedPacket {held->packet, delivery, hintFor(held->header, held->packet.key, m_self)};
}

Decision NewFlowAdmission::pass(protocol::EnvelopeHeader header, const flow::Segment &packet, Cause cause) const
{
    if (cause == Cause::NotServed) {
        // Every agent of the pool will reject the packet once it has the newer configuration. The caller's next copy
        // may come from a balancer that has the newer configuration too.
        return {DropPacket {}, cause, {}};
    }
    const bool isLast = header.hop + 1U >= header.chain.size();
    const bool reachedVisitLimit = header.leastFeeds != 0 && header.hop + 1U >= s_maximumBusyVisits;
    if (header.directed) {
        return refuse(header, packet);
    }
    if (!isLast && !reachedVisitLimit) {
        ++header.hop;
        return {PassToAgent {header}, cause, {}};
    }
    if (header.leastFeeds == 0) {
        return refuse(header, packet);
    }
    header.directed = true;
    header.hop = header.leastFeedsHop;
    return {PassToAgent {header}, cause, {}};
}

Decision NewFlowAdmission::accept(const protocol::EnvelopeHeader &header,
                                  const flow::Segment &packet,
                                  UpstreamState &upstream,
                                  TimePoint now)
{
    const DeliverToUpstream delivery = deliver(header, packet, upstream, now);
    // The balancer records the first agent of the chain as the owner by itself and needs no hint for it.
    return {delivery, Cause::Accepted, header.hop > 0 ? hintFor(header, packet.key, m_self) : std::nullopt};
}

DeliverToUpstream NewFlowAdmission::deliver(const protocol::EnvelopeHeader &header,
                                            const flow::Segment &packet,
                                            UpstreamState &upstream,
                                            TimePoint now)
{
    upstream.tracker.open(packet, now);
    m_silence.firstPacketDelivered(now);
    m_limits.delivered(now);
    return {upstream.returnable.keep({header, Cause::Accepted, now}, packet.key)};
}

Decision
NewFlowAdmission::refuse(const protocol::EnvelopeHeader &header, const flow::Segment &packet, Cause cause) const
{
    return {refusal(header, packet), cause, {}};
}

RefuseFirstPacket NewFlowAdmission::refusal(const protocol::EnvelopeHeader &header, const flow::Segment &packet) const
{
    return {header.origin, {packet.key, packet.sequenceNumber, packet.synRetransmissions, m_self.endpoint}};
}

Decision NewFlowAdmission::acceptOrHold(const protocol::EnvelopeHeader &header,
                                        const flow::Segment &packet,
                                        UpstreamState &upstream,
                                        TimePoint now)
{
    if (m_limits.hasRoom(upstream, now)) {
        return acceptInTurn(header, packet, upstream, now);
    }
    const RequestTerms terms = m_served.termsOf(packet.key.destination);
    if (!m_limits.cold().allows(now)) {
        m_held.expire(now);
        // Counts all that arrived earlier, although the newest is served first: others will arrive before its turn.
        const auto wait = m_limits.cold().timeUntilAllowed(heldUpTo(terms.priority), now);
        if (!HeldFirstPackets::canWait(packet, terms, wait, now)) {
            return refuse(header, packet, Cause::ColdLimit);
        }
    }
    return holdOrRefuse(header, packet, terms, upstream, now);
}

Decision NewFlowAdmission::acceptInTurn(const protocol::EnvelopeHeader &header,
                                        const flow::Segment &packet,
                                        UpstreamState &upstream,
                                        TimePoint now)
{
    m_held.expire(now);
    const std::size_t others = m_held.size() - (m_held.contains(packet.key) ? 1 : 0);
    return others == 0 ? accept(header, packet, upstream, now)
                       : holdOrRefuse(header, packet, m_served.termsOf(packet.key.destination), upstream, now);
}

Decision NewFlowAdmission::holdOrRefuse(const protocol::EnvelopeHeader &header,
                                        const flow::Segment &packet,
                                        const RequestTerms &terms,
                                        const UpstreamState &upstream,
                                        TimePoint now)
{
    return wouldMissDeadline(packet, terms, upstream, now) ? refuse(header, packet, Cause::WouldBeLate)
                                                           : hold(header, packet, terms, now);
}

Decision NewFlowAdmission::hold(const protocol::EnvelopeHeader &header,
                                const flow::Segment &packet,
                                const RequestTerms &terms,
                                TimePoint now)
{
    const auto displaced = m_held.hold(header, packet, terms, now);
    if (displaced && displaced->packet.key == packet.key) {
        return refuse(header, packet, Cause::Displaced);
    }
    Decision decision {HoldPacket {packet.key}, Cause::Held, {}};
    if (displaced) {
        decision.displaced = refusal(displaced->header, displaced->packet);
    }
    return decision;
}

std::size_t NewFlowAdmission::heldUpTo(std::uint8_t priority) const
{
    std::size_t count = 0;
    for (const auto &[heldPriority, size] : m_held.sizeByPriority()) {
        count += heldPriority <= priority ? size : 0;
    }
    return count;
}

bool NewFlowAdmission::wouldMissDeadline(const flow::Segment &packet,
                                         const RequestTerms &terms,
                                         const UpstreamState &upstream,
                                         TimePoint now)
{
    const ExpectedWait &wait = upstream.tracker.expectedWait();
    const TimePoint startedAt = HeldFirstPackets::startOf(packet, now);
    if (terms.deadline.count() == 0 || !wait.isKnown()) {
        return terms.isPastDeadline(startedAt, now);
    }
    m_held.expire(now);
    const auto turn = wait.behind(m_held.turnsBefore(packet, terms, now), slotDivisor(upstream));
    const auto answeredAt = now + std::chrono::duration_cast<TimePoint::duration>(turn + wait.slotTime());
    return terms.isPastDeadline(startedAt, answeredAt);
}

Cause NewFlowAdmission::rejectionCause(const protocol::EnvelopeHeader &header,
                                       const flow::Segment &packet,
                                       const UpstreamState &upstream,
                                       TimePoint now) const
{
    if (!upstream.acceptsNewFlows(now)) {
        return Cause::NotReady;
    }
    if (ServiceId::fromName(upstream.registration.report()->service) != header.service) {
        return Cause::WrongService;
    }
    if (!m_served.allows(packet.key.destination, header.generation)) {
        return Cause::NotServed;
    }
    if (m_served.upstreamTerms().isEvacuated) {
        return Cause::Evacuated;
    }
    if (!m_silence.allowsFirstPacket(now)) {
        return Cause::UpstreamSilent;
    }
    return upstream.tracker.isFull() ? Cause::TableFull : Cause::Accepted;
}

std::uint32_t
NewFlowAdmission::busyFigure(const flow::Segment &packet, std::uint32_t ownLoad, UpstreamState &upstream, TimePoint now)
{
    if (m_comparison == BusyComparison::Load) {
        return ownLoad;
    }
    m_held.expire(now);
    const std::size_t held = m_held.turnsBefore(packet, m_served.termsOf(packet.key.destination), now);
    const std::uint32_t figure = std::min(
        upstream.tracker.expectedWait().comparable(ownLoad, held, slotDivisor(upstream)), s_leastColdFigure - 1);
    return m_limits.cold().allows(now) ? figure : s_leastColdFigure + figure;
}

void NewFlowAdmission::upstreamResponded()
{
    m_silence.upstreamResponded();
}

void NewFlowAdmission::setServed(ServedDestinations served)
{
    m_served = std::move(served);
}

void NewFlowAdmission::expire(const UpstreamState &upstream, TimePoint now)
{
    m_held.expire(now);
    m_limits.detectMissingAnswers(upstream, m_served, now);
}

std::chrono::milliseconds NewFlowAdmission::timeUntilRelease(std::chrono::milliseconds longest, TimePoint now) const
{
    const auto wait = m_limits.cold().timeUntilAllowed(0, now);
    if (m_held.size() == 0 || wait.count() == 0) {
        return longest;
    }
    return std::min(longest, std::chrono::ceil<std::chrono::milliseconds>(wait));
}

const HeldFirstPackets &NewFlowAdmission::held() const
{
    return m_held;
}

const UpstreamLimits &NewFlowAdmission::limits() const
{
    return m_limits;
}

} // namespace samphireswitch::passthrough
