#include "balancer/forwardingload.h"

#include <gtest/gtest.h>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;

} // namespace

// Guards against a load that is shown per interval instead of per second, or in bytes instead of bits.
TEST(ForwardingLoadTest, ShowsRatesOfAnInterval)
{
    ForwardingLoadMeter meter(2s);
    const TimePoint start = TimePoint() + 1h;
    EXPECT_TRUE(meter.isDue(start));
    EXPECT_FALSE(meter.observe({100, 1000, 2000, 10, 1, 2, 5ms}, start));
    EXPECT_FALSE(meter.isDue(start + 1999ms));
    EXPECT_TRUE(meter.isDue(start + 2000ms));
    EXPECT_FALSE(meter.observe({400, 9000, 9000, 90, 1, 2, 9ms}, start + 1999ms));
    const auto load = meter.observe({4100, 1'001'000, 2'002'000, 510, 4, 3, 105ms}, start + 2000ms);
    ASSERT_TRUE(load);
    EXPECT_EQ(load->interval, 2000ms);
    EXPECT_EQ(load->packetsPerSecond, 2000U);
    EXPECT_EQ(load->kilobitsInPerSecond, 4000U);
    EXPECT_EQ(load->kilobitsOutPerSecond, 8000U);
    EXPECT_EQ(load->batchesPerSecond, 250U);
    EXPECT_EQ(load->overflows, 3U);
    EXPECT_EQ(load->sendErrors, 1U);
    EXPECT_EQ(load->processorPermille, 50U);
}

// Guards against rates that are too high after the process stood still and the interval became longer.
TEST(ForwardingLoadTest, UsesTheTimeThatPassed)
{
    ForwardingLoadMeter meter(1s);
    const TimePoint start = TimePoint() + 1h;
    EXPECT_FALSE(meter.observe({}, start));
    const auto load = meter.observe({8000, 0, 0, 0, 0, 0, 0ms}, start + 4s);
    ASSERT_TRUE(load);
    EXPECT_EQ(load->packetsPerSecond, 2000U);
}

} // namespace samphireswitch::balancer
