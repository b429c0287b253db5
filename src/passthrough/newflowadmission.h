#pragma once

#include "base/time.h"
#include "flow/segment.h"
#include "passthrough/decision.h"
#include "passthrough/heldfirstpackets.h"
#include "passthrough/serveddestinations.h"
#include "passthrough/upstreamlimits.h"
#include "passthrough/upstreamsilence.h"
#include "passthrough/upstreamstate.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace samphireswitch::passthrough {

/** A held first packet that is to be handed to the upstream now. */
struct ReleasedPacket
{
    flow::Segment packet;
    DeliverToUpstream delivery;
    /** Has a value if a balancer needs to learn the owner of the flow. */
    std::optional<SendHint> hint;
};

/**
 * The hint that @p self owns the flow of a packet that arrived with @p header; none if it is the only agent that the
 * balancer named.
 */
std::optional<SendHint>
hintFor(const protocol::EnvelopeHeader &header, const flow::FlowKey &key, const protocol::Candidate &self);

/** By what the agents of a pool compare themselves when a first packet finds all of them busy. */
enum class BusyComparison {
    /** Busy slots as a share of all slots. */
    Load,
    /** ExpectedWait, so that a slow upstream gets fewer requests than a fast one that is as busy. */
    Wait,
};

/**
 * Decides which new flows an upstream gets. A first packet is handed to the upstream while it has free slots, waits
 * here for a slot if no agent of its chain has one, or goes to the next agent of the chain. Part of the decision logic
 * of PassthroughAdmission, without a clock of its own.
 */
class NewFlowAdmission
{
public:
    NewFlowAdmission(const protocol::Candidate &self,
                     const UpstreamSilenceSettings &silence,
                     const UpstreamPaceSettings &pace = {},
                     BusyComparison comparison = BusyComparison::Load);

    /** Decides on a first packet that arrived in an envelope with @p header. */
    Decision
    decide(const protocol::EnvelopeHeader &header, const flow::Segment &packet, UpstreamState &upstream, TimePoint now);

    /**
     * Passes a first packet to the next candidate. If all candidates or enough busy ones were asked, the packet is
     * directed to the least busy one, or the balancer is told that none accepts new flows.
     */
    Decision pass(protocol::EnvelopeHeader header, const flow::Segment &packet, Cause cause) const;

    /**
     * Returns the next held first packet if a slot is free. If the upstream cannot accept the packet any more, for
     * instance because its address is no longer served, the packet is dropped and nothing is returned, although further
     * packets may wait. The caller's next copy then finds another upstream.
     */
    std::optional<ReleasedPacket> releaseHeld(UpstreamState &upstream, TimePoint now);

    /** Records that the upstream sent or returned a packet, or began a new run. */
    void upstreamResponded();

    /** Sets the addresses that the upstream may serve, and the terms for it, by the latest configuration. */
    void setServed(ServedDestinations served);

    /** Drops held packets that have expired, and judges the requests that wait for an answer. */
    void expire(const UpstreamState &upstream, TimePoint now);

    /** Time until releaseHeld() may return a packet although nothing else happens, at most @p longest. */
    std::chrono::milliseconds timeUntilRelease(std::chrono::milliseconds longest, TimePoint now) const;

    const HeldFirstPackets &held() const;
    const UpstreamLimits &limits() const;

private:
    Decision
    accept(const protocol::EnvelopeHeader &header, const flow::Segment &packet, UpstreamState &upstream, TimePoint now);
    /**
     * Accepts a first packet for which there is room. While others wait, it is held with them: a slot that has just
     * become free goes to the one whose turn it is.
     */
    Decision acceptInTurn(const protocol::EnvelopeHeader &header,
                          const flow::Segment &packet,
                          UpstreamState &upstream,
                          TimePoint now);
    /**
     * Accepts a first packet that no other agent will get, holds it until a slot is free, or refuses it if that is
     * expected to be too late.
     */
    Decision acceptOrHold(const protocol::EnvelopeHeader &header,
                          const flow::Segment &packet,
                          UpstreamState &upstream,
                          TimePoint now);
    DeliverToUpstream deliver(const protocol::EnvelopeHeader &header,
                              const flow::Segment &packet,
                              UpstreamState &upstream,
                              TimePoint now);
    /** Holds a first packet, or refuses it if it is expected to be answered after its deadline. */
    Decision holdOrRefuse(const protocol::EnvelopeHeader &header,
                          const flow::Segment &packet,
                          const RequestTerms &terms,
                          const UpstreamState &upstream,
                          TimePoint now);
    /** Holds a first packet until a slot is free, unless it has to give way to requests of a higher priority. */
    Decision
    hold(const protocol::EnvelopeHeader &header, const flow::Segment &packet, const RequestTerms &terms, TimePoint now);
    /** Number of held packets of @p priority and of higher priorities. */
    std::size_t heldUpTo(std::uint8_t priority) const;
    /** Whether a request that gets the next free slot in its turn is expected to be answered after its deadline. */
    bool wouldMissDeadline(const flow::Segment &packet,
                           const RequestTerms &terms,
                           const UpstreamState &upstream,
                           TimePoint now);
    /** The decision on a first packet that no upstream gets. */
    Decision refuse(const protocol::EnvelopeHeader &header,
                    const flow::Segment &packet,
                    Cause cause = Cause::NobodyAccepts) const;
    RefuseFirstPacket refusal(const protocol::EnvelopeHeader &header, const flow::Segment &packet) const;
    /** The reason why a new flow cannot be accepted even if a slot is free, or Cause::Accepted. */
    Cause rejectionCause(const protocol::EnvelopeHeader &header,
                         const flow::Segment &packet,
                         const UpstreamState &upstream,
                         TimePoint now) const;
    /**
     * What a busy agent compares with others, at least 1: the lowest figure gets the packet. By Wait it covers the
     * requests under way and those held here that are served before the packet, and a cold upstream at its limit has a
     * higher figure than all others.
     */
    std::uint32_t
    busyFigure(const flow::Segment &packet, std::uint32_t ownLoad, UpstreamState &upstream, TimePoint now);
    /** Decides on another copy of a first packet that the upstream already got. */
    Decision
    repeat(const protocol::EnvelopeHeader &header, const flow::Segment &packet, UpstreamState &upstream, TimePoint now);

    protocol::Candidate m_self;
    UpstreamSilence m_silence;
    UpstreamLimits m_limits;
    BusyComparison m_comparison;
    HeldFirstPackets m_held;
    ServedDestinations m_served;
};

} // namespace samphireswitch::passthrough
