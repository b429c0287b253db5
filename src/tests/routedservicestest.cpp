#include "control/routedservices.h"

#include "configuration/evacuation.h"

#include <gtest/gtest.h>

namespace samphireswitch::control {

namespace {

const TimePoint s_now = TimePoint() + std::chrono::hours(1);

protocol::MemberRecord agent(std::uint64_t id, const std::string &failureDomain)
{
    protocol::MemberRecord record;
    record.id = id;
    record.incarnation = 1;
    record.version = 1;
    record.service = ServiceId::fromName("tally");
    record.failureDomain = failureDomain;
    return record;
}

std::vector<std::uint64_t> idsOf(const std::vector<protocol::Candidate> &candidates)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(candidates.size());
    for (const protocol::Candidate &candidate : candidates) {
        ids.push_back(candidate.agent.value);
    }
    return ids;
}

} // namespace

// Guards against searches that change the failure domain with every hop: a search asks the agents in the order in which
// they are listed.
TEST(RoutedServicesTest, AgentsAreListedByFailureDomainTheOwnFirst)
{
    membership::MembershipTable members({}, 1);
    members.merge({agent(2, "ghiffa"),
                   agent(3, "premeno"),
                   agent(4, "cannero"),
                   agent(5, "premeno"),
                   agent(6, "ghiffa"),
                   agent(7, "cannero")},
                  s_now);
    const auto routed = routedConfiguration(configuration::ConfigurationTable(), members, "premeno");
    ASSERT_EQ(routed.pools.size(), 1U);
    EXPECT_EQ(idsOf(routed.pools.front().eligible), (std::vector<std::uint64_t> {3, 5, 4, 7, 2, 6}));
    EXPECT_EQ(routed.pools.front().nearby, 2U);
}

// Guards against new flows to an evacuated failure domain, and against searches that no longer reach its agents, whose
// upstreams keep their flows.
TEST(RoutedServicesTest, EvacuatedAgentsTakeNoNewFlowsButAreAsked)
{
    auto unconfirmed = agent(4, "ghiffa");
    unconfirmed.liveness = protocol::Liveness::Unconfirmed;
    auto stopping = agent(5, "ghiffa");
    stopping.liveness = protocol::Liveness::Suspect;
    stopping.state = protocol::MemberState::Stopping;
    membership::MembershipTable members({}, 1);
    members.merge({agent(2, "ghiffa"), agent(3, "premeno"), unconfirmed, stopping}, s_now);
    configuration::ConfigurationTable evacuated;
    ASSERT_TRUE(evacuated.apply(configuration::wholeConfiguration(3, {configuration::evacuationOf("ghiffa")})));
    const auto pool = routedConfiguration(evacuated, members, "ghiffa").pools.front();
    EXPECT_EQ(idsOf(pool.eligible), std::vector<std::uint64_t> {3});
    EXPECT_EQ(idsOf(pool.draining), std::vector<std::uint64_t> {2});
    EXPECT_TRUE(pool.suspect.empty());
    EXPECT_EQ(idsOf(pool.evacuatedSuspect), std::vector<std::uint64_t> {4});
    EXPECT_EQ(idsOf(pool.stopped), std::vector<std::uint64_t> {5});
    EXPECT_TRUE(pool.unconfirmed.empty());
    EXPECT_TRUE(pool.hasUnconfirmed);
    EXPECT_TRUE(pool.hasEvacuated);
    EXPECT_EQ(pool.nearby, 0U);
    ASSERT_TRUE(evacuated.apply(configuration::wholeConfiguration(3, {})));
    const auto takenBack = routedConfiguration(evacuated, members, "ghiffa").pools.front();
    EXPECT_EQ(idsOf(takenBack.eligible), (std::vector<std::uint64_t> {2, 3}));
    EXPECT_FALSE(takenBack.hasEvacuated);
}

// As above, for a service that lists its hosts.
TEST(RoutedServicesTest, EvacuatedHostsOfAServiceAreNotEligible)
{
    configuration::ServiceRecord service;
    service.name = "tally";
    service.address = 1;
    service.requestPort = 443;
    service.hosts = {{"host-2", "ghiffa"}, {"host-3", "premeno"}};
    membership::MembershipTable members({}, 1);
    auto first = agent(2, "ghiffa");
    first.name = "host-2";
    auto second = agent(3, "premeno");
    second.name = "host-3";
    members.merge({first, second}, s_now);
    configuration::ConfigurationTable table;
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(3, {service, configuration::evacuationOf("ghiffa")})));
    const auto routed = routedServices(table, members);
    ASSERT_EQ(routed.size(), 1U);
    EXPECT_EQ(idsOf(routed.front().eligible), std::vector<std::uint64_t> {3});
    EXPECT_EQ(idsOf(routed.front().others), std::vector<std::uint64_t> {2});
}

// Guards against an agent that accepts flows because it looks for the domain of another agent.
TEST(RoutedServicesTest, AgentLearnsWhetherItsOwnDomainIsEvacuated)
{
    configuration::ConfigurationTable table;
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(
        3, {configuration::evacuationOf("ghiffa"), configuration::evacuationOf("cannero")})));
    const ServiceId pool = ServiceId::fromName("tally");
    EXPECT_TRUE(servedDestinations(table, pool, "ghiffa").upstreamTerms().isEvacuated);
    EXPECT_FALSE(servedDestinations(table, pool, "premeno").upstreamTerms().isEvacuated);
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(3, {configuration::evacuationOf("cannero")})));
    EXPECT_FALSE(servedDestinations(table, pool, "ghiffa").upstreamTerms().isEvacuated);
    EXPECT_TRUE(servedDestinations(table, pool, "cannero").upstreamTerms().isEvacuated);
}

} // namespace samphireswitch::control
