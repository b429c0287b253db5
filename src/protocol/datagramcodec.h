#pragma once

#include "base/resultcode.h"
#include "protocol/messages.h"
#include "protocol/samphireswitch.capnp.h"

#include <cstddef>
#include <span>
#include <vector>

namespace samphireswitch::protocol {

/**
 * Encodes messages to datagrams and decodes them. Keeps buffers between calls, so that envelopes are encoded without
 * heap allocation. An object belongs to one thread.
 */
class DatagramCodec
{
public:
    DatagramCodec();

    /**
     * Encodes @p message, sent at the sender's Lamport time @p logicalTime. The bytes are valid until the next call of
     * encode(). Fails with ResultCode::MessageTooLarge over s_maximumDatagramSize.
     */
    Result<std::span<const std::byte>> encode(const Message &message, std::uint64_t logicalTime = 0);

    /** As encode(), without a copy of the envelope into a Message. */
    Result<std::span<const std::byte>>
    encodeEnvelope(const EnvelopeHeader &header, std::span<const std::byte> packet, std::uint64_t logicalTime = 0);

    /**
     * Decodes @p datagram. The packet of an envelope refers to @p datagram, or to a buffer that is valid until the next
     * call of decode() when @p datagram is not aligned. Fails with ResultCode::MessageMalformed for anything that is
     * not one whole well-formed message, and for chains, hops and enumerators out of range.
     */
    Result<Datagram> decode(std::span<const std::byte> datagram);

private:
    std::vector<std::uint64_t> m_segment;
    std::vector<std::uint64_t> m_output;
    std::vector<std::uint64_t> m_aligned;
};

/** Conversions shared with the RPC interface. */
Result<MemberRecord> readMemberRecord(wire::MemberRecord::Reader reader);
void writeMemberRecord(const MemberRecord &record, wire::MemberRecord::Builder builder);
ContentState readContentState(wire::ContentState::Reader reader);
void writeContentState(const ContentState &state, wire::ContentState::Builder builder);

} // namespace samphireswitch::protocol
