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
     * A delta that begins at generation 0 is the whole configuration: records that are missing from it become
     * tombstones.
     *
     * Applies @p delta if its @c from is not above and its @c to is above the generation in force. Of its records,
     * those that are not newer than the one in force are skipped. Fails with ResultCode::GenerationOutdated or
     * ResultCode::GenerationGap, and changes nothing then.
     */
    Result<void> apply(const ConfigurationDelta &delta);

    Generation generation() const;

    /**
     * What a process at @p generation lacks. Empty records if nothing. Before the generation at which this table began,
     * it does not know what was removed, so that it returns the whole configuration.
     */
    ConfigurationDelta since(Generation generation) const;

    /** As since(), with the records of one service only. */
    ConfigurationDelta since(Generation generation, ServiceId service) const;

    /** The record of a service, tombstones included; nullptr if none is known. */
    const ServiceRecord *find(ServiceId service) const;

    /** All records by name, tombstones included. */
    const std::map<std::string, ServiceRecord> &services() const;

private:
    /** The part of since() that both forms share: where a delta for a process at @p generation begins. */
    Generation begin(Generation generation) const;
    void removeMissing(const ConfigurationDelta &whole);

    Generation m_generation = 0;
    /** Generation of the first whole configuration that was applied; every later removal is known. */
    Generation m_base = 0;
    std::map<std::string, ServiceRecord> m_services;
};

} // namespace samphireswitch::configuration
