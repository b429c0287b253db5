#pragma once

#include "base/hash.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace samphireswitch {

/** Identity of a service: the hash of its name. The planner refuses two names with the same identity. */
struct ServiceId
{
    std::uint64_t value = 0;

    auto operator<=>(const ServiceId &) const = default;

    static ServiceId fromName(std::string_view name)
    {
        return {hashText(name)};
    }
};

/** Identity of the agent of a host: the hash of the host's name. It stays the same when the agent restarts. */
struct AgentId
{
    std::uint64_t value = 0;

    auto operator<=>(const AgentId &) const = default;

    static AgentId fromHostName(std::string_view name)
    {
        return {hashText(name)};
    }
};

/** Number of a confirmed configuration. 0 means that no configuration is known. */
using Generation = std::uint64_t;

} // namespace samphireswitch

template<>
struct std::hash<samphireswitch::AgentId>
{
    std::size_t operator()(const samphireswitch::AgentId &id) const noexcept
    {
        return id.value;
    }
};

template<>
struct std::hash<samphireswitch::ServiceId>
{
    std::size_t operator()(const samphireswitch::ServiceId &id) const noexcept
    {
        return id.value;
    }
};
