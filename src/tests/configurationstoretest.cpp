#include "store/configurationstore.h"
#include "configuration/evacuation.h"
#include "standin/storestandin.h"
#include "tests/resulterror.h"
#include "tests/testservice.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace samphireswitch::store {

namespace {

using configuration::ConfigurationDelta;
using configuration::HostState;
using configuration::Plan;
using configuration::ServiceRecord;
using std::chrono::milliseconds;

constexpr std::uint32_t s_loopback = 0x7f000001;
constexpr std::uint32_t s_firstAddress = 0x0a140001;
// For the tests of the limit itself. The others have one that no machine reaches: the size of an answer, for example,
// says nothing about the time in which a busy machine passes it on.
constexpr milliseconds s_timeLimit {400};

ServiceRecord recordOf(const std::string &name, std::uint32_t address)
{
    return tests::declaredService(name, address, {{name + "-1", "Ghiffa", HostState::Active}});
}

Plan planOf(const std::string &id, Generation base, const ServiceRecord &record)
{
    return {id, base, {"a line"}, {}, {record}, {}};
}

class ConfigurationStoreTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_standIn.start({s_loopback, 0}));
    }

    ConfigurationStore connect()
    {
        return {m_standIn.endpoint(), tests::s_ampleTime};
    }

    Generation confirmed(const Plan &plan)
    {
        ConfigurationStore store = connect();
        const auto outcome = attempt([&] { return store.confirm(plan); });
        const Error *error = std::get_if<Error>(&outcome);
        EXPECT_EQ(error, nullptr) << error->message;
        return error == nullptr ? std::get<Generation>(outcome) : 0;
    }

    ConfigurationDelta changes(Generation since)
    {
        ConfigurationStore store = connect();
        const auto delta = store.changesSince(since);
        EXPECT_TRUE(delta);
        return delta ? *delta : ConfigurationDelta {};
    }

    standin::StoreStandIn m_standIn;
};

} // namespace

// Guards against records or plans that change on their way through the store.
TEST_F(ConfigurationStoreTest, KeepsRecordsAndPlans)
{
    ConfigurationStore store = connect();
    Plan plan = planOf("p-1", 0, recordOf("tally", s_firstAddress));
    plan.releases = {{s_firstAddress + 1, "tally"}};
    ASSERT_TRUE(store.savePlan(plan));
    ASSERT_TRUE(store.savePlan(plan));
    EXPECT_EQ(*store.loadPlan("p-1"), plan);
    EXPECT_EQ(errorOf([&] { return store.loadPlan("p-2"); }).code, ResultCode::PlanNotFound);
    plan.base = 7;
    EXPECT_EQ(errorOf([&] { return store.savePlan(plan); }).code, ResultCode::StoreConflict);
    plan.base = 0;
    EXPECT_EQ(changes(0), (ConfigurationDelta {0, 0, {}}));
    EXPECT_EQ(confirmed(plan), 1U);
    ServiceRecord expected = plan.records[0];
    expected.generation = 1;
    expected.plan = "p-1";
    EXPECT_EQ(changes(0), (ConfigurationDelta {0, 1, {expected}}));
    EXPECT_EQ(changes(1), (ConfigurationDelta {1, 1, {}}));
}

// Guards against an evacuation that is lost, or read as a service, on its way through the store.
TEST_F(ConfigurationStoreTest, KeepsEvacuations)
{
    const ServiceRecord evacuation = configuration::evacuationOf("Shah Alam");
    confirmed(planOf("p-1", 0, evacuation));
    const ConfigurationDelta evacuated = changes(0);
    ASSERT_EQ(evacuated.records.size(), 1U);
    EXPECT_EQ(evacuated.records.front().evacuatedDomain, "Shah Alam");
    EXPECT_TRUE(evacuated.records.front().isEvacuation());
    ServiceRecord end;
    end.name = evacuation.name;
    end.removed = true;
    confirmed(planOf("p-2", 1, end));
    EXPECT_TRUE(changes(1).records.front().removed);
}

