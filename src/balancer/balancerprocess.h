#pragma once

#include "settings/settings.h"

#include <string>

namespace samphireswitch::balancer {

/**
 * Runs a balancer until SIGTERM or SIGINT and returns the exit status of the process. The settings were loaded from the
 * file @p path, which is reloaded on SIGHUP and when it changes.
 */
int runBalancer(const settings::BalancerSettings &settings, const std::string &path);

} // namespace samphireswitch::balancer
