#pragma once

#include "base/resultcode.h"
#include "flow/flowkey.h"
#include "flow/segment.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace samphireswitch::flow {

/**
 * Decoded header fields of an IPv4/TCP packet. The view refers to the bytes of the packet without owning them: they
 * must outlive any use of bytes(). The other fields are copies in host byte order.
 */
class PacketView
{
public:
    /**
     * Decodes the headers of @p bytes after checking lengths, IP version and protocol. Fails with
     * ResultCode::PacketMalformed unless @p bytes hold exactly one complete, unfragmented IPv4 packet with a complete
     * TCP header. Checksums are not verified here, because the TCP stack of the agent verifies them.
     */
    static Result<PacketView> parse(std::span<const std::byte> bytes);

    const FlowKey &key() const;
    std::uint32_t sequenceNumber() const;
    std::uint32_t acknowledgementNumber() const;
    /** Returns the number of bytes that follow the TCP header. */
    std::size_t payloadSize() const;
    std::span<const std::byte> bytes() const;
    /**
     * Copies the decoded fields into a Segment, which does not refer to bytes(). The fields of Segment that an IPv4/TCP
     * packet does not carry (returned, synRetransmissions and returnMark) keep their defaults.
     */
    Segment segment() const;

    bool isSyn() const;
    bool isAck() const;
    bool isRst() const;
    bool isFin() const;

    /** Returns true for a SYN without ACK, the packet with which a caller opens a connection. */
    bool isFirstPacket() const;

private:
    PacketView() = default;

    std::span<const std::byte> m_bytes;
    FlowKey m_key;
    std::uint32_t m_sequenceNumber = 0;
    std::uint32_t m_acknowledgementNumber = 0;
    std::size_t m_payloadSize = 0;
    std::uint8_t m_flags = 0;
};

} // namespace samphireswitch::flow
