#include "passthrough/flowtracker.h"

#include "tests/testsegments.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;
using tests::s_callerSequence;
using tests::s_upstreamSequence;

const flow::FlowKey s_key {{0x64400007, 40001}, {0xc6120001, 443}};

flow::Segment fromCaller(std::uint32_t sequence, std::size_t size)
{
    return tests::callerSegment(s_key, size, sequence - s_callerSequence - 1);
}

flow::Segment firstPacket()
{
    return tests::firstSegment(s_key);
}

flow::Segment fromUpstream(std::size_t size, bool syn = false)
{
    return tests::upstreamSegment(s_key, syn, size);
}

FlowTracker openTracker(TimePoint now)
{
    FlowTracker tracker;
    tracker.open(firstPacket(), now);
    tracker.upstreamSent(fromUpstream(0, true), now);
    tracker.completeHandshake(s_key);
    return tracker;
}

} // namespace

// Guards against an upstream that looks slow because requests wait inside it, so that others get its requests and
// requests are refused that it could answer.
TEST(FlowTrackerTest, SlotTimeIsWithoutTheWaitInsideTheUpstream)
{
    const TimePoint now;
    FlowTracker tracker;
    tracker.setSlots(2);
    for (int round = 0; round < 20; ++round) {
        const TimePoint start = now + round * 1s;
        for (std::uint16_t port = 1; port <= 6; ++port) {
            flow::Segment first = firstPacket();
            first.key.source.port = port;
            tracker.open(first, start);
            tracker.completeHandshake(first.key);
            flow::Segment data = fromCaller(s_callerSequence + 1, 900);
            data.key = first.key;
            tracker.callerSent(data, start);
        }
        // Two at a time, 20 ms each.
        for (std::uint16_t port = 1; port <= 6; ++port) {
            flow::Segment answer = fromUpstream(100);
            answer.key.destination.port = port;
            tracker.upstreamSent(answer, start + (port + 1) / 2 * 20ms);
            tracker.forget(flow::reversed(answer.key));
        }
    }
    EXPECT_NEAR(static_cast<double>(tracker.expectedWait().slotTime().count()), 20e6, 3e6);
}

// Guards against service times that contain the time in which a caller on a slow link sends its request, and against
// resets that are taken for answers.
TEST(FlowTrackerTest, OutcomeCountsFromTheLatestDataOfTheRequest)
{
    const TimePoint now;
    FlowTracker tracker = openTracker(now);
    tracker.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    tracker.callerSent(fromCaller(s_callerSequence + 901, 900), now + 3s);
    EXPECT_EQ(tracker.countWaiting([](const auto &, auto waited) { return waited >= 1s; }, now + 3500ms), 0U);
    tracker.upstreamSent(fromUpstream(100), now + 3020ms);
    ASSERT_EQ(tracker.outcomes().size(), 1U);
    EXPECT_EQ(tracker.outcomes().front().serviceTime, 20ms);
    EXPECT_FALSE(tracker.outcomes().front().wasReset);
    tracker.clearOutcomes();
    tracker.callerSent(fromCaller(s_callerSequence + 1801, 900), now + 4s);
    EXPECT_EQ(tracker.countWaiting([](const auto &, auto waited) { return waited >= 1s; }, now + 5s), 1U);
    flow::Segment reset = fromUpstream(0);
    reset.rst = true;
    tracker.upstreamSent(reset, now + 5s);
    ASSERT_EQ(tracker.outcomes().size(), 1U);
    EXPECT_TRUE(tracker.outcomes().front().wasReset);
}

// Guards against a request that counts as unanswered while its caller's link is slow to send the rest of it.
TEST(FlowTrackerTest, RequestInTransmissionIsNotCountedAsWaiting)
{
    const TimePoint now;
    constexpr std::size_t fullPacket = 1200;
    const auto always = [](const auto &, auto) { return true; };
    FlowTracker tracker({.fullPacketData = fullPacket});
    tracker.open(firstPacket(), now);
    tracker.upstreamSent(fromUpstream(0, true), now);
    tracker.completeHandshake(s_key);
    tracker.callerSent(fromCaller(s_callerSequence + 1, fullPacket), now);
    EXPECT_EQ(tracker.countWaiting(always, now + 5s), 0U);
    tracker.callerSent(fromCaller(s_callerSequence + 1 + fullPacket, 100), now + 5s);
    EXPECT_EQ(tracker.countWaiting(always, now + 5s), 1U);
}

