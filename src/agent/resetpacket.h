#pragma once

#include "flow/packetview.h"

#include <array>
#include <cstddef>

namespace samphireswitch::agent {

/** An IPv4 packet with a TCP header, both without options and payload. */
using ResetPacket = std::array<std::byte, 40>;

/** The reset in answer to @p packet, with the numbers that RFC 9293, section 3.10.7.1 gives for a closed connection. */
ResetPacket makeResetPacket(const flow::PacketView &packet);

} // namespace samphireswitch::agent
