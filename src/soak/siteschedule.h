#pragma once

#include "platform/siteday.h"
#include "soak/faultplan.h"

#include <cstdint>
#include <vector>

namespace samphireswitch::soak {

/**
 * The faults of the day of a site, in order of their begin. The day gives times and extents, and @p seed the machines
 * that they concern.
 */
std::vector<PlannedFault> scheduleOf(const platform::SiteDay &day, std::uint64_t seed);

} // namespace samphireswitch::soak
