#include "control/routedservices.h"

#include "configuration/evacuation.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace samphireswitch::control {

namespace {

using configuration::HostState;
using configuration::ServiceRecord;
using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberState;

using EvacuatedDomains = std::vector<std::string>;

bool isIn(const EvacuatedDomains &domains, const MemberRecord &member)
{
    return std::ranges::binary_search(domains, member.failureDomain);
}

bool isEligible(const ServiceRecord &service, const MemberRecord &member, const EvacuatedDomains &evacuated)
{
    if (isIn(evacuated, member)) {
        return false;
    }
    if (service.removed || member.liveness != Liveness::Alive || member.state != MemberState::Active) {
        return false;
    }
    const configuration::HostRecord *host = service.findHost(member.name);
    return host != nullptr && host->state == HostState::Active;
}

/** Collects the pools that are named by services or announced by agents, without duplicates. */
class PoolList
{
public:
    PoolList(const membership::MembershipTable &members,
             const std::string &ownFailureDomain,
             const EvacuatedDomains &evacuated)
    {
        std::vector<MemberRecord> records = members.records();
        std::erase_if(records, [](const MemberRecord &member) {
            return member.role != protocol::MemberRole::Agent || isGone(member);
        });
        std::ranges::stable_sort(records, {}, [&ownFailureDomain](const MemberRecord &member) {
            return std::pair(member.failureDomain != ownFailureDomain, std::string_view(member.failureDomain));
        });
        for (const MemberRecord &member : records) {
            routing::RoutedPool &pool = m_pools[positionOf(member.service)];
            if (isIn(evacuated, member)) {
                addEvacuated(pool, member);
            } else {
                add(pool, member, member.failureDomain == ownFailureDomain);
            }
        }
    }

    std::size_t positionOf(ServiceId service)
    {
        const auto [found, isNew] = m_positions.try_emplace(service, m_pools.size());
        if (isNew) {
            m_pools.emplace_back().service = service;
        }
        return found->second;
    }

    std::vector<routing::RoutedPool> takePools()
    {
        return std::move(m_pools);
    }

private:
    /** Adds an agent that gets no new flows, but may own flows and forwards packets if it is alive. */
    static void addEvacuated(routing::RoutedPool &pool, const MemberRecord &member)
    {
        const protocol::Candidate candidate {AgentId {member.id}, member.data};
        pool.hasUnconfirmed = pool.hasUnconfirmed || member.liveness == Liveness::Unconfirmed;
        if (member.liveness == Liveness::Alive) {
            pool.draining.push_back(candidate);
            pool.hasEvacuated = pool.hasEvacuated || member.state == MemberState::Active;
        } else {
            auto &unavailable = member.state == MemberState::Stopping ? pool.stopped : pool.evacuatedSuspect;
            unavailable.push_back(candidate);
        }
    }

    static void add(routing::RoutedPool &pool, const MemberRecord &member, bool isInOwnFailureDomain)
    {
        const protocol::Candidate candidate {AgentId {member.id}, member.data};
        pool.hasUnconfirmed = pool.hasUnconfirmed || member.liveness == Liveness::Unconfirmed;
        pool.hasOthersThanEvacuated = true;
        if (member.liveness == Liveness::Unconfirmed && member.state == MemberState::Active) {
            pool.unconfirmed.push_back(candidate);
        } else if (member.liveness != Liveness::Alive) {
            auto &unavailable = member.state == MemberState::Stopping ? pool.stopped : pool.suspect;
            unavailable.push_back(candidate);
        } else if (member.state == MemberState::Active) {
            pool.eligible.push_back(candidate);
            pool.nearby += isInOwnFailureDomain ? 1 : 0;
        } else {
            pool.draining.push_back(candidate);
        }
    }

