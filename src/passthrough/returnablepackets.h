#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "passthrough/decision.h"
#include "protocol/messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::passthrough {

/**
 * Envelope headers of packets that were handed to the upstream and that the upstream may return. With its header a
 * returned packet can be passed on to the next agent. The upstream returns a packet with the mark that it was handed
 * over with, and the mark identifies the header. Marks begin anew with each process, and the upstream may return a
 * packet that an earlier process handed over, so that the flow has to match as well. The number of headers is limited:
 * a new header replaces the oldest one.
 */
class ReturnablePackets
{
public:
    /** Enough headers for some milliseconds of the largest load. An upstream returns a packet within microseconds. */
    static constexpr std::size_t s_defaultCapacity = 256;

    explicit ReturnablePackets(std::size_t capacity = s_defaultCapacity);

    /** Stores @p packet, which is of the flow @p key, and returns its mark, which is never 0. */
    std::uint32_t keep(HandedPacket packet, const flow::FlowKey &key);

    /**
     * Removes and returns the packet with @p mark. Returns nothing if the mark is 0, if the packet was replaced or has
     * already been taken, or if it is of another flow than @p key.
     */
    std::optional<HandedPacket> take(std::uint32_t mark, const flow::FlowKey &key);

private:
    struct Entry
    {
        std::uint32_t mark = 0;
        flow::FlowKey key;
        HandedPacket packet;
    };

    std::vector<Entry> m_entries;
    std::uint32_t m_lastMark = 0;
};

} // namespace samphireswitch::passthrough
