#pragma once

#include "configuration/servicerecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** How much a finding matters. */
enum class Severity : std::uint8_t {
    /** The configuration may be put in force, and probably does not do what its author wants. */
    Warning,
    /** The configuration cannot be put in force as it is, or a part of it can never have an effect. */
    Error,
};

/** A statement about one record of a configuration. */
struct Finding
{
    Severity severity = Severity::Warning;
    /** Names the record and says what is wrong with it, in one sentence. */
    std::string text;

    bool operator==(const Finding &) const = default;
};

/**
 * Checks the records of one configuration, each by itself and against the others: values that are not valid, entries
 * that can never match, limits that contradict each other, and services that can get no new flow. Evacuations are
 * records like the others; those that are in force besides belong into @p records as well.
 */
std::vector<Finding> findingsOf(const std::vector<ServiceRecord> &records);

/**
 * Describes the differences between the configuration in force and a declared one, one line per entry: records that are
 * added or removed, and each field that changes. Tombstones, generations, plans and the order of hosts do not count.
 */
std::vector<std::string> differencesOf(const std::vector<ServiceRecord> &inForce,
                                       const std::vector<ServiceRecord> &declared);

} // namespace samphireswitch::configuration
