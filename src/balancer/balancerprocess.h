#pragma once

#include "settings/settings.h"

#include <string>

namespace samphireswitch::balancer {

/**
 * Runs a balancer until SIGTERM or SIGINT. The settings file @p path is read again on SIGHUP and when it changes.
 * Returns the exit status of the process.
 */
int runBalancer(const settings::BalancerSettings &settings, const std::string &path);

} // namespace samphireswitch::balancer
