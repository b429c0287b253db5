#pragma once

#include "base/latencyhistogram.h"
#include "base/time.h"
#include "flow/segment.h"
#include "passthrough/requestterms.h"
#include "protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::passthrough {

/** A first packet that waits for a slot. */
struct HeldFirstPacket
{
    protocol::EnvelopeHeader header;
    flow::Segment packet;
    RequestTerms terms;
    /** When the caller sent the first copy of it, at the latest. */
    TimePoint startedAt;
    TimePoint arrivedAt;
};

/**
 * First packets that wait at an agent whose upstream has no free slot, in the order in which they are to be served.
 *
 * Pattern: many callers return at once, as after a loss of power of all processes, and ask for more than the upstreams
 * can serve. In order of arrival everybody would wait for everybody before, and all answers would be late. Callers who
 * can still be answered in time are served first, by priority and then the newest, who has most of the time left. Every
 * eighth time, and when nobody else waits, it is the turn of those who are late already, the oldest first, so that they
 * do not starve. A packet is given up when the caller is about to repeat it, or has no use for an answer any more.
 */
class HeldFirstPackets
{
public:
    /** More would not get a slot before they are given up: some tens of answers in that time. */
    static constexpr std::size_t s_capacity = 64;

    /** Keeps a packet; an earlier copy of it is replaced. When there is no room, the oldest one is given up. */
    void
    hold(const protocol::EnvelopeHeader &header, const flow::Segment &packet, const RequestTerms &terms, TimePoint now);

    /** Removes and returns the packet that is to be served next. */
    std::optional<HeldFirstPacket> takeNext(TimePoint now);

    /** Gives up the packets whose callers repeat them by now. */
    void expire(TimePoint now);

    std::size_t size() const;
    /** From a packet's arrival to its turn. */
    const LatencyHistogram &waitingTimes() const;

private:
    using Packets = std::vector<HeldFirstPacket>;

    enum class Group { OnTime, Late };

    /** Of those in @p group with the highest priority the newest if they are on time, else the oldest; or the end. */
    Packets::const_iterator next(Group group, TimePoint now) const;

    /** By the time at which the caller started, the oldest first. */
    Packets m_packets;
    std::uint64_t m_taken = 0;
    LatencyHistogram m_waitingTimes;
};

} // namespace samphireswitch::passthrough
