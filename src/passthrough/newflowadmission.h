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
                     const UpstreamPaceSettings &pace = {});

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
    /** Accepts a first packet that no other agent will get, or holds it until a slot is free. */
    Decision acceptOrHold(const protocol::EnvelopeHeader &header,
                          const flow::Segment &packet,
                          UpstreamState &upstream,
                          TimePoint now);
    DeliverToUpstream deliver(const protocol::EnvelopeHeader &header,
                              const flow::Segment &packet,
                              UpstreamState &upstream,
                              TimePoint now);
    /** The decision on a first packet that nobody accepts. */
    Decision refuse(const protocol::EnvelopeHeader &header, const flow::Segment &packet) const;
    /** The reason why a new flow cannot be accepted even if a slot is free, or Cause::Accepted. */
    Cause rejectionCause(const protocol::EnvelopeHeader &header,
                         const flow::Segment &packet,
                         const UpstreamState &upstream,
                         TimePoint now) const;
    /** Decides on another copy of a first packet that the upstream already got. */
    Decision
    repeat(const protocol::EnvelopeHeader &header, const flow::Segment &packet, UpstreamState &upstream, TimePoint now);

    protocol::Candidate m_self;
    UpstreamSilence m_silence;
    UpstreamLimits m_limits;
    HeldFirstPackets m_held;
    ServedDestinations m_served;
};

} // namespace samphireswitch::passthrough
