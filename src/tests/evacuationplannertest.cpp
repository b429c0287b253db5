#include "configuration/evacuation.h"
#include "configuration/planconflict.h"
#include "configuration/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

namespace {

constexpr std::uint32_t s_address = 0x0a140001;
constexpr Generation s_generation = 5;

ServiceRecord service()
{
    ServiceRecord record;
    record.name = "tally";
    record.address = s_address;
    record.requestPort = 8001;
    record.deadline = std::chrono::milliseconds(2000);
    record.slots = 3;
    record.connections = 2000;
    record.hosts = {{"ghiffa-1", "Ghiffa", HostState::Active},
                    {"ghiffa-2", "Ghiffa", HostState::Draining},
                    {"cannero-1", "Cannero", HostState::Active}};
    return record;
}

ConfigurationTable tableWith(std::vector<ServiceRecord> records, const std::vector<std::string> &evacuated = {})
{
    for (const std::string &domain : evacuated) {
        records.push_back(evacuationOf(domain, records));
    }
    for (ServiceRecord &record : records) {
        record.generation = s_generation;
        record.plan = "plan-before";
    }
    ConfigurationTable table;
    EXPECT_TRUE(table.apply(ConfigurationDelta {0, s_generation, records}));
    return table;
}

Plan planFor(const ConfigurationTable &table, const Declaration &declaration, PlanRequest request = {})
{
    request.id = "plan-1";
    return Planner(table).plan(declaration, request);
}

Plan planFor(const ConfigurationTable &table,
             const std::vector<DeclaredFailureDomain> &domains,
             const PlanRequest &request = {})
{
    return planFor(table, Declaration {{}, domains}, request);
}

bool mentions(const std::vector<std::string> &lines, const std::string &text)
{
    return std::ranges::any_of(lines,
                               [&text](const std::string &line) { return line.find(text) != std::string::npos; });
}

/** @p table with @p plan confirmed as the next generation. */
ConfigurationTable confirmed(ConfigurationTable table, const Plan &plan)
{
    ConfigurationDelta delta {table.generation(), table.generation() + 1, plan.records};
    for (ServiceRecord &record : delta.records) {
        record.generation = delta.to;
        record.plan = plan.id;
    }
    EXPECT_TRUE(table.apply(delta));
    return table;
}

} // namespace

// Guards against a plan that does not tell which hosts drain and what capacity is left.
TEST(EvacuationPlannerTest, DescribesEvacuationAndItsEnd)
{
    const ConfigurationTable before = tableWith({service()});
    const Plan plan = planFor(before, {{"Ghiffa", true}});
    EXPECT_TRUE(plan.refusals.empty());
    ASSERT_EQ(plan.records.size(), 1U);
    EXPECT_EQ(plan.records.front().evacuatedDomain, "Ghiffa");
    EXPECT_TRUE(mentions(plan.lines, "failure domain Ghiffa: evacuated until it is declared as active"));
    EXPECT_TRUE(mentions(plan.lines, "failure domain Ghiffa: host ghiffa-1 of service tally gets no new work"));
    EXPECT_FALSE(mentions(plan.lines, "ghiffa-2"));
    EXPECT_TRUE(mentions(plan.lines, "service tally: 1 active host with 3 slots and 2000 connections outside"));
    EXPECT_TRUE(mentions(plan.lines, "of 2 active hosts with 6 slots"));
    const ConfigurationTable evacuated = confirmed(before, plan);
    EXPECT_EQ(evacuatedDomains(evacuated), std::vector<std::string> {"Ghiffa"});
    EXPECT_TRUE(planFor(evacuated, {{"Ghiffa", true}}).records.empty());
    const Plan end = planFor(evacuated, {{"Ghiffa", false}});
    EXPECT_TRUE(mentions(end.lines, "failure domain Ghiffa: taken back"));
    EXPECT_TRUE(mentions(end.lines, "host ghiffa-1 of service tally gets new work again"));
    const ConfigurationTable after = confirmed(evacuated, end);
    EXPECT_TRUE(evacuatedDomains(after).empty());
    const Plan again = planFor(after, {{"Ghiffa", true}});
    EXPECT_EQ(evacuatedDomains(confirmed(after, again)), std::vector<std::string> {"Ghiffa"});
}

// Guards against a service that loses its last active host to an evacuation, alone or together with another change.
TEST(EvacuationPlannerTest, RefusesToEvacuateTheLastFailureDomain)
{
    const ConfigurationTable overlapping = tableWith({service()}, {"Ghiffa"});
    const Plan refused = planFor(overlapping, {{"Cannero", true}});
    EXPECT_TRUE(mentions(refused.refusals, "service tally: no active host is left outside the evacuated"));
    PlanRequest closing;
    closing.closing = {"tally"};
    EXPECT_TRUE(planFor(overlapping, {{"Cannero", true}}, closing).refusals.empty());
    EXPECT_TRUE(planFor(overlapping, {{"Cannero", true}, {"Ghiffa", false}}).refusals.empty());
    ServiceRecord drained = service();
    drained.hosts[2].state = HostState::Draining;
    EXPECT_FALSE(planFor(overlapping, Declaration {{drained}, {}}).refusals.empty());
    EXPECT_TRUE(planFor(tableWith({service()}), Declaration {{drained}, {}}).refusals.empty());
}

