#include "soak/processorallotment.h"

#include <gtest/gtest.h>

namespace samphireswitch::soak {

namespace {

using std::chrono::milliseconds;

TimePoint at(milliseconds time)
{
    return TimePoint(std::chrono::hours(1)) + time;
}

} // namespace

// Guards against a process that runs on after its allotment, and against one that gets less than its share.
TEST(ProcessorAllotmentTest, ProcessStandsStillForTheRestOfThePeriod)
{
    ProcessorAllotment allotment(0.25, at(milliseconds(0)));
    EXPECT_TRUE(allotment.mayRun(milliseconds(24), at(milliseconds(24))));
    EXPECT_FALSE(allotment.mayRun(milliseconds(25), at(milliseconds(25))));
    EXPECT_FALSE(allotment.mayRun(milliseconds(25), at(milliseconds(99))));
    EXPECT_TRUE(allotment.mayRun(milliseconds(25), at(milliseconds(100))));
    EXPECT_TRUE(allotment.mayRun(milliseconds(49), at(milliseconds(199))));
    EXPECT_FALSE(allotment.mayRun(milliseconds(50), at(milliseconds(199))));
}

// Guards against time that a process did not use and that it may save, and against periods that drift when they are
// looked at late.
TEST(ProcessorAllotmentTest, UnusedTimeIsLostAndPeriodsStayInStep)
{
    ProcessorAllotment allotment(0.5, at(milliseconds(0)));
    EXPECT_TRUE(allotment.mayRun(milliseconds(0), at(milliseconds(450))));
    EXPECT_FALSE(allotment.mayRun(milliseconds(50), at(milliseconds(499))));
    EXPECT_TRUE(allotment.mayRun(milliseconds(50), at(milliseconds(500))));
}

} // namespace samphireswitch::soak
