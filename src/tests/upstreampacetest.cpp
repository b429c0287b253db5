#include "passthrough/upstreampace.h"

#include <gtest/gtest.h>

#include <random>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t s_slots = 8;
constexpr auto s_noTarget = 0ms;
constexpr auto s_usualTime = 20ms;

class UpstreamPaceTest : public testing::Test
{
protected:
    void answer(std::chrono::milliseconds serviceTime, int count = 1, std::chrono::milliseconds target = s_noTarget)
    {
        for (int index = 0; index < count; ++index) {
            pace.answered(serviceTime, target, s_slots);
        }
    }

    std::size_t limitOrSlots() const
    {
        return pace.limit().value_or(s_slots);
    }

    UpstreamPace pace {{.isEnabled = true}};
};

} // namespace

// Guards against other decisions than without a pace for upstreams that were never cold and never failed.
TEST_F(UpstreamPaceTest, UpstreamWithoutProblemsHasNoLimit)
{
    EXPECT_FALSE(pace.limit());
    answer(s_usualTime, 1000);
    EXPECT_FALSE(pace.limit());
}

// Guards against a limit where the settings ask for none.
TEST_F(UpstreamPaceTest, DisabledPaceHasNoLimit)
{
    UpstreamPace disabled;
    disabled.restart(PaceChange::Started);
    for (int index = 0; index < 100; ++index) {
        disabled.failed(PaceChange::Reset);
    }
    EXPECT_FALSE(disabled.limit());
}

// The load: an upstream of many starts while all slots are wanted. Guards against filling it at once, and against a
// slow ramp that leaves it idle although it answers well.
TEST_F(UpstreamPaceTest, StartsLowAndDoublesWithEachRoundOfAnswers)
{
    pace.restart(PaceChange::Started);
    EXPECT_EQ(pace.limit(), 2U);
    answer(s_usualTime, 2);
    EXPECT_EQ(pace.limit(), 4U);
    answer(s_usualTime, 4);
    EXPECT_EQ(pace.limit(), 8U);
    answer(s_usualTime, 1);
    EXPECT_FALSE(pace.limit()) << "all slots may be used";
    EXPECT_EQ(pace.latestChange(), PaceChange::Regained);
}

// The load: an upstream crashes and returns while others are full. Guards against the limit of before the crash.
TEST_F(UpstreamPaceTest, ReturnAfterACrashStartsLow)
{
    answer(s_usualTime, 100);
    pace.restart(PaceChange::Recovered);
    EXPECT_EQ(pace.limit(), 2U);
}

// The load: an upstream that goes down and up by turns. Guards against a restart that raises a limit.
TEST_F(UpstreamPaceTest, FlappingUpstreamDoesNotGainByItsRestarts)
{
    for (int turn = 0; turn < 20; ++turn) {
        pace.restart(PaceChange::Recovered);
        EXPECT_LE(limitOrSlots(), 2U);
        answer(s_usualTime);
        pace.failed(PaceChange::Reset);
        pace.failed(PaceChange::MissingAnswer);
        EXPECT_EQ(pace.limit(), 1U);
    }
}

// The load: an upstream that is slower than the others from the start. Guards against its ejection: it answers as
// usual.
TEST_F(UpstreamPaceTest, UpstreamThatIsAlwaysSlowHasNoLimit)
{
    answer(3 * s_usualTime, 500, 400ms);
    EXPECT_FALSE(pace.limit());
}

// The load: an upstream becomes much slower under all its requests. Guards against answers that all come late.
TEST_F(UpstreamPaceTest, LateAnswersCutTheLimit)
{
    answer(s_usualTime, 100, 400ms);
    answer(800ms, 20, 400ms);
    EXPECT_EQ(pace.limit(), 1U);
    EXPECT_EQ(pace.latestChange(), PaceChange::LateAnswer);
    answer(s_usualTime, 200, 400ms);
    EXPECT_FALSE(pace.limit());
}

// The load: an upstream leaves nearly half of its requests without an answer while its health is good. Guards against
// its full share of the requests; the mean limit over a long time stays a small part of the slots.
TEST_F(UpstreamPaceTest, UpstreamThatMutesRequestsKeepsALowLimit)
{
    std::minstd_rand random(7);
    std::bernoulli_distribution isMute(0.45);
    answer(s_usualTime, 100);
    std::size_t sum = 0;
    constexpr int count = 2000;
    for (int index = 0; index < count; ++index) {
        if (isMute(random)) {
            pace.failed(PaceChange::MissingAnswer);
        } else {
            answer(s_usualTime);
        }
        sum += limitOrSlots();
    }
    EXPECT_LE(static_cast<double>(sum) / count, s_slots / 3.0);
}

// The load: a few requests run many times longer than the rest. Guards against an ejection because of them.
TEST_F(UpstreamPaceTest, FewLongRequestsDoNotLimitTheUpstream)
{
    for (int round = 0; round < 100; ++round) {
        answer(s_usualTime, 49);
        answer(50 * s_usualTime);
        EXPECT_FALSE(pace.limit());
    }
}

// Guards against an upstream that is starved for good: after any failures it gets one request, and recovers by answers.
TEST_F(UpstreamPaceTest, LimitIsNeverBelowOneAndRecovers)
{
    for (int index = 0; index < 1000; ++index) {
        pace.failed(PaceChange::MissingAnswer);
    }
    EXPECT_EQ(pace.limit(), 1U);
    int answers = 0;
    while (pace.limit()) {
        answer(s_usualTime);
        ASSERT_LT(++answers, 100);
    }
}

// Guards against a target that is counted as missed although the answer came within it, however much longer than usual.
TEST_F(UpstreamPaceTest, AnswerWithinItsTargetIsInTime)
{
    answer(5ms, 100, 400ms);
    answer(300ms, 100, 400ms);
    EXPECT_FALSE(pace.limit());
    EXPECT_FALSE(pace.isMissing(300ms, 400ms));
}

} // namespace samphireswitch::passthrough
