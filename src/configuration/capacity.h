#pragma once

#include "configuration/servicerecord.h"

#include <cstdint>
#include <string>

namespace samphireswitch::configuration {

/** Number of hosts that @p record declares as active. */
std::uint64_t activeHosts(const ServiceRecord &record);

/** The active hosts of @p record with their slots and connections, for operators. */
std::string capacityOf(const ServiceRecord &record);

} // namespace samphireswitch::configuration
