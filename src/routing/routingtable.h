#pragma once

#include "base/identifiers.h"
#include "protocol/messages.h"

#include <cstdint>
#include <vector>

namespace samphireswitch::routing {

/** A service and its agents, as the balancer's control thread knows them. */
struct RoutedService
{
    ServiceId service;
    std::uint32_t address = 0;
    /** 0 if the service has no such port. */
    std::uint16_t requestPort = 0;
    std::uint16_t feedPort = 0;
    /** Agents that may take new work. */
    std::vector<protocol::Candidate> eligible;
    /** Agents that take no new work but may own flows, in the order in which they are to be asked. */
    std::vector<protocol::Candidate> others;
};

} // namespace samphireswitch::routing
