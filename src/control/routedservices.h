#pragma once

#include "configuration/configurationtable.h"
#include "membership/membershiptable.h"
#include "passthrough/serveddestinations.h"
#include "routing/routingtable.h"

#include <string>
#include <vector>

namespace samphireswitch::control {

/** What a balancer routes by. */
struct RoutedConfiguration
{
    std::vector<routing::RoutedService> services;
    /** The pools that the shares of the services refer to, and those that are only known from their agents. */
    std::vector<routing::RoutedPool> pools;
};

/** The addresses whose new flows may go to @p pool. */
passthrough::ServedDestinations servedDestinations(const configuration::ConfigurationTable &configuration,
                                                   ServiceId pool);

/**
 * Joins configuration and membership. Of a service that pools serve, the shares are filled in and no members; of any
 * other one, see routedServices(). Pools list their agents by failure domain, those of @p ownFailureDomain first.
 */
RoutedConfiguration routedConfiguration(const configuration::ConfigurationTable &configuration,
                                        const membership::MembershipTable &members,
                                        const std::string &ownFailureDomain);

/**
 * Joins configuration and membership to what a balancer routes by. A removed service keeps its address for flows that
 * are still open, without members that take new work, until another service has the address.
 */
std::vector<routing::RoutedService> routedServices(const configuration::ConfigurationTable &configuration,
                                                   const membership::MembershipTable &members);

} // namespace samphireswitch::control
