#pragma once

#include "base/resultcode.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphireswitch {

/** An IPv4 address and a port, both in host byte order. */
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** Parses `a.b.c.d:port`. Fails with ResultCode::InvalidAddress; port 0 is not accepted. */
Result<Endpoint> parseEndpoint(std::string_view text);

/** Parses `a.b.c.d`. Fails with ResultCode::InvalidAddress. */
Result<std::uint32_t> parseAddress(std::string_view text);

/** `a.b.c.d:port`. */
std::string toString(const Endpoint &endpoint);

/** `a.b.c.d` of an address in host byte order. */
std::string addressToString(std::uint32_t address);

} // namespace samphireswitch
