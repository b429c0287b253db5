#include "soak/faultplan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>

namespace samphireswitch::soak {

// Guards against seeds that do not repeat a run, and against kinds of faults that never come.
TEST(FaultPlanTest, SeedRepeatsItsFaultsAndAllKindsCome)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        FaultPlanSettings settings;
        settings.seed = seed;
        const auto faults = drawFaults(settings);
        const auto again = drawFaults(settings);
        ASSERT_EQ(faults.size(), settings.faults);
        for (std::size_t index = 0; index < faults.size(); ++index) {
            EXPECT_EQ(faults[index].kind, again[index].kind);
            EXPECT_EQ(faults[index].begin, again[index].begin);
            EXPECT_GE(faults[index].target, 1U);
            EXPECT_LE(faults[index].target, settings.upstreams);
            EXPECT_GE(faults[index].end - faults[index].begin, settings.shortest);
            kinds.insert(faults[index].kind);
        }
    }
    EXPECT_EQ(kinds.size(), static_cast<std::size_t>(FaultKind::PowerLost) + 1);
}

// Guards against seeds that lose the faults for which they are kept when restarts of agents are added.
TEST(FaultPlanTest, AgentRestartsComeBesideTheFaults)
{
    FaultPlanSettings settings;
    const auto without = drawFaults(settings);
    settings.agentRestarts = 10;
    auto faults = drawFaults(settings);
    EXPECT_EQ(std::erase_if(faults, [](const auto &fault) { return fault.kind == FaultKind::AgentRestarted; }), 10U);
    ASSERT_EQ(faults.size(), without.size());
    for (std::size_t index = 0; index < faults.size(); ++index) {
        EXPECT_EQ(faults[index].kind, without[index].kind);
        EXPECT_EQ(faults[index].begin, without[index].begin);
    }
}

// Guards against machines that never come or go, and against seeds that lose the faults for which they are kept.
TEST(FaultPlanTest, MachinesComeAndGoBesideTheFaults)
{
    FaultPlanSettings settings;
    const auto without = drawFaults(settings);
    settings.addedUpstreams = 1;
    settings.removedUpstreams = 2;
    settings.movedUpstreams = 3;
    settings.reusedAddresses = 4;
    settings.addedBalancers = 5;
    settings.removedBalancers = 6;
    settings.routeChanges = 7;
    settings.endedAgents = 8;
    settings.endedBalancers = 9;
    auto faults = drawFaults(settings);
    EXPECT_EQ(faults.size(), without.size() + 45);
    const auto count = [&faults](FaultKind kind) { return std::ranges::count(faults, kind, &PlannedFault::kind); };
    EXPECT_EQ(count(FaultKind::UpstreamMoved), 3);
    EXPECT_EQ(count(FaultKind::BalancerRemoved), 6);
    EXPECT_GE(count(FaultKind::RouteChanged), 7);
    EXPECT_EQ(count(FaultKind::AgentEnded), 8);
    EXPECT_EQ(count(FaultKind::BalancerEnded), 9);
    for (const PlannedFault &fault : faults) {
        const bool isBalancer = targetRole(fault.kind) == "balancer";
        EXPECT_LE(fault.target, isBalancer ? settings.balancers : settings.upstreams);
    }
}

// Guards against evacuations that end before their bound, and against seeds that lose the faults for which they are
// kept.
TEST(FaultPlanTest, EvacuationsComeBesideTheFaults)
{
    FaultPlanSettings settings;
    const auto without = drawFaults(settings);
    settings.evacuations = 5;
    settings.returnedDomains = 3;
    settings.storeCuts = 2;
    settings.failureDomains = 4;
    const auto faults = drawFaults(settings);
    EXPECT_EQ(faults.size(), without.size() + 10);
    const auto count = [&faults](FaultKind kind) { return std::ranges::count(faults, kind, &PlannedFault::kind); };
    EXPECT_EQ(count(FaultKind::DomainEvacuated), 5);
    EXPECT_EQ(count(FaultKind::DomainReturned), 3);
    for (const PlannedFault &fault : faults) {
        const bool isOfDomain = targetRole(fault.kind) == "domain";
        EXPECT_LE(fault.target, isOfDomain ? settings.failureDomains : settings.upstreams);
        EXPECT_GE(fault.end - fault.begin,
                  fault.kind == FaultKind::DomainEvacuated ? settings.shortestEvacuation : settings.shortest);
    }
}

// Guards against a series of restarts that leaves a machine out or changes the faults of a seed.
TEST(FaultPlanTest, RollingRestartsReachEveryMachineInTurn)
{
    FaultPlanSettings settings;
    const auto without = drawFaults(settings);
    settings.rollingRestarts = 2;
    const auto faults = drawFaults(settings);
    const std::size_t machines = settings.balancers + settings.upstreams;
    EXPECT_EQ(faults.size(), without.size() + settings.rollingRestarts * machines);

    settings.faults = 0;
    const auto series = drawFaults(settings);
    ASSERT_EQ(series.size(), settings.rollingRestarts * machines);
    std::multiset<std::pair<FaultKind, unsigned>> restarted;
    for (std::size_t index = 0; index < series.size(); ++index) {
        restarted.emplace(series[index].kind, series[index].target);
        EXPECT_EQ(series[index].begin, settings.rollingGap * (index + 1));
    }
    for (unsigned number = 1; number <= settings.balancers; ++number) {
        EXPECT_EQ(restarted.count({FaultKind::BalancerRestarted, number}), settings.rollingRestarts);
    }
    for (unsigned number = 1; number <= settings.upstreams; ++number) {
        EXPECT_EQ(restarted.count({FaultKind::AgentRestarted, number}), settings.rollingRestarts);
    }
}

} // namespace samphireswitch::soak