// Guards against a file of another operator that takes an evacuation back because it does not name it.
TEST(EvacuationPlannerTest, LeavesOtherEvacuationsInForce)
{
    const ConfigurationTable table = tableWith({service()}, {"Ghiffa"});
    const Plan other = planFor(table, Declaration {{service()}, {}});
    EXPECT_TRUE(other.records.empty());
    EXPECT_TRUE(mentions(other.lines, "failure domain Ghiffa: not named in the file, and stays evacuated"));
    PlanRequest pruning;
    pruning.prune = true;
    const Plan pruned = planFor(table, Declaration {{service()}, {}}, pruning);
    ASSERT_EQ(pruned.records.size(), 1U);
    EXPECT_TRUE(pruned.records.front().removed);
}

// Guards against a misspelt failure domain that nobody notices, and against names that stand for two records.
TEST(EvacuationPlannerTest, TellsOfUnknownDomainsAndTakenNames)
{
    ServiceRecord namesake = service();
    namesake.name = "evacuation-Ghiffa";
    EXPECT_TRUE(mentions(planFor(tableWith({service()}), {{"Gifa", true}}).lines, "check the spelling"));
    const Plan beside = planFor(tableWith({namesake}), {{"Ghiffa", true}});
    ASSERT_EQ(beside.records.size(), 1U);
    EXPECT_NE(beside.records.front().name, namesake.name);
    const ConfigurationTable evacuated = tableWith({}, {"Ghiffa"});
    EXPECT_TRUE(mentions(planFor(evacuated, Declaration {{namesake}, {}}).refusals, "name is that of an evacuation"));
}

// Guards against two operators whose plans, confirmed one after the other, leave a service without a host: each of them
// saw the room that the other one took.
TEST(EvacuationPlannerTest, ConcurrentEvacuationsConflict)
{
    const ConfigurationTable table = tableWith({service()});
    const Plan first = planFor(table, {{"Ghiffa", true}});
    const Plan second = planFor(table, {{"Cannero", true}});
    ServiceRecord drained = service();
    drained.hosts[2].state = HostState::Draining;
    const Plan third = planFor(table, Declaration {{drained}, {}});
    EXPECT_TRUE(findConflict(second, first.records));
    EXPECT_TRUE(findConflict(third, first.records));
    EXPECT_TRUE(findConflict(first, third.records));
    const Plan end = planFor(confirmed(table, first), {{"Ghiffa", false}});
    EXPECT_FALSE(findConflict(third, end.records));
}

// Guards against a process that follows one service and learns of no evacuation.
TEST(EvacuationPlannerTest, FollowersOfOneServiceGetEvacuations)
{
    const ConfigurationTable table = tableWith({service()}, {"Ghiffa"});
    ConfigurationTable follower;
    ASSERT_TRUE(follower.apply(table.patchFor(follower.contentHashes(), ServiceId::fromName("tally"))));
    EXPECT_EQ(evacuatedDomains(follower), std::vector<std::string> {"Ghiffa"});
    const ConfigurationTable ended = confirmed(table, planFor(table, {{"Ghiffa", false}}));
    ASSERT_TRUE(follower.apply(ended.patchFor(follower.contentHashes(), ServiceId::fromName("tally"))));
    EXPECT_TRUE(evacuatedDomains(follower).empty());
    ConfigurationTable earlier;
    ASSERT_TRUE(earlier.apply(table.wholeDelta(ServiceId::fromName("tally"))));
    EXPECT_EQ(evacuatedDomains(earlier), std::vector<std::string> {"Ghiffa"});
}

// Guards against the removal of all services by a file with failure domains only that is confirmed with --prune.
TEST(EvacuationPlannerTest, PruningWithoutAServiceRemovesNoService)
{
    const ConfigurationTable table = tableWith({service()}, {"Ghiffa"});
    PlanRequest pruning;
    pruning.prune = true;
    pruning.idle = {"tally"};
    const Plan plan = planFor(table, {{"Cannero", false}}, pruning);
    EXPECT_EQ(plan.refusals, std::vector<std::string> {});
    EXPECT_EQ(plan.releases.size(), 0U);
    ASSERT_EQ(plan.records.size(), 1U);
    EXPECT_EQ(plan.records.front().name, evacuationOf("Ghiffa").name);
    EXPECT_TRUE(
        mentions(plan.lines, "service tally: not touched; --prune concerns services only if the file names one"));
}

} // namespace samphireswitch::configuration
