#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace samphireswitch::flow {

/**
 * Translates between the sequence numbers of the agent's TCP stack and those that a caller sees, which differ by a
 * fixed offset per flow (modulo 2^32). The offset hides the predictable initial sequence numbers of the stack from
 * callers (RFC 6528). Only the numbers of bytes sent to the caller are translated. Selective acknowledgement options
 * are left as they are: the stack never offers SACK, so callers never send such options.
 */
class SequenceTranslator
{
public:
    /** @p offset is added to the stack's sequence numbers to get those that the caller sees. */
    explicit SequenceTranslator(std::uint32_t offset);

    /**
     * Adds the offset to the sequence number of @p packet, which the stack sends to the caller, and updates the TCP
     * checksum to match. @p packet must be a complete IPv4/TCP packet that PacketView::parse() would accept.
     */
    void translateOutgoing(std::span<std::byte> packet) const;

    /**
     * Subtracts the offset from the acknowledgement number of @p packet, which comes from the caller, and updates the
     * TCP checksum to match. Leaves a packet without the ACK flag unchanged, because the acknowledgement number of such
     * a packet has no meaning. @p packet must be a complete IPv4/TCP packet that PacketView::parse() would accept.
     */
    void translateIncoming(std::span<std::byte> packet) const;

    std::uint32_t offset() const;

private:
    std::uint32_t m_offset;
};

} // namespace samphireswitch::flow
