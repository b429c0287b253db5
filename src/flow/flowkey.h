#pragma once

#include "base/endpoint.h"
#include "base/hash.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace samphireswitch::flow {

/**
 * The address and port pair of each end of a TCP connection, in host byte order. As the identity of a flow, the source
 * is the caller and the destination is the service; reversed() gives the key of packets in the opposite direction.
 */
struct FlowKey
{
    Endpoint source;
    Endpoint destination;

    auto operator<=>(const FlowKey &) const = default;
};

/**
 * Returns a 64-bit hash of @p key that depends on @p seed. Where balancers and agents must choose alike, as for
 * candidate chains, all of them have to pass the same seed.
 */
inline std::uint64_t hashFlow(const FlowKey &key, std::uint64_t seed)
{
    const std::uint64_t addresses = (std::uint64_t {key.source.address} << 32U) | key.destination.address;
    const std::uint64_t ports = (std::uint64_t {key.source.port} << 16U) | key.destination.port;
    return mixHash(mixHash(seed, addresses), ports);
}

/** Formats @p key as `a.b.c.d:port>a.b.c.d:port`, source first. Time lines show flows in this format. */
inline std::string toString(const FlowKey &key)
{
    return samphireswitch::toString(key.source) + '>' + samphireswitch::toString(key.destination);
}

} // namespace samphireswitch::flow

template<>
struct std::hash<samphireswitch::flow::FlowKey>
{
    std::size_t operator()(const samphireswitch::flow::FlowKey &key) const noexcept
    {
        return samphireswitch::flow::hashFlow(key, 0);
    }
};
