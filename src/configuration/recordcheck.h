#pragma once

#include "configuration/servicerecord.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** Largest number of hosts of a service: the longest candidate chain of an envelope. */
constexpr std::size_t s_maximumHostsPerService = 16;

/** Longest name of a service, host or failure domain, in bytes. */
constexpr std::size_t s_maximumNameLength = 63;

constexpr std::uint32_t s_maximumSlots = 10'000;
constexpr std::uint32_t s_maximumConnections = 1'000'000;
constexpr std::chrono::milliseconds s_maximumDeadline = std::chrono::hours(1);

/** True for 1 to s_maximumNameLength letters, digits, `-`, `_` and `.`: a name of a service or host. */
bool isValidName(std::string_view name);

/** True for 1 to s_maximumNameLength bytes without control characters. */
bool isValidFailureDomain(std::string_view text);

/**
 * Every rule of a single record that @p record breaks, one sentence each; empty if it is well formed. Files, the store
 * and the messages of peers are all checked with this function.
 */
std::vector<std::string> problemsOf(const ServiceRecord &record);

} // namespace samphireswitch::configuration