// Guards against a process that misses records because it asks only for those after the last revision that it knows.
TEST_F(ConfigurationStoreTest, ChangesSinceOlderGenerationAreComplete)
{
    ConfigurationStore store = connect();
    for (Generation generation = 1; generation <= 4; ++generation) {
        const std::string name = "service-" + std::to_string(generation);
        confirmed(planOf("p-" + name, generation - 1, recordOf(name, s_firstAddress + generation)));
        const auto delta = store.changesSince(generation - 1);
        ASSERT_TRUE(delta);
        ASSERT_EQ(delta->records.size(), 1U);
        EXPECT_EQ(delta->records[0].name, name);
    }
    EXPECT_EQ(store.changesSince(0)->records.size(), 4U);
    EXPECT_EQ(store.changesSince(2)->records.size(), 2U);
}

// Guards against a plan that is reported as failed, or applied twice, when the answer is lost after the write.
TEST_F(ConfigurationStoreTest, LostAnswerAfterWriteIsResolved)
{
    m_standIn.setFaults({.dropAnswers = 1});
    EXPECT_EQ(confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress))), 1U);
    EXPECT_EQ(m_standIn.calls()["/v3/kv/txn"], 1U);
    EXPECT_EQ(changes(0).to, 1U);
}

// Guards against a second generation when operators repeat a command, also long after the first time.
TEST_F(ConfigurationStoreTest, RepeatedConfirmReportsGeneration)
{
    const Plan first = planOf("p-first", 0, recordOf("first", s_firstAddress));
    EXPECT_EQ(confirmed(first), 1U);
    EXPECT_EQ(confirmed(first), 1U);
    constexpr Generation morePlans = 70;
    for (Generation generation = 1; generation <= morePlans; ++generation) {
        confirmed(planOf("p-" + std::to_string(generation), generation, recordOf("other", s_firstAddress + 1)));
    }
    EXPECT_EQ(confirmed(first), 1U);
    EXPECT_EQ(changes(0).to, morePlans + 1);
}

// Guards against two operators who both believe that their plan is in force.
TEST_F(ConfigurationStoreTest, ExactlyOneOfTwoOperatorsWins)
{
    constexpr Generation rounds = 20;
    for (Generation base = 0; base < rounds; ++base) {
        const auto confirmIn = [&](const std::string &id) {
            return std::async(std::launch::async, [this, id, base] {
                ConfigurationStore store = connect();
                const Plan plan = planOf(id, base, recordOf("tally", s_firstAddress));
                return attempt([&] { return store.confirm(plan); });
            });
        };
        const std::string ids[2] {"a-" + std::to_string(base), "b-" + std::to_string(base)};
        std::future<Attempt<Generation>> futures[2] {confirmIn(ids[0]), confirmIn(ids[1])};
        const Attempt<Generation> outcomes[2] {futures[0].get(), futures[1].get()};
        const std::size_t winner = std::holds_alternative<Generation>(outcomes[0]) ? 0 : 1;
        ASSERT_TRUE(std::holds_alternative<Generation>(outcomes[winner]));
        ASSERT_TRUE(std::holds_alternative<Error>(outcomes[1 - winner]));
        EXPECT_EQ(std::get<Generation>(outcomes[winner]), base + 1);
        const Error &error = std::get<Error>(outcomes[1 - winner]);
        EXPECT_EQ(error.code, ResultCode::PlanOutdated);
        EXPECT_NE(error.message.find("plan " + ids[winner]), std::string::npos) << error.message;
        EXPECT_NE(error.message.find("generation " + std::to_string(base + 1)), std::string::npos) << error.message;
        EXPECT_EQ(changes(base).records[0].plan, ids[winner]);
    }
}

