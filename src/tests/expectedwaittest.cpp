#include "passthrough/expectedwait.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

ExpectedWait answeredWith(std::chrono::nanoseconds slotTime, int answers)
{
    ExpectedWait wait;
    for (int answer = 0; answer < answers; ++answer) {
        wait.answered(slotTime);
    }
    return wait;
}

} // namespace

// Guards against requests that are refused because of a guess.
TEST(ExpectedWaitTest, UnknownUntilSomeRequestsWereAnswered)
{
    const ExpectedWait wait = answeredWith(100ms, 5);
    EXPECT_FALSE(wait.isKnown());
    EXPECT_EQ(wait.behind(40, 4), 0ns);
}

// Guards against a slow upstream that looks as good as a fast one with as many requests.
TEST(ExpectedWaitTest, SlowUpstreamHasTheLongerWait)
{
    const ExpectedWait fast = answeredWith(62ms, 100);
    const ExpectedWait slow = answeredWith(166ms, 100);
    EXPECT_GT(slow.behind(0, 4), fast.behind(3, 4) / 2);
    EXPECT_NEAR(static_cast<double>(slow.behind(3, 4).count()), 166e6, 1e6);
    EXPECT_NEAR(static_cast<double>(fast.behind(3, 4).count()), 62e6, 1e6);
}

// Guards against agents that cannot be compared: an agent without an estimate, or one that passes on its share of busy
// slots in thousandths, and one that estimates waits.
TEST(ExpectedWaitTest, ComparableFigureIsTheLoadAtATypicalSlotTime)
{
    EXPECT_EQ(ExpectedWait().comparable(1250, 0, 4), 1250U);
    EXPECT_EQ(ExpectedWait().comparable(1250, 3, 4), 2000U);
    EXPECT_NEAR(answeredWith(100ms, 100).comparable(1250, 0, 4), 1250, 1);
    EXPECT_EQ(answeredWith(0ms, 100).comparable(1000, 0, 4), 1U) << "0 means that no agent was busy";
}

// Guards against agents that restart together and get nothing while those that answered a few requests more look far
// faster.
TEST(ExpectedWaitTest, IsComparedByItsFirstAnswers)
{
    EXPECT_EQ(answeredWith(20ms, 3).comparable(1000, 0, 2), 1000U);
    EXPECT_NEAR(answeredWith(20ms, 4).comparable(1000, 0, 2), 200, 1);
    EXPECT_FALSE(answeredWith(20ms, 4).isKnown());
}

// Guards against an estimate that never follows an upstream that has become slower or faster.
TEST(ExpectedWaitTest, FollowsAChangeOfSpeed)
{
    ExpectedWait wait = answeredWith(60ms, 500);
    for (int answer = 0; answer < 300; ++answer) {
        wait.answered(120ms);
    }
    EXPECT_NEAR(static_cast<double>(wait.slotTime().count()), 120e6, 5e6);
    for (int answer = 0; answer < 300; ++answer) {
        wait.answered(60ms);
    }
    EXPECT_NEAR(static_cast<double>(wait.slotTime().count()), 60e6, 5e6);
}

// Guards against refusals and a change of choice because of one request that hung.
TEST(ExpectedWaitTest, OneLongAnswerHardlyCounts)
{
    ExpectedWait wait = answeredWith(50ms, 100);
    wait.answered(1h);
    EXPECT_LT(wait.slotTime(), 60ms);
}

// Guards against an upstream that answers only with errors, at once, and attracts all requests.
TEST(ExpectedWaitTest, SuddenlyFastAnswersAreNotTakenForSpeed)
{
    ExpectedWait wait = answeredWith(100ms, 500);
    for (int answer = 0; answer < 100; ++answer) {
        wait.answered(1ms);
    }
    EXPECT_GT(wait.slotTime(), 50ms);
}

} // namespace samphireswitch::passthrough
