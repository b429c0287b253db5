#pragma once

#include "balancer/packetformat.h"
#include "balancer/packetpathcounters.h"
#include "balancer/ratelimiter.h"
#include "base/endpoint.h"
#include "base/time.h"
#include "protocol/messages.h"
#include "routing/flowrouter.h"
#include "routing/searchrepeats.h"
#include "routing/unacknowledgedsearches.h"

#include <cstddef>
#include <functional>
#include <span>

namespace samphireswitch::balancer {

/** How OwnerSearches sends packets. */
struct SearchOutlet
{
    /** Sends a packet in an envelope with this header to the current agent of the chain. */
    std::function<void(const protocol::EnvelopeHeader &header, std::span<const std::byte> bytes)> sendEnvelope;
    /** Forwards a packet whose owner was found before its search was repeated. */
    std::function<void(const flow::Segment &packet, std::span<const std::byte> bytes, TimePoint now)> forward;
};

/**
 * Carries the packets of searches for the owners of flows from agent to agent: skips agents that do not acknowledge
 * a packet, and repeats searches that no agent answered. Belongs to the thread of the packet path.
 */
class OwnerSearches
{
public:
    /**
     * Receipts go to @p receiptAddress. Without one (port 0), agents are not asked for receipts. The references must
     * be valid for the lifetime of the object.
     */
    OwnerSearches(const Endpoint &receiptAddress,
                  const PacketFormat &format,
                  routing::FlowRouter &router,
                  PacketPathCounters &counters,
                  SearchOutlet outlet);

    /** Sends a packet that begins a search, once for each part of the search. */
    void begin(const routing::Forward &forward, std::span<const std::byte> bytes, TimePoint now);

    /** Sends a packet of a search to the current agent of its chain, or to the next one if that agent is silent. */
    void send(const protocol::EnvelopeHeader &header, std::span<const std::byte> bytes, TimePoint now);

    /** Ends the wait for the receipt @p number. */
    void acknowledge(std::uint32_t number);

    /**
     * Schedules a repeat of a search in which no agent that answered owns the flow. The chain in @p header contains the
     * agents that did not answer.
     */
    void handleUnanswered(const protocol::EnvelopeHeader &header, std::span<const std::byte> bytes, TimePoint now);

    /** Whether advance() has to be called soon. */
    bool isPending() const;

    /** Sends unacknowledged searches to their next agent, and repeats unanswered searches that are due. */
    void advance(TimePoint now);

private:
    /** Whether the rate limit allows another retransmission of a search; counts it as suppressed if not. */
    bool tryAcquireResend(TimePoint now);
    /** Gives up a search whose current agent does not respond; the agents after it are not asked. */
    void abandon(const routing::UnacknowledgedSearches::Search &search);
    /** Sends a packet of a search to the next agent; without one, calls handleUnanswered(). */
    void skipSilentAgent(routing::UnacknowledgedSearches::Search search, TimePoint now);
    /** Repeats a search, or forwards its packet if the owner of the flow was found meanwhile. */
    void repeat(routing::SearchRepeats::Search search, TimePoint now);

    Endpoint m_receiptAddress;
    const PacketFormat &m_format;
    routing::FlowRouter &m_router;
    PacketPathCounters &m_counters;
    SearchOutlet m_outlet;
    routing::UnacknowledgedSearches m_unacknowledged;
    routing::SearchRepeats m_repeats;
    RateLimiter m_resendLimiter;
};

} // namespace samphireswitch::balancer