// Guards against plans that fail although they touch nothing that changed, and against those that pass although they
// do.
TEST_F(ConfigurationStoreTest, OnlyPlansThatTouchConflict)
{
    confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress)));
    EXPECT_EQ(confirmed(planOf("p-2", 0, recordOf("leaf", s_firstAddress + 1))), 2U);
    ConfigurationStore store = connect();
    const Plan sameAddress = planOf("p-3", 0, recordOf("scan", s_firstAddress));
    EXPECT_EQ(errorOf([&] { return store.confirm(sameAddress); }).code, ResultCode::PlanOutdated);
    Plan sameHost = planOf("p-4", 0, recordOf("scan", s_firstAddress + 2));
    sameHost.records[0].hosts[0].name = "tally-1";
    EXPECT_EQ(errorOf([&] { return store.confirm(sameHost); }).code, ResultCode::PlanOutdated);
}

// Guards against a write that was delayed on its way and takes effect after a newer one.
TEST_F(ConfigurationStoreTest, StaleWriterHasNoEffect)
{
    m_standIn.setFaults({.holdTransactions = true});
    auto stale = std::async(std::launch::async, [this] {
        ConfigurationStore store = connect();
        return errorOf([&] { return store.confirm(planOf("p-stale", 0, recordOf("tally", s_firstAddress))); });
    });
    while (m_standIn.calls()["/v3/kv/txn"] == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    m_standIn.setFaults({});
    EXPECT_EQ(confirmed(planOf("p-new", 0, recordOf("tally", s_firstAddress + 1))), 1U);
    m_standIn.releaseTransactions();
    EXPECT_EQ(stale.get().code, ResultCode::PlanOutdated);
    const ConfigurationDelta delta = changes(0);
    EXPECT_EQ(delta.to, 1U);
    EXPECT_EQ(delta.records[0].address, s_firstAddress + 1);
}

// Guards against calls that hang, and against a loop that loads a store that is down.
TEST_F(ConfigurationStoreTest, UnavailableStoreIsReportedInTime)
{
    const Plan plan = planOf("p-1", 0, recordOf("tally", s_firstAddress));
    ConfigurationStore store = connect();
    m_standIn.setFaults({.unavailable = true});
    TimePoint start = Clock::now();
    EXPECT_EQ(errorOf([&] { return store.confirm(plan); }).code, ResultCode::StoreUnavailable);
    EXPECT_EQ(errorOf([&] { return store.changesSince(0); }).code, ResultCode::StoreUnavailable);
    EXPECT_LT(Clock::now() - start, tests::s_ampleTime) << "a call waited for its limit";
    start = Clock::now();
    EXPECT_EQ(errorOf([&] { return store.waitForChange(milliseconds(100)); }).code, ResultCode::StoreUnavailable);
    EXPECT_GE(Clock::now() - start, milliseconds(100));
    m_standIn.setFaults({});
    EXPECT_EQ(*store.confirm(plan), 1U);
}

// Guards against calls that wait for a slow store without limit, and against a second effect of a late write.
TEST_F(ConfigurationStoreTest, SlowStoreIsLimitedAndLateWriteCountsOnce)
{
    const Plan plan = planOf("p-1", 0, recordOf("tally", s_firstAddress));
    ConfigurationStore store(m_standIn.endpoint(), s_timeLimit);
    m_standIn.setFaults({.transactionDelay = 2 * s_timeLimit});
    const TimePoint start = Clock::now();
    const Error error = errorOf([&] { return store.confirm(plan); });
    EXPECT_LT(Clock::now() - start, 10 * s_timeLimit);
    // The first write takes effect while the attempts go on, so that a later attempt finds the plan in force.
    EXPECT_EQ(error.code, ResultCode::Ok) << error.message;
    m_standIn.setFaults({.delay = 2 * s_timeLimit});
    EXPECT_EQ(errorOf([&] { return store.changesSince(0); }).code, ResultCode::StoreUnavailable);
    m_standIn.setFaults({});
    std::this_thread::sleep_for(2 * s_timeLimit);
    EXPECT_EQ(confirmed(plan), 1U);
    EXPECT_EQ(changes(0).to, 1U);
}

// Guards against crashes on, and acceptance of, answers that a damaged or hostile store gives.
TEST_F(ConfigurationStoreTest, RejectsDamagedAnswers)
{
    const std::string head = R"({"header":{"revision":"9"},"kvs":[{"key":")";
    const std::string headKey = "c2FtcGhpcmVzd2l0Y2gvY29uZmlnL2hlYWQ=";
    const std::string answers[] {
        "{",
        "[]",
        "null",
        "{}",
        "not JSON at all",
        R"({"header":7})",
        R"({"header":{"revision":"-1"}})",
        R"({"header":{"revision":"99999999999999999999999"}})",
        R"({"header":{"revision":"9"},"kvs":{}})",
        R"({"header":{"revision":"9"},"kvs":[1,2]})",
        head + R"(*"}]})",
        head + R"(YQ==","value":"e30="}]})",
        head + headKey + R"(","value":"e30=","mod_revision":[]}]})",
        head + headKey + R"(","value":"e30=","mod_revision":"3"}]})",
        head + headKey + R"(","value":"e2dlbmVyYXRpb246MX0=","mod_revision":"3"}]})",
        std::string(100'000, '['),
        R"({"header":{"revision":"9"},"kvs":[],"more":")" + std::string(s_maximumAnswerSize, 'x') + "\"}",
    };
    for (const std::string &answer : answers) {
        ConfigurationStore store = connect();
        m_standIn.setFaults({.cannedAnswer = answer});
        EXPECT_EQ(errorOf([&] { return store.changesSince(0); }).code, ResultCode::StoreAnswerMalformed)
            << answer.substr(0, 100);
    }
    // A value that would be accepted, under a key that was not asked for.
    m_standIn.setFaults({.cannedAnswer = head + R"(YQ==","value":"e30=","mod_revision":"3"}]})"});
    StoreClient client(m_standIn.endpoint(), tests::s_ampleTime);
    RangeRequest request;
    request.key = "b";
    EXPECT_EQ(errorOf([&] { return client.range(request); }).code, ResultCode::StoreAnswerMalformed);
}

