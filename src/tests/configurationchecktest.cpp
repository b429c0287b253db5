#include "configuration/configurationcheck.h"

#include "tests/testservice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace samphireswitch::configuration {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t s_firstAddress = 0x0a140001;

ServiceRecord service(const std::string &name, std::uint32_t address)
{
    return tests::declaredService(
        name, address, {{name + "-1", "Ghiffa", HostState::Active}, {name + "-2", "Cannero", HostState::Active}});
}

ServiceRecord evacuation(const std::string &domain)
{
    ServiceRecord record;
    record.name = "evacuation-" + domain;
    record.evacuatedDomain = domain;
    return record;
}

ServiceRecord pool(const std::string &name)
{
    ServiceRecord record;
    record.name = name;
    record.healthPath = "/health";
    record.connections = 2000;
    return record;
}

ServiceRecord route(const std::string &name, std::uint32_t address, std::vector<PoolShare> pools)
{
    ServiceRecord record;
    record.name = name;
    record.address = address;
    record.requestPort = 443;
    record.deadline = milliseconds(2000);
    record.latencyTarget = milliseconds(300);
    record.pools = std::move(pools);
    return record;
}

/** The findings of @p severity, one line each. */
std::string linesOf(const std::vector<ServiceRecord> &records, Severity severity)
{
    std::string text;
    for (const Finding &finding : findingsOf(records)) {
        text += finding.severity == severity ? finding.text + '\n' : "";
    }
    return text;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against findings in a configuration that is fine, which operators would learn to ignore.
TEST(ConfigurationCheckTest, OrdinaryConfigurationsHaveNoFindings)
{
    EXPECT_TRUE(findingsOf({service("tally", s_firstAddress), service("leaf", s_firstAddress + 1)}).empty());
    ServiceRecord cold = pool("orders");
    cold.coldRequestsPerSecond = 2.5;
    cold.slowStart = milliseconds(8000);
    EXPECT_TRUE(findingsOf({route("a", s_firstAddress, {{"orders", 1}}), cold}).empty());
    ServiceRecord removed = service("gone", s_firstAddress);
    removed.removed = true;
    EXPECT_TRUE(findingsOf({removed, service("tally", s_firstAddress)}).empty());
}

// Guards against a second entry for an address and port, which gets no flow and is not noticed.
TEST(ConfigurationCheckTest, FindsEntriesThatNeverMatch)
{
    EXPECT_TRUE(contains(linesOf({service("tally", s_firstAddress), service("leaf", s_firstAddress)}, Severity::Error),
                         "service leaf: 10.20.0.1:8001 belongs to service tally"));
    const std::string shares =
        linesOf({route("a", s_firstAddress, {{"orders", 0}, {"scans", 3}}), pool("orders")}, Severity::Error);
    EXPECT_TRUE(contains(shares, "service a: the pool scans does not exist"));
    EXPECT_TRUE(contains(shares, "service a: no pool has a weight above 0"));
    EXPECT_TRUE(contains(linesOf({pool("orders"), pool("orders")}, Severity::Error),
                         "pool orders: the name is used by an earlier entry"));
    EXPECT_TRUE(contains(linesOf({pool("orders")}, Severity::Warning), "no service refers to the pool"));
    EXPECT_TRUE(contains(linesOf({service("tally", s_firstAddress), evacuation("Nowhere")}, Severity::Warning),
                         "no host is in failure domain Nowhere"));
}

// Guards against a service that can get no flow and whose configuration looks fine.
TEST(ConfigurationCheckTest, FindsServicesWithoutAnUpstream)
{
    ServiceRecord drained = service("tally", s_firstAddress);
    for (HostRecord &host : drained.hosts) {
        host.state = HostState::Draining;
    }
    EXPECT_TRUE(contains(linesOf({drained}, Severity::Warning), "service tally: it has no active host"));
    const std::string one = linesOf({service("tally", s_firstAddress), evacuation("Ghiffa")}, Severity::Warning);
    EXPECT_TRUE(contains(one, "host tally-1 is active in failure domain Ghiffa, which is evacuated"));
    EXPECT_FALSE(contains(one, "all its active hosts"));
    const std::string both =
        linesOf({service("tally", s_firstAddress), evacuation("Ghiffa"), evacuation("Cannero")}, Severity::Warning);
    EXPECT_TRUE(contains(both, "all its active hosts are in evacuated failure domains"));
}

// Guards against limits of which one makes the other pointless.
TEST(ConfigurationCheckTest, FindsLimitsThatContradictEachOther)
{
    ServiceRecord late = route("a", s_firstAddress, {{"orders", 1}});
    late.latencyTarget = milliseconds(2001);
    ServiceRecord cold = pool("orders");
    cold.coldRequestsPerSecond = 2;
    const std::string warnings = linesOf({late, cold}, Severity::Warning);
    EXPECT_TRUE(contains(warnings, "service a: the latency target of 2001 ms is beyond the deadline of 2000 ms"));
    EXPECT_TRUE(contains(warnings, "pool orders: it limits the requests to cold upstreams, but has no slow start"));
    ServiceRecord idle = service("tally", s_firstAddress);
    idle.slots = 0;
    EXPECT_TRUE(contains(linesOf({idle}, Severity::Error), "service tally: the number of slots"));
    ServiceRecord narrow = service("tally", s_firstAddress);
    narrow.connections = 2;
    EXPECT_TRUE(contains(linesOf({narrow}, Severity::Error), "service tally: it has fewer connections than slots"));
    cold.coldRequestsPerSecond = std::numeric_limits<double>::quiet_NaN();
    EXPECT_TRUE(contains(linesOf({cold}, Severity::Error), "pool orders: the limit of requests per second"));
}

// Guards against changes that take effect unseen.
TEST(ConfigurationCheckTest, DescribesEveryDifference)
{
    ServiceRecord changed = service("tally", s_firstAddress);
    changed.generation = 9;
    changed.deadline = milliseconds(3000);
    changed.hosts = {{"tally-2", "Ghiffa", HostState::Draining}, {"tally-3", "Ghiffa", HostState::Active}};
    ServiceRecord warmer = pool("orders");
    warmer.coldRequestsPerSecond = 2.5;
    const std::vector<std::string> expected {
        "added: service leaf",
        "changed: pool orders: requests per second to a cold upstream from '0' to '2.5'",
        "changed: service tally: deadline from '2000 ms' to '3000 ms'",
        "changed: service tally: host tally-2 from 'active in Cannero' to 'draining in Ghiffa'",
        "changed: service tally: host tally-3 is added, active in Ghiffa",
        "changed: service tally: host tally-1 is removed",
        "in force, but not in the file: service gone"};
    EXPECT_EQ(differencesOf({service("tally", s_firstAddress), service("gone", s_firstAddress + 1), pool("orders")},
                            {changed, warmer, service("leaf", s_firstAddress + 2)}),
              expected);
}

// Guards against differences that are none.
TEST(ConfigurationCheckTest, OrderAndGenerationsAreNoDifference)
{
    ServiceRecord other = service("tally", s_firstAddress);
    other.generation = 9;
    other.plan = "plan-1";
    std::ranges::reverse(other.hosts);
    ServiceRecord removed = service("gone", s_firstAddress + 1);
    removed.removed = true;
    EXPECT_TRUE(differencesOf({service("tally", s_firstAddress), removed}, {other}).empty());
}

} // namespace samphireswitch::configuration
