#pragma once

#include "base/time.h"
#include "flow/segment.h"
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
    /** When the caller sent the first copy of it, at the latest. */
    TimePoint startedAt;
    TimePoint arrivedAt;
};

/**
 * First packets that wait at an agent whose upstream has no free slot, in the order in which they are to be served.
 *
 * Pattern: many callers return at once, as after a loss of power of all processes, and ask for more than the upstreams
 * can serve. In order of arrival everybody would wait for everybody before, and all answers would be late. The newest
 * caller is served first, who can still be answered in time; every fourth time it is the oldest, who has waited
 * longest, so that nobody starves. A packet is given up when the caller is about to repeat it.
 */
class HeldFirstPackets
{
public:
    /** More would not get a slot before they are given up: some tens of answers in that time. */
    static constexpr std::size_t s_capacity = 64;

    /** Keeps a packet; an earlier copy of it is replaced. When there is no room, the oldest one is given up. */
    void hold(const protocol::EnvelopeHeader &header, const flow::Segment &packet, TimePoint now);

    /** Removes and returns the packet that is to be served next. */
    std::optional<HeldFirstPacket> takeNext(TimePoint now);

    /** Gives up the packets whose callers repeat them by now. */
    void expire(TimePoint now);

    std::size_t size() const;

private:
    void erase(std::size_t index);

    /** By the time at which the caller started, the oldest first. */
    std::vector<HeldFirstPacket> m_packets;
    std::uint64_t m_taken = 0;
};

} // namespace samphireswitch::passthrough
