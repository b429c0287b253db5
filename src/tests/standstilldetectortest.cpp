#include "base/standstilldetector.h"

#include <gtest/gtest.h>

namespace samphireswitch {

namespace {

using namespace std::chrono_literals;

} // namespace

// Guards against a process that acts on old knowledge after a pause, and against one that takes its start or a short
// delay for a pause.
TEST(StandstillDetectorTest, NoticesOnlyALongInterval)
{
    StandstillDetector detector(500ms);
    const TimePoint start = TimePoint() + 1h;
    EXPECT_FALSE(detector.observe(start));
    EXPECT_FALSE(detector.observe(start + 500ms));
    EXPECT_TRUE(detector.observe(start + 1001ms));
    EXPECT_FALSE(detector.observe(start + 1100ms));
}

} // namespace samphireswitch
