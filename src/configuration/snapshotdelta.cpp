#include "configuration/snapshotdelta.h"

#include <set>
#include <string_view>

namespace samphireswitch::configuration {

ConfigurationDelta
deltaToSnapshot(const ConfigurationTable &inForce, Generation generation, const std::vector<ServiceRecord> &records)
{
    ConfigurationDelta delta {inForce.generation(), inForce.generation(), {}};
    if (generation <= inForce.generation()) {
        return delta;
    }
    delta.to = generation;
    std::set<std::string_view> names;
    for (const ServiceRecord &given : records) {
        names.insert(given.name);
        ServiceRecord record = given;
        const auto current = inForce.services().find(given.name);
        if (current != inForce.services().end()) {
            record.generation = current->second.generation;
            if (record == current->second) {
                continue;
            }
        }
        record.generation = generation;
        delta.records.push_back(std::move(record));
    }
    for (const auto &[name, current] : inForce.services()) {
        if (current.removed || names.contains(name)) {
            continue;
        }
        ServiceRecord tombstone;
        tombstone.name = name;
        tombstone.generation = generation;
        tombstone.removed = true;
        delta.records.push_back(std::move(tombstone));
    }
    return delta;
}

} // namespace samphireswitch::configuration
