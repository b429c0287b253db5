#pragma once

#include "configuration/servicerecord.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** Maximum number of hosts of a service; an envelope cannot hold a longer candidate chain. */
constexpr std::size_t s_maximumHostsPerService = 16;

/** Maximum length in bytes of the name of a service, host or failure domain. */
constexpr std::size_t s_maximumNameLength = 63;

/** Maximum number of slots per host. */
constexpr std::uint32_t s_maximumSlots = 10'000;
/** Maximum number of connections per host. */
constexpr std::uint32_t s_maximumConnections = 1'000'000;
constexpr std::chrono::milliseconds s_maximumDeadline = std::chrono::hours(1);

/**
 * Returns true if @p name is a valid name of a service, host or pool: 1 to s_maximumNameLength ASCII letters, digits,
 * `-`, `_` and `.`.
 */
bool isValidName(std::string_view name);

/** Returns true if @p text has 1 to s_maximumNameLength bytes and no control characters. */
bool isValidFailureDomain(std::string_view text);

/**
 * Validates a single record. Returns one sentence for each rule that @p record breaks, or an empty list if the record
 * is valid. Records from declaration files, from the store and from messages of peers are all validated here.
 */
std::vector<std::string> problemsOf(const ServiceRecord &record);

} // namespace samphireswitch::configuration
