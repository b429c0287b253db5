#include "balancer/utilizationmeter.h"

#include <gtest/gtest.h>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t s_linkRate = 10'000;
constexpr TimePoint s_start = TimePoint() + 1h;
constexpr auto s_step = 10ms;

/** Sends @p datagrams of 1,222 bytes in each step of 10 ms for @p duration, and waits for @p idle of each step. */
void run(UtilizationMeter &meter,
         TimePoint start,
         std::chrono::milliseconds duration,
         std::uint64_t datagrams,
         std::chrono::microseconds idle)
{
    constexpr std::uint64_t payload = 1222;
    std::uint64_t sent = 0;
    for (TimePoint now = start; now < start + duration; now += s_step) {
        meter.sent(sent, sent * payload, now);
        sent += datagrams;
        meter.waited(idle);
    }
}

} // namespace

// Guards against a link that counts as idle because the headers of its datagrams are left out, or by wrong units.
TEST(UtilizationMeterTest, CountsTheHeadersOfADatagram)
{
    UtilizationMeter meter(s_linkRate);
    // 5 datagrams of 1,250 bytes on the link in 10 ms are 5 Mbit/s.
    run(meter, s_start, 4s, 5, 10ms);
    EXPECT_NEAR(meter.utilization().link, 0.5, 0.01);
    EXPECT_NEAR(meter.utilization().busy, 0, 0.01);
    EXPECT_EQ(meter.utilization().highest(), meter.utilization().link);
}

// Guards against a processor at its limit that is not seen, because the system shows no processor time.
TEST(UtilizationMeterTest, TimeWithoutWaitsIsBusy)
{
    UtilizationMeter meter(0);
    run(meter, s_start, 4s, 5, 1ms);
    EXPECT_EQ(meter.utilization().link, 0);
    EXPECT_NEAR(meter.utilization().busy, 0.9, 0.01);
    EXPECT_EQ(toPermille(0.9004), 900U);
}

// Guards against a busy balancer where waits are not measured, and against a limit that outlasts its load.
TEST(UtilizationMeterTest, ForgetsALoadThatHasEnded)
{
    UtilizationMeter unmeasured(s_linkRate);
    unmeasured.sent(0, 0, s_start);
    unmeasured.sent(0, 0, s_start + 1s);
    EXPECT_EQ(unmeasured.utilization().busy, 0);
    UtilizationMeter meter(s_linkRate);
    run(meter, s_start, 4s, 10, 1ms);
    EXPECT_GT(meter.utilization().highest(), 0.85);
    // The first call after a pause shows what was sent meanwhile as a rate over the whole pause.
    meter.waited(2s);
    meter.sent(4000, 4'888'000, s_start + 6s);
    EXPECT_LT(meter.utilization().highest(), 0.05);
}

} // namespace samphireswitch::balancer
