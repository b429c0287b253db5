#include "configuration/capacity.h"

#include <algorithm>

namespace samphireswitch::configuration {

std::uint64_t activeHosts(const ServiceRecord &record)
{
    return static_cast<std::uint64_t>(std::ranges::count(record.hosts, HostState::Active, &HostRecord::state));
}

std::string capacityOf(const ServiceRecord &record)
{
    const std::uint64_t hosts = activeHosts(record);
    return std::to_string(hosts) + (hosts == 1 ? " active host" : " active hosts") + " with "
        + std::to_string(hosts * record.slots) + " slots and " + std::to_string(hosts * record.connections)
        + " connections";
}

} // namespace samphireswitch::configuration