// Guards against a record that no plan could have produced and that was written into the store by hand.
TEST_F(ConfigurationStoreTest, RejectsRecordsThatBreakRules)
{
    confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress)));
    StoreClient client(m_standIn.endpoint(), tests::s_ampleTime);
    ServiceRecord record = recordOf("tally", s_firstAddress);
    record.generation = 1;
    const auto write = [&](const std::string &key, const ServiceRecord &value) {
        EXPECT_TRUE(client.put({"samphireswitch/config/service/" + key, writeRecord(value), 0}));
        ConfigurationStore store = connect();
        return errorOf([&] { return store.changesSince(0); }).code;
    };
    EXPECT_EQ(write("tally", record), ResultCode::Ok);
    EXPECT_EQ(write("leaf", record), ResultCode::StoreAnswerMalformed);
    record.name = "leaf";
    EXPECT_EQ(write("leaf", record), ResultCode::Ok);
    record.slots = 0;
    EXPECT_EQ(write("leaf", record), ResultCode::StoreAnswerMalformed);
    record.slots = 3;
    record.generation = 2;
    EXPECT_EQ(write("leaf", record), ResultCode::StoreAnswerMalformed);
}

// Guards against changes that are noticed late or only by polling, and against a wait without end.
TEST_F(ConfigurationStoreTest, WatchReportsChange)
{
    ConfigurationStore store = connect();
    ASSERT_TRUE(store.changesSince(0));
    const TimePoint start = Clock::now();
    ASSERT_TRUE(store.waitForChange(milliseconds(100)));
    EXPECT_GE(Clock::now() - start, milliseconds(100));
    auto operators = std::async(std::launch::async, [this] {
        std::this_thread::sleep_for(milliseconds(50));
        EXPECT_EQ(confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress))), 1U);
        return Clock::now();
    });
    ASSERT_TRUE(store.waitForChange(tests::s_ampleTime));
    const TimePoint noticed = Clock::now();
    EXPECT_LT(noticed - operators.get(), std::chrono::seconds(2));
    EXPECT_EQ(store.changesSince(0)->to, 1U);
    EXPECT_EQ(m_standIn.calls()["/v3/watch"], 1U);
}

