#pragma once

#include "base/latencyhistogram.h"
#include "base/time.h"
#include "flow/segment.h"
#include "passthrough/priorityturns.h"
#include "passthrough/requestterms.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace samphireswitch::passthrough {

/** A first packet that waits for a free slot. */
struct HeldFirstPacket
{
    protocol::EnvelopeHeader header;
    flow::Segment packet;
    RequestTerms terms;
    /**
     * Estimate of when the caller sent the first copy of the packet, from the number of earlier copies. The caller may
     * have sent it earlier, but not later.
     */
    TimePoint startedAt;
    /** When this copy of the packet arrived. */
    TimePoint arrivedAt;
};

/**
 * Queue of first packets at an agent whose upstream has no free slot, or is cold and may not get one yet.
 *
 * PriorityTurns decides which priority is served next: the highest one that waits, and in a stated share of the turns a
 * lower one. Within a priority, requests that can still be answered within their latency target come first, the newest
 * first: under overload, first-in, first-out order would make all answers late. Every eighth turn, and each turn
 * without a request on time, goes to the oldest late request, so that late requests do not starve.
 *
 * A packet is dropped shortly before its caller repeats it or gives up, or when the deadline of the request has passed.
 */
class HeldFirstPackets
{
public:
    /**
     * Maximum number of packets. The upstream answers only some tens of requests before a held packet expires, so that
     * further packets would not get a slot.
     */
    static constexpr std::size_t s_capacity = 64;
    /**
     * Number of packets of each priority that are not displaced by other priorities, so that lower ones are there when
     * they have a turn.
     */
    static constexpr std::size_t s_reservedPlaces = 4;

    /**
     * Adds a packet and replaces an earlier packet of the same flow. A full queue drops one packet: the one whose
     * caller started first, of the lowest priority with more than s_reservedPlaces packets. It may be the new one.
     * Returns the dropped packet if packets of a higher priority wait, so that its caller can be refused. A dropped
     * packet of the highest priority is not returned, because the next copy of its caller comes soon.
     */
    std::optional<HeldFirstPacket>
    hold(const protocol::EnvelopeHeader &header, const flow::Segment &packet, const RequestTerms &terms, TimePoint now);

    /**
     * Whether the caller of @p packet will still wait after @p wait, and the deadline of the request will not have
     * passed.
     */
    static bool
    canWait(const flow::Segment &packet, const RequestTerms &terms, std::chrono::nanoseconds wait, TimePoint now);

    /** Removes and returns the packet to be served next. Returns nothing if no unexpired packet waits. */
    std::optional<HeldFirstPacket> takeNext(TimePoint now);

    /**
     * Number of turns before the one that would serve @p packet, if it were held and no other packet came. The queue
     * must have dropped expired packets.
     */
    std::size_t turnsBefore(const flow::Segment &packet, const RequestTerms &terms, TimePoint now) const;

    /** Estimate of when the caller sent the first copy of @p packet, which arrives now. */
    static TimePoint startOf(const flow::Segment &packet, TimePoint now);

    /** Drops the packets that their callers are about to repeat, and those whose deadline has passed. */
    void expire(TimePoint now);

    std::size_t size() const;
    /** Whether a packet of the flow @p key waits, expired or not. */
    bool contains(const flow::FlowKey &key) const;
    /** Number of packets of each priority, without the priorities that have none. */
    std::map<std::uint8_t, std::size_t> sizeByPriority() const;
    /** Number of packets so far that hold() has dropped and returned. */
    std::uint64_t displaced() const;
    /** Times from the arrival of a packet until takeNext() returned it. */
    const LatencyHistogram &waitingTimes() const;

private:
    using Packets = std::vector<HeldFirstPacket>;

    /** Whether a request can still be answered within its latency target. */
    enum class Group { OnTime, Late };

    static Group groupOf(const RequestTerms &terms, TimePoint startedAt, TimePoint now);
    /** Drops a packet of the full queue for @p arriving, as hold() says. */
    std::optional<HeldFirstPacket> makeRoom(const HeldFirstPacket &arriving);
    /**
     * The packet of @p group and @p priority to be served next, or the end if there is none: the newest in
     * Group::OnTime, and the oldest in Group::Late.
     */
    Packets::const_iterator next(std::uint8_t priority, Group group, TimePoint now) const;

    /** Sorted by HeldFirstPacket::startedAt, the oldest first. */
    Packets m_packets;
    PriorityTurns m_turns;
    std::uint64_t m_displaced = 0;
    LatencyHistogram m_waitingTimes;
};

} // namespace samphireswitch::passthrough
