#include "configuration/planconflict.h"

#include "base/endpoint.h"

#include <algorithm>

namespace samphireswitch::configuration {

namespace {

bool hasCommonHost(const ServiceRecord &first, const ServiceRecord &second)
{
    return std::ranges::any_of(first.hosts,
                               [&](const HostRecord &host) { return second.findHost(host.name) != nullptr; });
}

std::string describe(const ServiceRecord &record)
{
    return record.isEvacuation() ? "failure domain " + record.evacuatedDomain : "service " + record.name;
}

/**
 * Returns true if the two records have the same service name, service identity, address or host. An evacuation
 * conflicts with every record: whether services keep room depends on all of them.
 */
bool isConflict(const ServiceRecord &planned, const ServiceRecord &changed)
{
    if (planned.name == changed.name || ServiceId::fromName(planned.name) == ServiceId::fromName(changed.name)) {
        return true;
    }
    if (planned.removed || changed.removed) {
        return false;
    }
    if (planned.isEvacuation() || changed.isEvacuation()) {
        return true;
    }
    return planned.address == changed.address || hasCommonHost(planned, changed);
}

} // namespace

std::optional<std::string> findConflict(const Plan &plan, const std::vector<ServiceRecord> &changed)
{
    for (const ServiceRecord &record : changed) {
        const bool hasConflict = std::ranges::any_of(
            plan.records, [&](const ServiceRecord &planned) { return isConflict(planned, record); });
        if (!hasConflict) {
            continue;
        }
        return "plan " + record.plan + " was confirmed first, as generation " + std::to_string(record.generation)
            + ", and changed " + describe(record) + ", which this plan touches; make a new plan";
    }
    return std::nullopt;
}

std::optional<std::string> findReservation(const std::vector<ServiceRecord> &records,
                                           const std::vector<ReleasedAddress> &released)
{
    for (const ServiceRecord &record : records) {
        if (record.removed) {
            continue;
        }
        for (const ReleasedAddress &address : released) {
            if (address.address != record.address || address.service == record.name) {
                continue;
            }
            return "service " + record.name + " cannot have the address " + addressToString(record.address)
                + " yet: service " + address.service + " gave it up less than "
                + std::to_string(s_addressReservation.count())
                + " s ago, and packets of its flows could reach the other service; repeat the command later";
        }
    }
    return std::nullopt;
}

} // namespace samphireswitch::configuration
