#pragma once

#include "flow/flowkey.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphireswitch::tests {

constexpr std::uint8_t s_synFlag = 0x02;
constexpr std::uint8_t s_ackFlag = 0x10;

/** An IPv4/TCP packet without options and with zero checksums, which the balancer does not verify. */
inline std::vector<std::byte> tcpPacket(const flow::FlowKey &key, std::uint8_t flags, std::size_t payloadSize = 0)
{
    constexpr std::size_t headerBytes = 40;
    std::vector<std::byte> packet(headerBytes + payloadSize);
    const auto put = [&packet](std::size_t offset, std::uint64_t value, std::size_t bytes) {
        for (std::size_t index = 0; index < bytes; ++index) {
            packet[offset + index] = static_cast<std::byte>(value >> (8 * (bytes - 1 - index)));
        }
    };
    put(0, 0x45, 1);
    put(2, packet.size(), 2);
    put(8, 64, 1);
    put(9, 6, 1);
    put(12, key.source.address, 4);
    put(16, key.destination.address, 4);
    put(20, key.source.port, 2);
    put(22, key.destination.port, 2);
    put(32, 0x50, 1);
    put(33, flags, 1);
    return packet;
}

} // namespace samphireswitch::tests
