#include "control/directoryentry.h"

#include <algorithm>

namespace samphireswitch::control {

namespace {

using protocol::MemberRecord;

// A record takes about 100 bytes. In larger deployments, processes learn the other members from their peers.
constexpr std::size_t s_recordsInEntry = 256;
// A second balancer lists the agents in case the first has no connection to the store.
constexpr std::ptrdiff_t s_balancersListingAgents = 2;

/** Whether @p self lists agents: fewer than two live balancers of its failure domain have a lower id. */
bool listsAgents(const MemberRecord &self, const membership::MembershipTable &members)
{
    const auto precedes = [&](std::uint64_t id) {
        return id < self.id && members.find(id)->failureDomain == self.failureDomain;
    };
    return std::ranges::count_if(members.liveBalancers(), precedes) < s_balancersListingAgents;
}

} // namespace

protocol::MemberUpdate directoryEntry(const MemberRecord &self,
                                      const membership::MembershipTable &members,
                                      const std::vector<MemberRecord> &departed)
{
    protocol::MemberUpdate entry {{self}};
    if (!listsAgents(self, members)) {
        return entry;
    }
    for (const MemberRecord &member : members.records()) {
        if (member.role != protocol::MemberRole::Agent || isGone(member) || entry.records.size() == s_recordsInEntry) {
            continue;
        }
        entry.records.push_back(member);
    }
    for (const MemberRecord &record : departed) {
        const bool isPresent = std::ranges::find(entry.records, record) != entry.records.end();
        if (!isPresent && entry.records.size() < s_recordsInEntry) {
            entry.records.push_back(record);
        }
    }
    return entry;
}

std::set<std::uint64_t> agentsOf(const std::vector<MemberRecord> &records)
{
    std::set<std::uint64_t> agents;
    for (const MemberRecord &record : records) {
        if (record.role == protocol::MemberRole::Agent && !isGone(record)) {
            agents.insert(record.id);
        }
    }
    return agents;
}

std::set<std::uint64_t> departuresIn(const std::vector<MemberRecord> &records)
{
    std::set<std::uint64_t> agents;
    for (const MemberRecord &record : records) {
        if (protocol::hasUpstreamLeft(record)) {
            agents.insert(record.id);
        }
    }
    return agents;
}

} // namespace samphireswitch::control
