#pragma once

#include "flow/packetview.h"

#include <array>
#include <cstddef>

namespace samphireswitch::agent {

/** An IPv4 packet that consists of an IPv4 header and a TCP header (20 bytes each), without options or payload. */
using ResetPacket = std::array<std::byte, 40>;

/**
 * Builds the TCP reset that answers @p packet, with the sequence and acknowledgement numbers that RFC 9293, section
 * 3.10.7.1 specifies for a segment that arrives in the CLOSED state.
 */
ResetPacket makeResetPacket(const flow::PacketView &packet);

} // namespace samphireswitch::agent
