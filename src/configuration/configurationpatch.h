#pragma once

#include "configuration/contenthash.h"
#include "configuration/servicerecord.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/**
 * The complete records of some buckets of a configuration. Whoever applies a patch replaces these buckets, whatever
 * they held before, so that it does not matter which generations the two processes have seen.
 */
struct ConfigurationPatch
{
    /** Generation of the configuration that results. */
    Generation generation = 0;
    /** Number of buckets into which the services are divided; a power of two up to s_contentBucketCount. */
    std::size_t bucketCount = 1;
    /** The buckets that the patch replaces, in ascending order. */
    std::vector<std::size_t> buckets;
    /** All services of these buckets, without tombstones. */
    std::vector<ServiceRecord> records;
    /** ConfigurationTable::contentHash() of the configuration that results. */
    std::uint64_t contentHash = 0;

    /** Whether the patch holds the whole configuration. */
    bool isWhole() const
    {
        return buckets.size() == bucketCount;
    }

    /** Whether the service @p name is in one of the buckets that the patch replaces. */
    bool replaces(std::string_view name) const;

    bool operator==(const ConfigurationPatch &) const = default;
};

/** A patch with the whole configuration @p records at @p generation, for example a document of the store. */
ConfigurationPatch wholeConfiguration(Generation generation, std::vector<ServiceRecord> records);

} // namespace samphireswitch::configuration
