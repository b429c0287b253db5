#include "telemetry/lograte.h"

#include <gtest/gtest.h>

namespace samphireswitch::telemetry {

namespace {

using namespace std::chrono_literals;

} // namespace

// Guards against a volume of logs that grows with the load.
TEST(LogRateTest, LinesOfOneKindAreBounded)
{
    LogRate rate({10, 20});
    const TimePoint now;
    std::uint64_t suppressed = 0;
    int written = 0;
    for (int line = 0; line < 1000; ++line) {
        written += rate.tryAcquire("flow-routed", now, suppressed) ? 1 : 0;
    }
    EXPECT_EQ(written, 20);
    EXPECT_EQ(rate.suppressed(), 980U);
}

// Guards against suppression that nobody learns of, and against one kind that silences the others.
TEST(LogRateTest, NextLineTellsHowManyWereSuppressed)
{
    LogRate rate({10, 1});
    const TimePoint now;
    std::uint64_t suppressed = 0;
    EXPECT_TRUE(rate.tryAcquire("flow-routed", now, suppressed));
    EXPECT_FALSE(rate.tryAcquire("flow-routed", now, suppressed));
    EXPECT_FALSE(rate.tryAcquire("flow-routed", now, suppressed));
    EXPECT_TRUE(rate.tryAcquire("store-lost", now, suppressed));
    EXPECT_EQ(suppressed, 0U);
    EXPECT_TRUE(rate.tryAcquire("flow-routed", now + 1s, suppressed));
    EXPECT_EQ(suppressed, 2U);
}

} // namespace samphireswitch::telemetry