// Guards against resets with a wrong sequence number, which callers ignore or which violate the protocol. The number is
// wrong if the upstream ends before the agent has seen the caller's acknowledgement (soak, seeds 144 and 149).
TEST(FlowTrackerTest, LostFlowHasTheNumberThatTheCallerAcknowledgedLast)
{
    const TimePoint now;
    FlowTracker restarted;
    restarted.upstreamSent(fromUpstream(600), now);
    auto lost = restarted.markLost();
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost.front().callerAcknowledged, s_upstreamSequence + 600);

    FlowTracker open = openTracker(now);
    open.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    open.upstreamSent(fromUpstream(600), now);
    lost = open.markLost();
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost.front().callerAcknowledged, s_upstreamSequence + 1) << "the caller has not acknowledged the answer";
}

// Guards against the reset of a flow that a copy of its first packet has opened at another upstream (soak, seed 149).
TEST(FlowTrackerTest, HalfOpenFlowIsNotReportedAsLost)
{
    const TimePoint now;
    FlowTracker tracker;
    tracker.open(firstPacket(), now);
    tracker.upstreamSent(fromUpstream(0, true), now);
    EXPECT_TRUE(tracker.markLost().empty());
}

// Guards against a count of busy slots that never decreases, after which the agent would reject every new flow.
TEST(FlowTrackerTest, RequestWaitsFromItsDataUntilTheAnswersData)
{
    const TimePoint now;
    FlowTracker tracker = openTracker(now);
    tracker.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    EXPECT_EQ(tracker.requestsWaiting(), 1U);
    tracker.upstreamSent(fromUpstream(0), now);
    EXPECT_EQ(tracker.requestsWaiting(), 1U) << "an acknowledgement without data is no answer";
    tracker.upstreamSent(fromUpstream(600), now);
    EXPECT_EQ(tracker.requestsWaiting(), 0U);
}

// Guards against counting a retransmission that arrives after the answer as a second request.
TEST(FlowTrackerTest, RepeatedDataIsNoNewRequest)
{
    const TimePoint now;
    FlowTracker tracker = openTracker(now);
    tracker.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    tracker.upstreamSent(fromUpstream(600), now);
    tracker.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    EXPECT_EQ(tracker.requestsWaiting(), 0U);
    tracker.callerSent(fromCaller(s_callerSequence + 901, 900), now);
    EXPECT_EQ(tracker.requestsWaiting(), 1U);
}

// Guards against taking new data for a retransmission after the sequence number has wrapped around.
TEST(FlowTrackerTest, RequestIsCountedWhenTheSequenceWraps)
{
    const TimePoint now;
    FlowTracker tracker;
    flow::Segment first = firstPacket();
    first.sequenceNumber = 0xfffffff0;
    tracker.open(first, now);
    tracker.callerSent(fromCaller(0xfffffff1, 900), now);
    EXPECT_EQ(tracker.requestsWaiting(), 1U);
}

// Guards against requests that remain counted after their flow has ended without an answer.
TEST(FlowTrackerTest, RequestEndsWithItsFlow)
{
    const TimePoint now;
    FlowTracker tracker = openTracker(now);
    tracker.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    flow::Segment reset = fromUpstream(0);
    reset.rst = true;
    tracker.upstreamSent(reset, now);
    EXPECT_EQ(tracker.requestsWaiting(), 0U);
    EXPECT_EQ(tracker.find(s_key)->phase, FlowPhase::Closed);

    tracker = openTracker(now);
    tracker.callerSent(fromCaller(s_callerSequence + 1, 900), now);
    tracker.forget(s_key);
    EXPECT_EQ(tracker.requestsWaiting(), 0U);
}

// Guards against a restarted agent that does not learn the flows that its upstream still serves.
TEST(FlowTrackerTest, UpstreamPacketAddsAnUnknownFlow)
{
    const TimePoint now;
    FlowTracker tracker;
    tracker.upstreamSent(fromUpstream(600), now);
    ASSERT_NE(tracker.find(s_key), nullptr);
    EXPECT_EQ(tracker.find(s_key)->phase, FlowPhase::Open);
}

