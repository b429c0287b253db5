#pragma once

#include "configuration/configurationtable.h"
#include "configuration/servicerecord.h"

#include <vector>

namespace samphireswitch::configuration {

/**
 * The delta that turns @p inForce into a configuration that is given in full: @p records at @p generation. Records that
 * are missing from it become tombstones. Records that are equal but for their generation are left out. No records, and
 * `to` equal to the generation in force, if @p generation is not above it.
 */
ConfigurationDelta
deltaToSnapshot(const ConfigurationTable &inForce, Generation generation, const std::vector<ServiceRecord> &records);

} // namespace samphireswitch::configuration