// Guards against a change that is missed because it happened between the read of head and the begin of the watch.
TEST_F(ConfigurationStoreTest, WatchBeginsAtLastRead)
{
    ConfigurationStore store = connect();
    ASSERT_TRUE(store.changesSince(0));
    confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress)));
    const TimePoint start = Clock::now();
    ASSERT_TRUE(store.waitForChange(tests::s_ampleTime));
    EXPECT_LT(Clock::now() - start, std::chrono::seconds(2));
    EXPECT_EQ(store.changesSince(0)->to, 1U);
}

// Guards against a watcher that stays blind after its watch was lost or its revision was compacted.
TEST_F(ConfigurationStoreTest, RecoversFromLostAndCompactedWatch)
{
    ConfigurationStore store = connect();
    ASSERT_TRUE(store.changesSince(0));
    ASSERT_TRUE(store.waitForChange(milliseconds(50)));
    m_standIn.endWatches();
    confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress)));
    // The first wait may report the lost watch instead of the change; the caller reads after each.
    ASSERT_TRUE(store.waitForChange(tests::s_ampleTime));
    EXPECT_EQ(store.changesSince(0)->to, 1U);
    ConfigurationStore late = connect();
    ASSERT_TRUE(late.changesSince(1));
    confirmed(planOf("p-2", 1, recordOf("tally", s_firstAddress)));
    m_standIn.compact();
    const TimePoint start = Clock::now();
    ASSERT_TRUE(late.waitForChange(tests::s_ampleTime));
    EXPECT_LT(Clock::now() - start, std::chrono::seconds(2));
    EXPECT_EQ(late.changesSince(1)->to, 2U);
    auto operators = std::async(std::launch::async, [this] {
        std::this_thread::sleep_for(milliseconds(50));
        return confirmed(planOf("p-3", 2, recordOf("tally", s_firstAddress)));
    });
    ASSERT_TRUE(late.waitForChange(tests::s_ampleTime));
    EXPECT_EQ(operators.get(), 3U);
    EXPECT_EQ(late.changesSince(2)->to, 3U);
}

// Guards against thousands of calls to a store that ends each watch at once.
TEST_F(ConfigurationStoreTest, DroppedWatchesAreNotRepeatedInTightLoop)
{
    m_standIn.setFaults({.dropWatches = true});
    ConfigurationStore store = connect();
    const TimePoint end = Clock::now() + milliseconds(700);
    while (Clock::now() < end) {
        ASSERT_TRUE(store.waitForChange(std::chrono::seconds(5)));
    }
    EXPECT_LE(m_standIn.calls()["/v3/watch"], 6U);
}

// Guards against packets of an old service's flows that reach the service which got its address too early.
TEST_F(ConfigurationStoreTest, ReleasedAddressIsReserved)
{
    confirmed(planOf("p-1", 0, recordOf("tally", s_firstAddress)));
    Plan move = planOf("p-2", 1, recordOf("tally", s_firstAddress + 1));
    move.releases = {{s_firstAddress, "tally"}};
    confirmed(move);
    ConfigurationStore store = connect();
    ASSERT_EQ(store.releasedAddresses()->size(), 1U);
    const Plan early = planOf("p-3", 2, recordOf("leaf", s_firstAddress));
    EXPECT_EQ(errorOf([&] { return store.confirm(early); }).code, ResultCode::PlanRefused);
    EXPECT_EQ(confirmed(planOf("p-4", 2, recordOf("tally", s_firstAddress))), 3U);
}

} // namespace samphireswitch::store
