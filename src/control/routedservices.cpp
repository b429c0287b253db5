#include "control/routedservices.h"

#include <set>

namespace samphireswitch::control {

namespace {

using configuration::HostState;
using configuration::ServiceRecord;
using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberState;

bool mayTakeNewWork(const ServiceRecord &service, const MemberRecord &member)
{
    if (service.removed || member.liveness != Liveness::Alive || member.state != MemberState::Active) {
        return false;
    }
    const configuration::HostRecord *host = service.findHost(member.name);
    return host != nullptr && host->state == HostState::Active;
}

routing::RoutedService routedService(const ServiceRecord &record, const membership::MembershipTable &members)
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
        if (mayTakeNewWork(record, member)) {
            routed.eligible.push_back(candidate);
            continue;
        }
        // A suspect may not forward, so that those behind it in the chain would not be asked.
        auto &group = member.liveness == Liveness::Suspect ? suspects : routed.others;
        group.push_back(candidate);
    }
    routed.others.insert(routed.others.end(), suspects.begin(), suspects.end());
    return routed;
}

} // namespace

std::vector<routing::RoutedService> routedServices(const configuration::ConfigurationTable &configuration,
                                                   const membership::MembershipTable &members)
{
    std::set<std::uint32_t> usedAddresses;
    for (const auto &[name, record] : configuration.services()) {
        if (!record.removed) {
            usedAddresses.insert(record.address);
        }
    }
    std::vector<routing::RoutedService> services;
    for (const auto &[name, record] : configuration.services()) {
        if (record.removed && usedAddresses.contains(record.address)) {
            continue;
        }
        services.push_back(routedService(record, members));
    }
    return services;
}

} // namespace samphireswitch::control
