#pragma once

#include "configuration/configurationtable.h"
#include "membership/membershiptable.h"
#include "routing/routingtable.h"

#include <vector>

namespace samphireswitch::control {

/**
 * Joins configuration and membership to what a balancer routes by. A removed service keeps its address for flows that
 * are still open, without members that take new work, until another service has the address.
 */
std::vector<routing::RoutedService> routedServices(const configuration::ConfigurationTable &configuration,
                                                   const membership::MembershipTable &members);

} // namespace samphireswitch::control
