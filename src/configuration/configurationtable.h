#pragma once

#include "base/resultcode.h"
#include "configuration/servicerecord.h"

#include <map>
#include <optional>
#include <string>

namespace samphireswitch::configuration {

/** The configuration in force in one process. Its generation never decreases. */
class ConfigurationTable
{
public:
    /**
     * Applies @p delta if its @c from is not above and its @c to is above the generation in force. Of its records,
     * those that are not newer than the one in force are skipped. Fails with ResultCode::GenerationOutdated or
     * ResultCode::GenerationGap, and changes nothing then.
     */
    Result<void> apply(const ConfigurationDelta &delta);

    Generation generation() const;

    /** What a process at @p generation lacks. Empty records if nothing. */
    ConfigurationDelta since(Generation generation) const;

    /** As since(), with the records of one service only. */
    ConfigurationDelta since(Generation generation, ServiceId service) const;

    /** The record of a service, tombstones included; nullptr if none is known. */
    const ServiceRecord *find(ServiceId service) const;

    /** All records by name, tombstones included. */
    const std::map<std::string, ServiceRecord> &services() const;

private:
    Generation m_generation = 0;
    std::map<std::string, ServiceRecord> m_services;
};

} // namespace samphireswitch::configuration
