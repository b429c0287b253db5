#pragma once

#include "base/endpoint.h"
#include "base/hash.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace samphireswitch::flow {

/** The addresses and ports of a caller's TCP connection, seen from the caller. Host byte order. */
struct FlowKey
{
    Endpoint source;
    Endpoint destination;

    auto operator<=>(const FlowKey &) const = default;
};

/** Keyed hash of a flow. All balancers and agents use the same @p seed where they must agree, as for candidate chains.
 */
inline std::uint64_t hashFlow(const FlowKey &key, std::uint64_t seed)
{
    const std::uint64_t addresses = (std::uint64_t {key.source.address} << 32U) | key.destination.address;
    const std::uint64_t ports = (std::uint64_t {key.source.port} << 16U) | key.destination.port;
    return mixHash(mixHash(seed, addresses), ports);
}

/** `a.b.c.d:port>a.b.c.d:port`, as the time line shows a flow. */
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
