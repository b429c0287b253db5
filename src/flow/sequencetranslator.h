#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace samphireswitch::flow {

/**
 * Shifts the sequence numbers of one direction of a flow by a fixed offset, so that the predictable initial sequence
 * numbers of the TCP stack are not visible to callers (RFC 6528). Selective acknowledgements are not translated: the
 * TCP stack never offers them, so callers never send them.
 */
class SequenceTranslator
{
public:
    explicit SequenceTranslator(std::uint32_t offset);

    /** Adds the offset to the sequence number of @p packet, a whole IPv4/TCP packet checked by PacketView. */
    void translateOutgoing(std::span<std::byte> packet) const;

    /** Subtracts the offset from the acknowledgement number of @p packet if its ACK flag is set. */
    void translateIncoming(std::span<std::byte> packet) const;

    std::uint32_t offset() const;

private:
    std::uint32_t m_offset;
};

} // namespace samphireswitch::flow
