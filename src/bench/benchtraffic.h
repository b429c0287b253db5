#pragma once

#include "flow/packetview.h"
#include "routing/routingtable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace samphireswitch::bench {

constexpr std::uint8_t s_synFlag = 0x02;
constexpr std::uint8_t s_ackFlag = 0x10;
constexpr std::size_t s_headerBytes = 40;
constexpr std::uint16_t s_requestPort = 8001;
constexpr std::uint32_t s_firstServiceAddress = 0x0a140000;
constexpr std::uint32_t s_firstCallerAddress = 0xc0a80000;
// Flows of one caller address. Coprime to the numbers of services used here.
constexpr std::uint32_t s_flowsPerCaller = 28657;

/** Flow @p number of a run; flows are spread over the first @p services services. */
inline flow::FlowKey flowNumber(std::uint32_t number, std::uint32_t services)
{
    return {{s_firstCallerAddress + number / s_flowsPerCaller,
             static_cast<std::uint16_t>(1024 + number % s_flowsPerCaller)},
            {s_firstServiceAddress + number % services, s_requestPort}};
}

inline std::vector<routing::RoutedService>
makeServices(std::uint32_t count, std::uint32_t members, const Endpoint &agentEndpoint)
{
    std::vector<routing::RoutedService> services(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        routing::RoutedService &service = services[index];
        service.name = "service-" + std::to_string(index);
        service.service = ServiceId::fromName(service.name);
        service.address = s_firstServiceAddress + index;
        service.requestPort = s_requestPort;
        service.feedPort = s_requestPort + 1;
        for (std::uint32_t member = 0; member < members; ++member) {
            const AgentId agent = AgentId::fromHostName(service.name + '/' + std::to_string(member));
            service.eligible.push_back({agent, agentEndpoint});
        }
    }
    return services;
}

/** Writes @p value in network byte order. */
inline void putBigEndian(std::byte *bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t index = 0; index < size; ++index) {
        bytes[index] = static_cast<std::byte>(value >> (8 * (size - 1 - index)));
    }
}

/** Writes the headers of an IPv4/TCP packet without options over the start of @p packet. */
inline void writeHeaders(std::span<std::byte> packet, std::uint8_t flags)
{
    putBigEndian(&packet[0], 0x45, 1);
    putBigEndian(&packet[2], packet.size(), 2);
    putBigEndian(&packet[8], 64, 1);
    putBigEndian(&packet[9], 6, 1);
    putBigEndian(&packet[32], 0x50, 1);
    putBigEndian(&packet[33], flags, 1);
}

/** Changes the flow of a packet that writeHeaders() prepared. */
inline void writeKey(std::span<std::byte> packet, const flow::FlowKey &key)
{
    putBigEndian(&packet[12], key.source.address, 4);
    putBigEndian(&packet[16], key.destination.address, 4);
    putBigEndian(&packet[20], key.source.port, 2);
    putBigEndian(&packet[22], key.destination.port, 2);
}

} // namespace samphireswitch::bench
