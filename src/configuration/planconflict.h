#pragma once

#include "configuration/plan.h"

#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

/**
 * Why @p plan can no longer be confirmed after the records @p changed were put in force since the plan's base: they
 * include a service of the plan, one with an address of the plan, or one with a host of the plan. The sentence names
 * the generation and the plan that won. Nothing if the plan and the changes do not touch.
 */
std::optional<std::string> findConflict(const Plan &plan, const std::vector<ServiceRecord> &changed);

/** Why a record of @p records may not have its address yet: another service gave it up recently. */
std::optional<std::string> findReservation(const std::vector<ServiceRecord> &records,
                                           const std::vector<ReleasedAddress> &released);

} // namespace samphireswitch::configuration
