#pragma once

#include "flow/flowkey.h"

#include <cstddef>
#include <cstdint>

namespace samphireswitch::flow {

/**
 * The header fields of a TCP segment that routing and admission use, independent of the packet format on the wire.
 * Holds copies in host byte order and does not refer to the bytes of the packet.
 */
struct Segment
{
    /**
     * The source is the sender of the packet: the caller, or the address of the service if an upstream sent the packet.
     */
    FlowKey key;
    std::uint32_t sequenceNumber = 0;
    std::uint32_t acknowledgementNumber = 0;
    /** Number of payload bytes. */
    std::size_t payloadSize = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    /** True if the upstream returned the packet, because it has no state for the flow or cannot accept the flow. */
    bool returned = false;
    /**
     * How often the caller had already sent this SYN: 0 for the original and 1 for the first retransmission. Always 0
     * if the packet format does not carry the count, and for packets other than a SYN without ACK.
     */
    std::uint32_t synRetransmissions = 0;
    /**
     * For a packet that the upstream returned: the mark that the agent set when it delivered the packet to the
     * upstream.
     */
    std::uint32_t returnMark = 0;

    /** Returns true for a SYN without ACK, the packet with which a caller opens a connection. */
    bool isFirstPacket() const
    {
        return syn && !ack;
    }
};

/** Returns @p key with source and destination swapped, the key of packets in the opposite direction. */
inline FlowKey reversed(const FlowKey &key)
{
    return {key.destination, key.source};
}

} // namespace samphireswitch::flow
