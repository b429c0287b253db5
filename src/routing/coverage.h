#pragma once

#include <cstdint>
#include <string_view>

namespace samphireswitch::routing {

/** How far a routing table can be trusted to hold every agent that may own a flow. */
enum class Coverage : std::uint8_t {
    /** Some agent may not be known, or is expected back after a stop. */
    Partial,
    /** Every agent that can be reached is known. Some fell silent lately and were found dead; they may be cut off. */
    Reachable,
    /** No agent is missing. */
    Full,
};

/** For logs. */
constexpr std::string_view coverageName(Coverage coverage)
{
    switch (coverage) {
    case Coverage::Partial:
        return "partial";
    case Coverage::Reachable:
        return "reachable";
    case Coverage::Full:
        return "full";
    }
    return "unknown";
}

} // namespace samphireswitch::routing
