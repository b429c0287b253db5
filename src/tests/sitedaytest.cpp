#include "platform/siteday.h"

#include "base/attempt.h"
#include "soak/load.h"
#include "soak/machinelayout.h"
#include "soak/operator.h"
#include "soak/siteschedule.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>
#include <string>
#include <variant>

namespace samphireswitch::soak {

namespace {

using platform::SiteDay;
using std::chrono::milliseconds;

const std::string s_site = R"(
length_s = 34.0
zones = [ { name = "north", region = "r" }, { name = "south", region = "r" } ]
machines = [
  { class = "front", zone = "north", count = 2, spare = 1, cpu_share = 0.055 },
  { class = "front", zone = "south", count = 1, spare = 1, cpu_share = 0.055 },
  { class = "side", zone = "north", count = 2, app = "desk", cpu_share = 0.15 },
  { class = "side", zone = "south", count = 2, app = "scans", cpu_share = 0.15 },
]
services = [
  { name = "desk", slots = 3, queue = 12, idle_close_ms = 12000 },
  { name = "scans", slots = 3, queue = 12 },
]
classes = [
  { name = "board", deadline_ms = 2000, service = "desk", work_ms = { mean = 19.0 }, resp_bytes = { mean = 2000.0 } },
  { name = "entry", deadline_ms = 2500, service = "desk", kind = "unsafe", habit = "fresh", work_ms = { mean = 25.0 } },
  { name = "photo", deadline_ms = 8000, service = "scans", kind = "upload", habit = "fresh", req_bytes = { mean = 40000.0 } },
]
traffic = [ { zone = "north", mix = { board = 1 }, per_s = 1.0, clients = 1, users = 1 } ]
[discovery]
beat_ms = 1200
[net]
client_ms = 3.0
[[day]]
name = "other"
[[day]]
name = "storm"
closing = { kind = "kill_all", down_s = 0.6 }
plan = [
  { at = 4.0, kind = "roll_term", share = 0.67, gap_s = 1.2 },
  { at = 2.5, kind = "release", share = 0.5, x = 2.0, service = "desk" },
  { at = 3.0, kind = "config_storm", for_s = 1.0, gap_s = 0.25 },
  { at = 5.0, kind = "add_nodes" },
  { at = 6.0, kind = "no_such_kind" },
]
faults = [ { at = 1.0, kind = "platform_down", how = "nodes silent revoke", share = 0.5, for_s = 9.0 } ]
traffic = [
  { zone = "north", mix = { board = 7, entry = 2, photo = 1 }, per_s = 60.0, clients = 10, users = 3 },
  { zone = "south", mix = { board = 7, entry = 2, photo = 1 }, per_s = 40.0, clients = 5, users = 3 },
]
)";

/** A site file in a temporary folder. */
class SiteDayTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::ofstream(m_path) << s_site;
    }

    void TearDown() override
    {
        std::remove(m_path.c_str());
    }

    SiteDay read(const std::string &day) const
    {
        const auto outcome = attempt([&] { return platform::readSiteDay(m_path, day); });
        EXPECT_TRUE(std::holds_alternative<SiteDay>(outcome));
        return std::get<SiteDay>(outcome);
    }

    std::string m_path = testing::TempDir() + "sitedaytest-" + std::to_string(getpid()) + ".toml";
};

std::vector<PlannedFault> faultsOfKind(const std::vector<PlannedFault> &faults, FaultKind kind)
{
    std::vector<PlannedFault> found;
    std::ranges::copy_if(faults, std::back_inserter(found), [kind](const auto &fault) { return fault.kind == kind; });
    return found;
}

} // namespace

// Guards against a soak that plays other machines than those of the site.
TEST_F(SiteDayTest, MachinesAreThoseOfTheSite)
{
    const SiteDay day = read("storm");
    EXPECT_EQ(day.balancers, (std::vector<std::string> {"north", "north", "south"}));
    EXPECT_DOUBLE_EQ(day.balancerProcessorShare, 0.055);
    EXPECT_EQ(day.reportInterval, milliseconds(1200));
    EXPECT_EQ(day.pools.front().idleClose, milliseconds(12000));
    MachineLayout layout(day);
    EXPECT_EQ(layout.failureDomain("balancer-3"), "south");
    EXPECT_EQ(layout.failureDomain("balancer-4"), "north") << "the first machine that may be added";
    EXPECT_EQ(layout.failureDomain("agent-4"), "south");
    EXPECT_EQ(layout.pool(4), s_scans);
    layout.placeLike(5, 4);
    EXPECT_EQ(layout.pool(5), s_scans);
    EXPECT_EQ(layout.failureDomain("upstream-5"), "south");
}

// Guards against load that differs from that of the day.
TEST_F(SiteDayTest, LoadIsThatOfTheDay)
{
    const std::vector<RequestKind> kinds = requestKinds(read("storm"));
    ASSERT_EQ(kinds.size(), 3U);
    EXPECT_EQ(kinds[0].keptFlows, 45U);
    EXPECT_EQ(kinds[0].pause, milliseconds(642)) << "45 flows, 70 requests a second";
    EXPECT_EQ(kinds[0].route, mainRoute(FeedRoute));
    EXPECT_EQ(kinds[0].timeBudget, milliseconds(2000));
    EXPECT_DOUBLE_EQ(kinds[1].flowsPerSecond, 20);
    EXPECT_EQ(kinds[1].route, mainRoute(OrderRoute));
    EXPECT_EQ(kinds[2].bodySize, 40000U);
    EXPECT_EQ(kinds[2].route, mainRoute(ScanRoute));
}

// Guards against disturbances of the day that are not played, or at other times.
TEST_F(SiteDayTest, FaultsComeAtTheTimesOfTheDay)
{
    const SiteDay day = read("storm");
    EXPECT_EQ(day.unknownEntries, std::vector<std::string> {"no_such_kind"});
    const auto faults = scheduleOf(day, 1);
    const auto restarts = faultsOfKind(faults, FaultKind::BalancerRestarted);
    ASSERT_EQ(restarts.size(), 2U);
    EXPECT_EQ(restarts[0].begin, milliseconds(4000));
    EXPECT_EQ(restarts[1].begin, milliseconds(5200));
    EXPECT_NE(restarts[0].target, restarts[1].target);
    const auto moves = faultsOfKind(faults, FaultKind::UpstreamMoved);
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_LE(moves[0].target, 2U) << "an upstream of the named pool";
    EXPECT_EQ(faultsOfKind(faults, FaultKind::ConfigurationPublished).size(), 4U);
    EXPECT_EQ(faultsOfKind(faults, FaultKind::BalancerAdded).size(), 2U);
    EXPECT_EQ(faultsOfKind(faults, FaultKind::StoreCut).size(), 2U);
    EXPECT_EQ(faultsOfKind(faults, FaultKind::AgentStoreCut).size(), 2U);
    const auto kills = faultsOfKind(faults, FaultKind::ProcessesKilled);
    ASSERT_EQ(kills.size(), 1U);
    EXPECT_EQ(kills[0].begin, milliseconds(34000));
    EXPECT_EQ(kills[0].end, milliseconds(34600));
    EXPECT_EQ(kills[0].killedShare, 100U);
}

// Guards against a misspelt day that is taken for one without disturbances.
TEST_F(SiteDayTest, UnknownDayIsAnError)
{
    const auto outcome = attempt([&] { return platform::readSiteDay(m_path, "calm"); });
    ASSERT_TRUE(std::holds_alternative<Error>(outcome));
    EXPECT_EQ(std::get<Error>(outcome).code, ResultCode::InvalidDeclaration);
}

} // namespace samphireswitch::soak
