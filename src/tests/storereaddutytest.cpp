#include "control/storereadduty.h"
#include "bench/storereaders.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace samphireswitch::control {

namespace {

using protocol::MemberRole;
using namespace std::chrono_literals;

// The platform allows this long between the confirmation of a version and its effect (config_apply_ms).
constexpr auto s_applyLimit = 3000ms;
constexpr TimePoint s_start = TimePoint() + 1h;

std::string balancerName(int number)
{
    return "balancer-" + std::to_string(number);
}

configuration::ConfigurationPatch document(Generation generation)
{
    configuration::ServiceRecord record;
    record.name = "service-1";
    record.generation = generation;
    record.address = 1;
    record.requestPort = 80;
    return configuration::wholeConfiguration(generation, {record});
}

/** Balancers of one failure domain that read a store and agree on generation 1. */
struct Fleet
{
    Fleet(int balancerCount, std::uint64_t seed)
        : count(balancerCount)
        , network(seed, 0)
        , readers(network, seed)
    {
        readers.write(document(1));
        for (int number = 1; number <= count; ++number) {
            network.add(balancerName(number), MemberRole::Balancer);
            readers.add(balancerName(number));
        }
        readers.run(15s);
    }

    /** The names of the balancers, the watchers first. */
    std::vector<std::string> ranked()
    {
        std::vector<std::string> names;
        for (int number = 1; number <= count; ++number) {
            names.push_back(balancerName(number));
        }
        std::ranges::sort(names, {}, [this](const std::string &name) {
            const GossipEngine &engine = network.engine(name);
            return storeReadRank(engine.self(), engine.members());
        });
        return names;
    }

    /** Makes the store turn away the first @p turnedAway balancers by rank. */
    void turnAway(int turnedAway)
    {
        const std::vector<std::string> names = ranked();
        const std::vector<std::string> refused(names.begin(), names.begin() + turnedAway);
        readers.isServed = [refused](const std::string &name) {
            return std::ranges::find(refused, name) == refused.end();
        };
    }

    bool haveAll(Generation generation)
    {
        for (int number = 1; number <= count; ++number) {
            if (network.engine(balancerName(number)).configuration().generation() < generation) {
                return false;
            }
        }
        return true;
    }

    int count;
    GossipNetwork network;
    StoreReaders readers;
};

/** Calls of each balancer a second, while @p duration passes. */
double callRate(Fleet &fleet, std::chrono::seconds duration)
{
    const std::uint64_t before = fleet.readers.counters().calls;
    fleet.readers.run(duration);
    return static_cast<double>(fleet.readers.counters().calls - before) / fleet.count
        / static_cast<double>(duration.count());
}

} // namespace

// Guards against a version that no balancer reads while the store turns away the two that watch it and serves the
// others (review, case 4).
TEST(StoreReadDutyTest, OthersReadWhatTheWatchersCannot)
{
    for (const int count : {6, 24, 48}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Fleet fleet(count, seed);
            fleet.turnAway(2);
            fleet.readers.run(std::chrono::milliseconds(300 * seed));
            fleet.readers.write(document(2));
            EXPECT_TRUE(fleet.readers.runUntil([&]() { return fleet.haveAll(2); }, s_applyLimit))
                << count << " balancers, seed " << seed;
        }
    }
}

// Guards against a version that is read late while the store turns away more balancers than the watchers for long: the
// one that reads must go on with it.
TEST(StoreReadDutyTest, SubstituteFollowsFurtherVersions)
{
    Fleet fleet(24, 1);
    fleet.turnAway(8);
    fleet.readers.run(10s);
    for (Generation generation = 2; generation <= 6; ++generation) {
        fleet.readers.write(document(generation));
        EXPECT_TRUE(fleet.readers.runUntil([&]() { return fleet.haveAll(generation); }, s_applyLimit)) << generation;
        fleet.readers.run(700ms);
    }
}

// Guards against substitutes that never stop, whose calls would grow with the fleet.
TEST(StoreReadDutyTest, SubstitutesStopWhenTheWatchersReadAgain)
{
    Fleet fleet(60, 1);
    fleet.turnAway(2);
    fleet.readers.run(10s);
    EXPECT_GT(fleet.readers.counters().substituteReads, 0U);
    fleet.readers.isServed = {};
    fleet.readers.run(5s);
    const std::uint64_t before = fleet.readers.counters().substituteReads;
    fleet.readers.run(30s);
    // Less than one read by each balancer in 5 minutes: a confirmation that misses a balancer is rare.
    EXPECT_LT(fleet.readers.counters().substituteReads - before, 6U);
}

// Guards against a store that each balancer calls as often as the watchers do while it is out of service, or while a
// fleet grows.
TEST(StoreReadDutyTest, CallsOfABalancerFallAsTheFleetGrows)
{
    Fleet small(12, 1);
    Fleet large(48, 1);
    EXPECT_LT(callRate(large, 20s), callRate(small, 20s));
    for (Fleet *fleet : {&small, &large}) {
        fleet->readers.isServed = [](const std::string &) { return false; };
        fleet->readers.run(5s);
    }
    EXPECT_LT(callRate(large, 20s), callRate(small, 20s));
}

// Guards against a watcher that calls the store in a tight loop while it serves reads and turns watches away.
TEST(StoreReadDutyTest, WatchesThatFailAreDelayedMoreAndMore)
{
    StoreReadDuty duty(s_start, std::mt19937_64(1));
    constexpr int failures = 6;
    for (int failure = 0; failure < failures; ++failure) {
        duty.readSucceeded(s_start);
        duty.callFailed(0, s_start);
    }
    EXPECT_GE(duty.nextAttempt() - s_start, 500ms);
    duty.watchSucceeded();
    duty.callFailed(0, s_start);
    EXPECT_LE(duty.nextAttempt() - s_start, 100ms);
}

// Guards against a balancer that reads the store because it has just started and has heard of no read yet.
TEST(StoreReadDutyTest, NewBalancerWaitsForAConfirmation)
{
    const StoreReadDuty duty(s_start, std::mt19937_64(1));
    EXPECT_EQ(duty.role(2, {}, s_start + 1s), StoreReadRole::None);
    EXPECT_EQ(duty.role(2, {}, s_start + 2s), StoreReadRole::Substitute);
    EXPECT_EQ(duty.role(2, s_start + 1s, s_start + 2s), StoreReadRole::None);
    EXPECT_EQ(duty.role(1, s_start + 1s, s_start + 2s), StoreReadRole::Watcher);
}

// Guards against a gap between two readers: the last one goes on until another has read the store, and an echo of its
// own read is none.
TEST(StoreReadDutyTest, LastReaderGoesOnUntilAnotherReads)
{
    StoreReadDuty duty(s_start, std::mt19937_64(1));
    const TimePoint read = s_start + 10s;
    duty.readSucceeded(read);
    EXPECT_EQ(duty.role(40, read, read + 1500ms), StoreReadRole::Substitute);
    EXPECT_EQ(duty.role(40, read + 100ms, read + 1500ms), StoreReadRole::Substitute);
    EXPECT_EQ(duty.role(40, read + 1s, read + 1500ms), StoreReadRole::None);
}

} // namespace samphireswitch::control