    std::vector<routing::RoutedPool> m_pools;
    std::map<ServiceId, std::size_t> m_positions;
};

routing::RoutedService pooledService(const ServiceRecord &record, PoolList &pools)
{
    routing::RoutedService routed;
    routed.service = ServiceId::fromName(record.name);
    routed.name = record.name;
    routed.address = record.address;
    routed.requestPort = record.requestPort;
    routed.idempotent = record.idempotent;
    for (const configuration::PoolShare &share : record.pools) {
        routed.shares.push_back({pools.positionOf(ServiceId::fromName(share.pool)), share.weight});
    }
    return routed;
}

routing::RoutedService routedService(const ServiceRecord &record,
                                     const membership::MembershipTable &members,
                                     const EvacuatedDomains &evacuated)
{
    routing::RoutedService routed;
    routed.service = ServiceId::fromName(record.name);
    routed.name = record.name;
    routed.address = record.address;
    routed.requestPort = record.requestPort;
    routed.feedPort = record.feedPort;
    std::vector<protocol::Candidate> suspects;
    for (const MemberRecord &member : members.agentsOf(routed.service)) {
        const protocol::Candidate candidate {AgentId {member.id}, member.data};
        if (isEligible(record, member, evacuated)) {
            routed.eligible.push_back(candidate);
            continue;
        }
        // Suspects are at the end of the search chain: one that fails to forward would hide the agents behind it.
        auto &group = member.liveness == Liveness::Alive ? routed.others : suspects;
        group.push_back(candidate);
    }
    routed.others.insert(routed.others.end(), suspects.begin(), suspects.end());
    return routed;
}

} // namespace

bool isEvacuated(const configuration::ConfigurationTable &configuration, const std::string &failureDomain)
{
    return std::ranges::binary_search(configuration::evacuatedDomains(configuration), failureDomain);
}

passthrough::ServedDestinations servedDestinations(const configuration::ConfigurationTable &configuration,
                                                   ServiceId pool,
                                                   const std::string &failureDomain)
{
    std::vector<passthrough::ServedDestination> destinations;
    passthrough::UpstreamTerms terms {.isEvacuated = isEvacuated(configuration, failureDomain)};
    for (const auto &[name, record] : configuration.services()) {
        if (!record.removed && record.isPool() && ServiceId::fromName(name) == pool) {
            terms.coldRequestsPerSecond = record.coldRequestsPerSecond;
            terms.slowStart = record.slowStart;
        }
        const bool isServed = !record.removed && std::ranges::any_of(record.pools, [pool](const auto &share) {
            return share.weight > 0 && ServiceId::fromName(share.pool) == pool;
        });
        if (isServed) {
            destinations.push_back(
                {{record.address, record.requestPort}, {record.latencyTarget, record.deadline, record.priority}});
        }
    }
    return {configuration.generation(), std::move(destinations), terms};
}

RoutedConfiguration routedConfiguration(const configuration::ConfigurationTable &configuration,
                                        const membership::MembershipTable &members,
                                        const std::string &ownFailureDomain)
{
    RoutedConfiguration routed;
    routed.services = routedServices(configuration, members);
    PoolList pools(members, ownFailureDomain, configuration::evacuatedDomains(configuration));
    for (const auto &[name, record] : configuration.services()) {
        if (!record.removed && !record.pools.empty()) {
            routed.services.push_back(pooledService(record, pools));
        }
    }
    routed.pools = pools.takePools();
    return routed;
}

std::vector<routing::RoutedService> routedServices(const configuration::ConfigurationTable &configuration,
                                                   const membership::MembershipTable &members)
{
    std::set<std::uint32_t> usedAddresses;
    for (const auto &[name, record] : configuration.services()) {
        if (!record.removed) {
            usedAddresses.insert(record.address);
        }
    }
    const EvacuatedDomains evacuated = configuration::evacuatedDomains(configuration);
    std::vector<routing::RoutedService> services;
    for (const auto &[name, record] : configuration.services()) {
        const bool isReplaced = record.removed && usedAddresses.contains(record.address);
        if (isReplaced || record.isPool() || record.isEvacuation() || !record.pools.empty()) {
            continue;
        }
        services.push_back(routedService(record, members, evacuated));
    }
    return services;
}

} // namespace samphireswitch::control
