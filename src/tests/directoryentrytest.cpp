#include "control/directoryentry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace samphireswitch::control {

namespace {

using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberRole;
using protocol::MemberState;

constexpr std::uint64_t s_firstAgent = 100;
constexpr int s_agents = 58;
constexpr int s_balancers = 23;
const TimePoint s_now = TimePoint() + std::chrono::hours(1);

MemberRecord member(std::uint64_t id, MemberRole role, const std::string &failureDomain)
{
    MemberRecord record;
    record.id = id;
    record.role = role;
    record.incarnation = 1;
    record.version = 1;
    record.failureDomain = failureDomain;
    return record;
}

std::string failureDomainOf(std::uint64_t id)
{
    return "domain-" + std::to_string(id % 4);
}

/** The membership table of the balancer @p self in a deployment of 23 balancers in 4 failure domains and 58 agents. */
membership::MembershipTable table(std::uint64_t self)
{
    membership::MembershipTable members({}, self);
    std::vector<MemberRecord> records;
    for (std::uint64_t id = 1; id <= s_balancers; ++id) {
        records.push_back(member(id, MemberRole::Balancer, failureDomainOf(id)));
    }
    for (std::uint64_t id = s_firstAgent; id < s_firstAgent + s_agents; ++id) {
        records.push_back(member(id, MemberRole::Agent, failureDomainOf(id)));
    }
    members.merge(records, s_now);
    return members;
}

MemberRecord balancer(std::uint64_t id)
{
    return member(id, MemberRole::Balancer, failureDomainOf(id));
}

} // namespace

// Guards against a directory whose size grows with the product of balancers and agents: after a loss of power, each
// balancer read 1,359 records of 58 agents, which took balancers with little processor time more than a second.
TEST(DirectoryEntryTest, TwoBalancersOfAFailureDomainNameTheAgents)
{
    std::size_t records = 0;
    std::map<std::string, int> naming;
    for (std::uint64_t id = 1; id <= s_balancers; ++id) {
        const auto entry = directoryEntry(balancer(id), table(id));
        EXPECT_EQ(entry.records.front().id, id);
        records += entry.records.size();
        naming[failureDomainOf(id)] += agentsOf(entry.records).size() == s_agents ? 1 : 0;
    }
    EXPECT_EQ(records, s_balancers + 8 * s_agents);
    for (const auto &[failureDomain, count] : naming) {
        EXPECT_EQ(count, 2) << failureDomain;
    }
}

// Guards against agents that are listed in no entry after the balancers that listed them have stopped.
TEST(DirectoryEntryTest, AnotherBalancerTakesThePlaceOfOneThatStopped)
{
    membership::MembershipTable members = table(9);
    EXPECT_TRUE(agentsOf(directoryEntry(balancer(9), members).records).empty());
    MemberRecord stopped = balancer(1);
    stopped.version = 2;
    stopped.state = MemberState::Left;
    members.merge({stopped}, s_now);
    EXPECT_EQ(agentsOf(directoryEntry(balancer(9), members).records).size(), s_agents);
}

// Guards against a process that waits at its start for agents that have died or left.
TEST(DirectoryEntryTest, AgentsThatAreGoneAreNotNamed)
{
    membership::MembershipTable members = table(1);
    MemberRecord gone = member(s_firstAgent, MemberRole::Agent, failureDomainOf(s_firstAgent));
    gone.liveness = Liveness::Dead;
    MemberRecord left = member(s_firstAgent + 1, MemberRole::Agent, failureDomainOf(s_firstAgent + 1));
    left.version = 2;
    left.state = MemberState::Left;
    members.merge({gone, left}, s_now);
    EXPECT_EQ(agentsOf(directoryEntry(balancer(1), members).records).size(), s_agents - 2);
}

// Guards against an agent that finds nothing in the directory of the departure of its upstream, and against a balancer
// that waits for an agent which has left.
TEST(DirectoryEntryTest, DepartedAgentsAreListedAndNotAwaited)
{
    MemberRecord departed = member(s_firstAgent, MemberRole::Agent, failureDomainOf(s_firstAgent));
    departed.incarnation = 0;
    departed.state = MemberState::Left;
    departed.upstreamLeftAt = std::chrono::milliseconds(1);
    const auto entry = directoryEntry(balancer(1), table(1), {departed});
    EXPECT_NE(std::ranges::find(entry.records, departed), entry.records.end());
    EXPECT_EQ(entry.records.size(), s_agents + 2U);
    EXPECT_EQ(agentsOf(entry.records).size(), s_agents);
    EXPECT_EQ(departuresIn(entry.records), std::set<std::uint64_t> {s_firstAgent});
    EXPECT_EQ(directoryEntry(balancer(9), table(9), {departed}).records.size(), 1U) << "it lists no agents";
}

} // namespace samphireswitch::control