// Guards against a table that grows without limit, and against the removal of an open flow that is only idle.
TEST(FlowTrackerTest, FlowsAreForgottenByPhase)
{
    const TimePoint start;
    FlowTracker tracker = openTracker(start);
    flow::Segment other = firstPacket();
    other.key.source.port = 40002;
    tracker.open(other, start);
    tracker.expire(start + 10s);
    EXPECT_EQ(tracker.find(other.key), nullptr) << "a half-open flow is kept after its caller has given up";
    EXPECT_NE(tracker.find(s_key), nullptr);
    tracker.expire(start + 76s);
    EXPECT_EQ(tracker.size(), 0U);
}

// Guards against accepting many flows for the same free slot while their handshakes are under way.
TEST(FlowTrackerTest, RecentHandshakesCountAsBusy)
{
    const TimePoint start;
    FlowTracker tracker;
    tracker.open(firstPacket(), start);
    EXPECT_EQ(tracker.busy(start + 10ms), 1U);
    EXPECT_EQ(tracker.busy(start + 100ms), 0U);
}

// Guards against an upstream that is idle while the agent refuses new flows, because uploads that are still being sent
// occupy all slots: callers whose links are slow or lose packets send an upload for much longer than the work on it
// takes.
TEST(FlowTrackerTest, RequestInTransmissionOccupiesNoSlot)
{
    constexpr std::size_t fullPacket = 1200;
    constexpr std::size_t lastPacket = 100;
    const TimePoint start;
    const TimePoint later = start + 1s;
    FlowTracker tracker({.fullPacketData = fullPacket});
    tracker.open(firstPacket(), start);
    tracker.upstreamSent(fromUpstream(0, true), start);
    tracker.completeHandshake(s_key);
    tracker.callerSent(fromCaller(s_callerSequence + 1, fullPacket), later);
    EXPECT_EQ(tracker.busy(later), 0U);
    EXPECT_EQ(tracker.requestsWaiting(), 1U) << "a planned stop has to wait for the answer";
    tracker.callerSent(fromCaller(s_callerSequence + 1 + fullPacket, lastPacket), later);
    EXPECT_EQ(tracker.busy(later), 1U);
    tracker.callerSent(fromCaller(s_callerSequence + 1, fullPacket), later);
    EXPECT_EQ(tracker.busy(later), 1U) << "a repeated packet does not reopen the request";
    tracker.upstreamSent(fromUpstream(300), later);
    EXPECT_EQ(tracker.busy(later), 0U);
    EXPECT_EQ(tracker.requestsWaiting(), 0U);
}

// Guards against a request that never counts as complete because its last packet is full as well.
TEST(FlowTrackerTest, RequestWithAFullLastPacketIsCompleteAfterSomeTime)
{
    constexpr std::size_t fullPacket = 1200;
    const TimePoint start;
    FlowTracker tracker({.fullPacketData = fullPacket});
    tracker.open(firstPacket(), start);
    tracker.upstreamSent(fromUpstream(0, true), start);
    tracker.completeHandshake(s_key);
    tracker.callerSent(fromCaller(s_callerSequence + 1, fullPacket), start + 1s);
    tracker.expire(start + 2s);
    EXPECT_EQ(tracker.busy(start + 2s), 0U) << "the caller may repeat a lost packet";
    tracker.expire(start + 4s);
    EXPECT_EQ(tracker.busy(start + 4s), 1U);
}

// Guards against any number of uploads at an upstream that gets them all complete at the same moment.
TEST(FlowTrackerTest, ManyRequestsInTransmissionOccupySlots)
{
    constexpr std::size_t fullPacket = 1200;
    constexpr std::uint16_t requests = 16;
    const TimePoint start;
    FlowTracker tracker({.fullPacketData = fullPacket});
    for (std::uint16_t port = 1; port <= requests; ++port) {
        flow::Segment first = firstPacket();
        first.key.source.port = port;
        tracker.open(first, start);
        tracker.completeHandshake(first.key);
        flow::Segment data = fromCaller(s_callerSequence + 1, fullPacket);
        data.key = first.key;
        tracker.callerSent(data, start + 1s);
    }
    EXPECT_EQ(tracker.busy(start + 1s), 2U);
}

} // namespace samphireswitch::passthrough
