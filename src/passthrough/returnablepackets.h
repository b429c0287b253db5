#pragma once

#include "protocol/messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::passthrough {

/**
 * Envelope headers of packets that were handed to the upstream and may come back, so that their search can go on. The
 * upstream keeps the mark that a packet was handed over with. Bounded: a new header replaces the oldest one.
 */
class ReturnablePackets
{
public:
    /** An upstream returns a packet within microseconds; this is some milliseconds of the largest load. */
    static constexpr std::size_t s_defaultCapacity = 256;

    explicit ReturnablePackets(std::size_t capacity = s_defaultCapacity);

    /** Keeps @p header and returns its mark, which is never 0. */
    std::uint32_t keep(const protocol::EnvelopeHeader &header);

    /** The header with this mark, once. */
    std::optional<protocol::EnvelopeHeader> take(std::uint32_t mark);

private:
    struct Entry
    {
        std::uint32_t mark = 0;
        protocol::EnvelopeHeader header;
    };

    std::vector<Entry> m_entries;
    std::uint32_t m_lastMark = 0;
};

} // namespace samphireswitch::passthrough
