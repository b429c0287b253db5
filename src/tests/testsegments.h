#pragma once

#include "flow/segment.h"

#include <cstddef>
#include <cstdint>

namespace samphireswitch::tests {

/** Sequence numbers of the first packets of both ends. */
constexpr std::uint32_t s_callerSequence = 1000;
constexpr std::uint32_t s_upstreamSequence = 5000;

/** Copy number @p copy of the first packet of the flow @p key. */
inline flow::Segment firstSegment(const flow::FlowKey &key, std::uint32_t copy = 0)
{
    flow::Segment segment;
    segment.key = key;
    segment.sequenceNumber = s_callerSequence;
    segment.syn = true;
    segment.synRetransmissions = copy;
    return segment;
}

/** A later packet of the caller with @p size bytes of data, @p offset bytes behind the first packet. */
inline flow::Segment callerSegment(const flow::FlowKey &key,
                                   std::size_t size,
                                   std::uint32_t offset = 0,
                                   std::uint32_t acknowledged = s_upstreamSequence + 1)
{
    flow::Segment segment;
    segment.key = key;
    segment.sequenceNumber = s_callerSequence + 1 + offset;
    segment.acknowledgementNumber = acknowledged;
    segment.payloadSize = size;
    segment.ack = true;
    return segment;
}

/** The answer to the first packet, or a later packet of the upstream with @p size bytes of data. */
inline flow::Segment upstreamSegment(const flow::FlowKey &key, bool syn, std::size_t size = 0)
{
    flow::Segment segment;
    segment.key = flow::reversed(key);
    segment.sequenceNumber = s_upstreamSequence;
    segment.acknowledgementNumber = s_callerSequence + 1;
    segment.payloadSize = size;
    segment.ack = true;
    segment.syn = syn;
    return segment;
}

} // namespace samphireswitch::tests
