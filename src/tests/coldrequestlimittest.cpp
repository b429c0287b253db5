#include "passthrough/coldrequestlimit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;

UpstreamTerms terms(double perSecond, std::chrono::milliseconds slowStart = 2s, bool isEvacuated = false)
{
    return {isEvacuated, perSecond, slowStart};
}

/** Hands over a first packet every millisecond for which @p limit allows it, and returns the times. */
std::vector<TimePoint> deliverAll(ColdRequestLimit &limit, std::chrono::milliseconds duration)
{
    std::vector<TimePoint> delivered;
    for (TimePoint now = s_start; now < s_start + duration; now += 1ms) {
        if (!limit.allows(now)) {
            continue;
        }
        limit.delivered(now);
        delivered.push_back(now);
    }
    return delivered;
}

/** The largest number of @p times in any span of @p window. */
std::ptrdiff_t mostWithin(const std::vector<TimePoint> &times, std::chrono::nanoseconds window)
{
    std::ptrdiff_t most = 0;
    for (auto begin = times.begin(); begin != times.end(); ++begin) {
        const auto end = std::lower_bound(begin, times.end(), *begin + window);
        most = std::max(most, end - begin);
    }
    return most;
}

} // namespace

// Guards against an upstream that is flooded when it starts under full load: more first packets arrive than it may get.
TEST(ColdRequestLimitTest, NoSecondHasMoreThanTheLimitUnderFullLoad)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(6), s_start);
    limit.runBegan(s_start);
    const auto delivered = deliverAll(limit, 2s);
    EXPECT_EQ(mostWithin(delivered, 1s), 6);
    EXPECT_EQ(delivered.size(), 12U) << "the limit is used in full";
}

// Guards against a limit that bounds each second of the clock, so that a span across two of them has twice as many.
TEST(ColdRequestLimitTest, SpansOfASecondSlide)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(2, 10s), s_start);
    limit.runBegan(s_start);
    limit.delivered(s_start + 900ms);
    limit.delivered(s_start + 950ms);
    EXPECT_FALSE(limit.allows(s_start + 1100ms));
    EXPECT_FALSE(limit.allows(s_start + 1899ms));
    EXPECT_TRUE(limit.allows(s_start + 1900ms));
}

// Guards against a rate below one that is rounded to none, which would starve the upstream, or to one.
TEST(ColdRequestLimitTest, RateBelowOneAllowsAPacketInALongerTime)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(0.5, 10s), s_start);
    limit.runBegan(s_start);
    EXPECT_EQ(deliverAll(limit, 10s).size(), 5U);
}

// Guards against waits that are too short, so that the packets are held in vain, or too long, so that they are refused.
TEST(ColdRequestLimitTest, WaitCountsThePacketsAhead)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(2, 10s), s_start);
    limit.runBegan(s_start);
    limit.delivered(s_start);
    limit.delivered(s_start + 300ms);
    const TimePoint now = s_start + 400ms;
    EXPECT_EQ(limit.timeUntilAllowed(0, now), 600ms);
    EXPECT_EQ(limit.timeUntilAllowed(1, now), 900ms);
    EXPECT_EQ(limit.timeUntilAllowed(2, now), 1600ms);
    EXPECT_EQ(limit.timeUntilAllowed(40, now), 9600ms) << "no longer than the upstream is cold";
}

// Guards against a limit for upstreams of a configuration that asks for none.
TEST(ColdRequestLimitTest, NoLimitWithoutARate)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(0), s_start);
    limit.runBegan(s_start);
    limit.reported(5s, s_start);
    EXPECT_EQ(deliverAll(limit, 100ms).size(), 100U);
}

// Guards against a flood of upstreams whose slow start the report tells later than the configuration, or the reverse.
TEST(ColdRequestLimitTest, TheLaterEndOfReportAndConfigurationCounts)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(5, 2s), s_start);
    limit.runBegan(s_start);
    limit.reported(0ms, s_start);
    EXPECT_TRUE(limit.isLimiting(s_start + 1999ms));
    EXPECT_FALSE(limit.isLimiting(s_start + 2s));
    limit.reported(3s, s_start + 1s);
    EXPECT_TRUE(limit.isLimiting(s_start + 3999ms));
    EXPECT_FALSE(limit.isLimiting(s_start + 4s));
}

// Guards against the whole load of a failure domain on its upstreams at the end of an evacuation, in which they may
// have become cold, and against a limit for those that report that they have not.
TEST(ColdRequestLimitTest, UpstreamCountsAsColdAfterAnEvacuationUntilItReports)
{
    ColdRequestLimit limit;
    limit.setTerms(terms(3, 2s, true), s_start);
    EXPECT_FALSE(limit.isLimiting(s_start));
    limit.setTerms(terms(3, 2s), s_start);
    EXPECT_EQ(mostWithin(deliverAll(limit, 1s), 1s), 3);
    limit.reported(0ms, s_start + 1s);
    EXPECT_FALSE(limit.isLimiting(s_start + 1s));
}

} // namespace samphireswitch::passthrough
