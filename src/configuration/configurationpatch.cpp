#include "configuration/configurationpatch.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace samphireswitch::configuration {

bool ConfigurationPatch::replaces(std::string_view name) const
{
    return std::ranges::binary_search(buckets, contentBucketOf(name, bucketCount));
}

ConfigurationPatch wholeConfiguration(Generation generation, std::vector<ServiceRecord> records)
{
    // The last of several records with the same name counts, as in a table.
    std::map<std::string_view, std::uint64_t> hashes;
    for (const ServiceRecord &record : records) {
        hashes[record.name] = contentHashOf(record);
    }
    ContentHashTable table;
    for (const auto &[name, hash] : hashes) {
        table.toggle(name, hash);
    }
    return {generation, 1, {0}, std::move(records), table.total()};
}

} // namespace samphireswitch::configuration
