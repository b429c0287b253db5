#pragma once

#include "base/resultcode.h"
#include "flow/flowkey.h"
#include "flow/segment.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace samphireswitch::flow {

/** The fields of an IPv4/TCP packet that decisions need. Does not own the bytes. */
class PacketView
{
public:
    /**
     * Checks lengths, version and protocol of @p bytes. Fails with ResultCode::PacketMalformed for anything but one
     * whole, unfragmented IPv4 packet that carries a whole TCP header. Checksums are not verified here: the TCP stack
     * of the agent does that.
     */
    static Result<PacketView> parse(std::span<const std::byte> bytes);

    const FlowKey &key() const;
    std::uint32_t sequenceNumber() const;
    std::uint32_t acknowledgementNumber() const;
    std::size_t payloadSize() const;
    std::span<const std::byte> bytes() const;
    /** The fields that decisions need. */
    Segment segment() const;

    bool isSyn() const;
    bool isAck() const;
    bool isRst() const;
    bool isFin() const;

    /** A SYN without ACK: the packet that asks for a new connection. */
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
