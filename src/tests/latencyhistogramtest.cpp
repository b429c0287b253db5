#include "base/latencyhistogram.h"

#include <gtest/gtest.h>

#include <map>

namespace samphireswitch {

// Guards against counts that a monitoring system would read wrongly: each bound counts all shorter durations too, and
// the last one those above every bound.
TEST(LatencyHistogramTest, BoundsCountAllShorterDurations)
{
    using namespace std::chrono_literals;
    LatencyHistogram histogram;
    for (const std::chrono::milliseconds duration : {3ms, 30ms, 40ms, 400ms, 20000ms}) {
        histogram.record(duration);
    }
    std::map<std::string, double> values;
    for (const auto &[name, value] : histogram.series("answer")) {
        values[name] = value;
    }
    EXPECT_EQ(values["answer_seconds_bucket{le=\"0.001\"}"], 0);
    EXPECT_EQ(values["answer_seconds_bucket{le=\"0.005\"}"], 1);
    EXPECT_EQ(values["answer_seconds_bucket{le=\"0.05\"}"], 3);
    EXPECT_EQ(values["answer_seconds_bucket{le=\"0.5\"}"], 4);
    EXPECT_EQ(values["answer_seconds_bucket{le=\"10\"}"], 4);
    EXPECT_EQ(values["answer_seconds_bucket{le=\"+Inf\"}"], 5);
    EXPECT_EQ(values["answer_seconds_count"], 5);
    EXPECT_NEAR(values["answer_seconds_sum"], 20.473, 0.001);
}

} // namespace samphireswitch
