#pragma once

#include "configuration/configurationtable.h"
#include "membership/membershiptable.h"
#include "passthrough/serveddestinations.h"
#include "routing/routingtable.h"

#include <string>
#include <vector>

namespace samphireswitch::control {

/** The services and pools from which a balancer builds its routing table. */
struct RoutedConfiguration
{
    std::vector<routing::RoutedService> services;
    /** Pools to which the shares of the services refer, and pools that are known only from announcements of agents. */
    std::vector<routing::RoutedPool> pools;
};

/** Whether the configuration evacuates @p failureDomain, so that its upstreams get no new flows. */
bool isEvacuated(const configuration::ConfigurationTable &configuration, const std::string &failureDomain);

/**
 * The service addresses whose new flows may go to @p pool, with the latency target, deadline and priority of each, and
 * the terms for an upstream of the pool in @p failureDomain.
 */
passthrough::ServedDestinations servedDestinations(const configuration::ConfigurationTable &configuration,
                                                   ServiceId pool,
                                                   const std::string &failureDomain);

/**
 * Combines configuration and membership into the routing input of a balancer. A service that is served by pools has
 * shares and no members of its own; for other services, see routedServices(). The agents of a pool are ordered by
 * failure domain, with those of @p ownFailureDomain first. Agents in an evacuated failure domain take no new flows.
 */
RoutedConfiguration routedConfiguration(const configuration::ConfigurationTable &configuration,
                                        const membership::MembershipTable &members,
                                        const std::string &ownFailureDomain);

/**
 * Combines configuration and membership for the services that are neither pools nor served by pools. A removed service
 * stays in the result, without eligible members, so that packets of its open flows are still routed. It is omitted once
 * another service uses its address. Agents in an evacuated failure domain are not eligible.
 */
std::vector<routing::RoutedService> routedServices(const configuration::ConfigurationTable &configuration,
                                                   const membership::MembershipTable &members);

} // namespace samphireswitch::control
