#pragma once

#include "base/resultcode.h"
#include "flow/segment.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

/**
 * The platform's packet: a header of 32 bytes in network byte order, then the data. PROTOCOL.md, section Packets. The
 * keyed sum covers all fields but `echo`, `pad` and the flag BOUNCED, so only these may be changed on the way.
 */
namespace samphireswitch::platform {

constexpr std::size_t s_packetHeaderSize = 32;
/** The most data that a packet carries, in bytes. Its sender fills each packet but the last one of what it sends. */
constexpr std::size_t s_maximumPacketData = 1200;

using ResetBytes = std::array<std::byte, s_packetHeaderSize>;

/** Fails with ResultCode::PacketMalformed if the header is cut or its length does not match the datagram. */
Result<flow::Segment> parsePacket(std::span<const std::byte> bytes);

/** Sets the mark that comes back if the upstream returns the packet, and clears the flag of a returned packet. */
void prepareForUpstream(std::span<std::byte> packet, std::uint32_t mark);

/** Clears what the system and the upstream wrote into the packet, so that it is as its sender wrote it. */
void restorePacket(std::span<std::byte> packet);

/** A reset of the flow with this caller's key, as it goes to the caller. */
ResetBytes makeReset(const flow::FlowKey &callerKey, std::uint32_t sequenceNumber);

} // namespace samphireswitch::platform
