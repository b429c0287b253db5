#include "passthrough/upstreamregistration.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

UpstreamReport report(std::uint64_t sequence, ReportedState state = ReportedState::Ready)
{
    UpstreamReport result;
    result.id = "i-1";
    result.startedSinceEpoch = 1000ms;
    result.service = "tally";
    result.slots = 3;
    result.state = state;
    result.sequence = sequence;
    return result;
}

} // namespace

// Guards against new flows for an upstream that has not reported yet.
TEST(UpstreamRegistrationTest, IsNotReadyBeforeItsFirstReport)
{
    const UpstreamRegistration registration;
    EXPECT_FALSE(registration.isReady(TimePoint()));
}

// Guards against a delayed report that cancels a drain.
TEST(UpstreamRegistrationTest, LateReportChangesNothing)
{
    const TimePoint now;
    UpstreamRegistration registration;
    EXPECT_EQ(registration.apply(report(1), now), RegistrationOutcome::NewRun);
    EXPECT_EQ(registration.apply(report(3, ReportedState::Draining), now), RegistrationOutcome::Changed);
    EXPECT_EQ(registration.apply(report(2), now), RegistrationOutcome::Late);
    EXPECT_FALSE(registration.isReady(now));
}

// Guards against a report of a crashed run that a network partition has delayed and that replaces the run which has
// started since at the same address.
TEST(UpstreamRegistrationTest, ReportOfAnEarlierRunIsIgnored)
{
    const TimePoint now;
    UpstreamRegistration registration;
    registration.apply(report(50), now);
    UpstreamReport next = report(1);
    next.id = "i-2";
    next.startedSinceEpoch = 2000ms;
    EXPECT_EQ(registration.apply(next, now), RegistrationOutcome::NewRun);
    EXPECT_EQ(registration.apply(report(51, ReportedState::Draining), now), RegistrationOutcome::Superseded);
    EXPECT_EQ(registration.report()->id, "i-2");
    EXPECT_TRUE(registration.isReady(now));
}

// Guards against an upstream that gets no flow for the rest of the agent's life, because the time of day was set back
// before it started again. A delayed report comes alone, or while the current run reports.
TEST(UpstreamRegistrationTest, RunWithAnEarlierStartReplacesASilentRun)
{
    const TimePoint now;
    UpstreamRegistration registration;
    registration.apply(report(50), now);
    UpstreamReport next = report(1);
    next.id = "i-2";
    next.startedSinceEpoch = 500ms;
    EXPECT_EQ(registration.apply(next, now + 2600ms), RegistrationOutcome::Superseded);
    next.sequence = 2;
    EXPECT_EQ(registration.apply(next, now + 3600ms), RegistrationOutcome::Superseded) << "may be a delayed one";
    EXPECT_EQ(registration.apply(next, now + 3700ms), RegistrationOutcome::Superseded) << "the same report again";
    EXPECT_EQ(registration.apply(report(51), now + 3800ms), RegistrationOutcome::Refreshed);
    next.sequence = 3;
    EXPECT_EQ(registration.apply(next, now + 4600ms), RegistrationOutcome::Superseded);
    next.sequence = 4;
    EXPECT_EQ(registration.apply(next, now + 7400ms), RegistrationOutcome::Superseded) << "the first since the silence";
    next.sequence = 5;
    EXPECT_EQ(registration.apply(next, now + 8400ms), RegistrationOutcome::NewRun);
    EXPECT_TRUE(registration.isReady(now + 8400ms));
}

// Guards against ignoring the reports of a restarted upstream with its old id, because its sequence starts at 1 again.
TEST(UpstreamRegistrationTest, NewRunMayKeepItsName)
{
    const TimePoint now;
    UpstreamRegistration registration;
    registration.apply(report(50, ReportedState::Draining), now);
    UpstreamReport next = report(1);
    next.startedSinceEpoch = 2000ms;
    EXPECT_EQ(registration.apply(next, now), RegistrationOutcome::NewRun);
    EXPECT_TRUE(registration.isReady(now));
}

// Guards against a departure that is cancelled by an earlier report, and against applying the departure of another run.
TEST(UpstreamRegistrationTest, DepartureIsFinalForItsRun)
{
    const TimePoint now;
    UpstreamRegistration registration;
    registration.apply(report(1), now);
    EXPECT_EQ(registration.apply(UpstreamDeparture {"i-9", 0ms}, now), RegistrationOutcome::Superseded);
    EXPECT_TRUE(registration.isReady(now));
    EXPECT_EQ(registration.apply(UpstreamDeparture {"i-1", 0ms}, now), RegistrationOutcome::Changed);
    EXPECT_EQ(registration.apply(report(2), now), RegistrationOutcome::Superseded);
    EXPECT_TRUE(registration.hasLeft());
    EXPECT_FALSE(registration.isReady(now));
}

// Guards against new flows for an upstream whose reports are overdue.
TEST(UpstreamRegistrationTest, MissingReportsEndReadiness)
{
    const TimePoint now;
    UpstreamRegistration registration;
    registration.apply(report(1), now);
    EXPECT_TRUE(registration.isReady(now + 3500ms));
    EXPECT_FALSE(registration.isReady(now + 3600ms));
}

} // namespace samphireswitch::passthrough
