#include "control/directoryentry.h"

#include <algorithm>

namespace samphireswitch::control {

namespace {

using protocol::MemberRecord;

// A record takes about 100 bytes. Larger deployments learn the rest from their peers.
constexpr std::size_t s_recordsInEntry = 256;
// One may be cut off from the store.
constexpr std::ptrdiff_t s_namingBalancers = 2;

bool isServing(const MemberRecord &record)
{
    return record.liveness == protocol::Liveness::Alive && record.state == protocol::MemberState::Active;
}

/** Whether fewer than two other balancers of the failure domain have a lower id. */
bool namesAgents(const MemberRecord &self, const std::vector<MemberRecord> &members)
{
    const auto precedes = [&self](const MemberRecord &member) {
        return member.role == protocol::MemberRole::Balancer && member.failureDomain == self.failureDomain
            && member.id < self.id && isServing(member);
    };
    return std::ranges::count_if(members, precedes) < s_namingBalancers;
}

} // namespace

protocol::MemberUpdate directoryEntry(const MemberRecord &self, const membership::MembershipTable &members)
{
    protocol::MemberUpdate entry {{self}};
    const std::vector<MemberRecord> records = members.records();
    if (!namesAgents(self, records)) {
        return entry;
    }
    for (const MemberRecord &member : records) {
        if (member.role != protocol::MemberRole::Agent || isGone(member) || entry.records.size() == s_recordsInEntry) {
            continue;
        }
        entry.records.push_back(member);
    }
    return entry;
}

std::set<std::uint64_t> agentsOf(const std::vector<MemberRecord> &records)
{
    std::set<std::uint64_t> agents;
    for (const MemberRecord &record : records) {
        if (record.role == protocol::MemberRole::Agent) {
            agents.insert(record.id);
        }
    }
    return agents;
}

} // namespace samphireswitch::control
