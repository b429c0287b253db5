#pragma once

#include "configuration/plan.h"

#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

/**
 * Checks whether @p plan conflicts with the records @p changed, which other plans put in force after the base
 * generation of @p plan. A changed record conflicts if it has the name or the identity of a service of the plan, or has
 * an address or a host that the plan assigns to one of its services. An evacuation, which either of the plans orders,
 * conflicts with every record that is not removed.
 *
 * Returns a sentence for the operator that names the plan confirmed first and its generation, or std::nullopt if there
 * is no conflict.
 */
std::optional<std::string> findConflict(const Plan &plan, const std::vector<ServiceRecord> &changed);

/**
 * Checks whether a record of @p records uses an address that another service released recently, as listed in
 * @p released. Returns a sentence for the operator that names both services, or std::nullopt if all addresses are free.
 */
std::optional<std::string> findReservation(const std::vector<ServiceRecord> &records,
                                           const std::vector<ReleasedAddress> &released);

} // namespace samphireswitch::configuration
