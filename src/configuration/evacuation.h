#pragma once

#include "configuration/servicerecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

class ConfigurationTable;

/**
 * The record that evacuates @p failureDomain. Its name is valid for every valid failure domain, and differs from the
 * names of @p others.
 */
ServiceRecord evacuationOf(const std::string &failureDomain, const std::vector<ServiceRecord> &others = {});

/** The failure domains that @p configuration evacuates, in ascending order. */
std::vector<std::string> evacuatedDomains(const ConfigurationTable &configuration);

/** ConfigurationTable::contentHash() of @p configuration without its evacuations. */
std::uint64_t contentHashWithoutEvacuations(const ConfigurationTable &configuration);

} // namespace samphireswitch::configuration
