#include "agent/storedflowsschedule.h"

#include <gtest/gtest.h>

namespace samphireswitch::agent {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr OpenFlows s_content {77, 10, 0};
/** One more flow. */
constexpr OpenFlows s_otherContent {78, 11, 1};
/** Most flows are others. */
constexpr OpenFlows s_newContent {79, 10, 8};
constexpr OpenFlows s_noContent {};
constexpr std::uint64_t s_lease = 5;
constexpr std::size_t s_pool = 3;

template<typename Call>
bool isDue(const StoredFlowsSchedule &schedule, TimePoint now, const OpenFlows &content, std::size_t pool = s_pool)
{
    const auto call = schedule.due(now, content, pool);
    return call && std::holds_alternative<Call>(*call);
}

/** The schedule of an agent that has read and written its flows at s_start. */
StoredFlowsSchedule writtenSchedule()
{
    StoredFlowsSchedule schedule({}, s_start);
    schedule.flowsRead();
    schedule.leaseGranted(s_lease, 120s, s_start);
    schedule.flowsWritten(s_content.contentHash, s_start);
    return schedule;
}

} // namespace

// Guards against an agent that replaces the flows of its earlier process before it has read them.
TEST(StoredFlowsScheduleTest, FlowsAreReadBeforeAnyAreWritten)
{
    StoredFlowsSchedule schedule({}, s_start);
    EXPECT_TRUE(isDue<ReadFlows>(schedule, s_start, s_content));
    schedule.callFailed(s_start);
    EXPECT_FALSE(schedule.due(s_start + 100ms, s_content, s_pool));
    EXPECT_TRUE(isDue<ReadFlows>(schedule, s_start + 300ms, s_content)) << "callers wait for it";
    schedule.flowsRead();
    EXPECT_TRUE(isDue<GrantFlowsLease>(schedule, s_start + 400ms, s_content));
}

// Guards against an agent that never keeps its flows because the store was away when it started.
TEST(StoredFlowsScheduleTest, FlowsThatHaveEndedAreNotReadAnyMore)
{
    StoredFlowsSchedule schedule({}, s_start);
    EXPECT_TRUE(isDue<ReadFlows>(schedule, s_start + 74s, s_content));
    EXPECT_TRUE(isDue<GrantFlowsLease>(schedule, s_start + 75s, s_content));
}

// Guards against calls that cost and change nothing, and against flows that are missing in the store.
TEST(StoredFlowsScheduleTest, OnlyChangedFlowsAreWritten)
{
    const StoredFlowsSchedule schedule = writtenSchedule();
    EXPECT_FALSE(schedule.due(s_start + 10s, s_content, s_pool));
    EXPECT_FALSE(schedule.due(s_start + 2100ms, s_newContent, s_pool));
    EXPECT_TRUE(isDue<WriteFlows>(schedule, s_start + 2150ms, s_newContent));
    EXPECT_FALSE(schedule.due(s_start + 5100ms, s_otherContent, s_pool)) << "most flows are in the store";
    EXPECT_TRUE(isDue<WriteFlows>(schedule, s_start + 5200ms, s_otherContent));
    EXPECT_TRUE(isDue<WriteFlows>(schedule, s_start + 5200ms, s_noContent)) << "all flows have ended";
}

// Guards against a number of writes that grows with the pool, until the store turns them all away.
TEST(StoredFlowsScheduleTest, LargePoolsWriteLessOften)
{
    const StoredFlowsSchedule schedule = writtenSchedule();
    constexpr std::size_t largePool = 50;
    EXPECT_FALSE(schedule.due(s_start + 4400ms, s_newContent, largePool));
    EXPECT_TRUE(isDue<WriteFlows>(schedule, s_start + 4500ms, s_newContent, largePool));
    EXPECT_FALSE(schedule.due(s_start + 23s, s_otherContent, largePool));
    EXPECT_TRUE(isDue<WriteFlows>(schedule, s_start + 24s, s_otherContent, largePool));
}

// Guards against flows that vanish from the store because they do not change, and against a write under a lease that
// has ended.
TEST(StoredFlowsScheduleTest, LeaseIsRenewedAndReplaced)
{
    StoredFlowsSchedule schedule = writtenSchedule();
    EXPECT_TRUE(isDue<RenewFlowsLease>(schedule, s_start + 40s, s_content));
    schedule.leaseRenewed(s_start + 40s);
    EXPECT_FALSE(schedule.due(s_start + 79s, s_content, s_pool));
    schedule.leaseEnded();
    EXPECT_TRUE(isDue<GrantFlowsLease>(schedule, s_start + 80s, s_content));
    schedule.leaseGranted(s_lease + 1, 120s, s_start + 80s);
    const auto call = schedule.due(s_start + 80s, s_content, s_pool);
    ASSERT_TRUE(call && std::holds_alternative<WriteFlows>(*call));
    EXPECT_EQ(std::get<WriteFlows>(*call).lease, s_lease + 1);
}

// Guards against agents that press a store which turns them away, as one that is too small for the deployment does.
TEST(StoredFlowsScheduleTest, FailedWritesAreRetriedMoreAndMoreSeldom)
{
    StoredFlowsSchedule schedule = writtenSchedule();
    TimePoint now = s_start + 10s;
    for (const auto delay : {1s, 2s, 4s, 8s, 16s, 30s, 30s}) {
        schedule.callFailed(now);
        EXPECT_FALSE(schedule.due(now + delay - 1ms, s_otherContent, s_pool));
        now += delay;
        EXPECT_TRUE(isDue<WriteFlows>(schedule, now, s_otherContent));
    }
    schedule.flowsWritten(s_otherContent.contentHash, now);
    schedule.callFailed(now);
    EXPECT_TRUE(isDue<WriteFlows>(schedule, now + 2150ms, s_newContent)) << "the first failure after a success";
}

// Guards against calls to a store that the operator has excluded from this use.
TEST(StoredFlowsScheduleTest, NoCallIsDueIfFlowsAreNotKept)
{
    StoredFlowsSettings settings;
    settings.writeInterval = 0ms;
    const StoredFlowsSchedule schedule(settings, s_start);
    EXPECT_FALSE(schedule.due(s_start + 10s, s_content, s_pool));
}

} // namespace samphireswitch::agent
