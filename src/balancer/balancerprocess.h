#pragma once

#include "settings/settings.h"

namespace samphireswitch::balancer {

/** Runs a balancer until SIGTERM or SIGINT. Returns the exit status of the process. */
int runBalancer(const settings::BalancerSettings &settings);

} // namespace samphireswitch::balancer
