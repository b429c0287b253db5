#include "passthrough/newflowadmission.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
const Endpoint s_balancer {0x0a01000a, 7720};
const protocol::Candidate s_self {AgentId {1}, {0x0a010017, 8172}};
constexpr std::uint16_t s_slots = 2;
constexpr std::uint16_t s_urgentPort = 443;
constexpr std::uint16_t s_ordinaryPort = 444;

flow::Segment firstPacket(std::uint16_t caller, std::uint16_t service)
{
    flow::Segment segment;
    segment.key = {{0x64400007, caller}, {0xc6120001, service}};
    segment.sequenceNumber = 1000;
    segment.syn = true;
    return segment;
}

/** An agent whose upstream has all slots in use, with two services of different priority. */
class NewFlowAdmissionTest : public testing::Test
{
protected:
    NewFlowAdmissionTest()
    {
        UpstreamReport report;
        report.id = "i-1";
        report.service = "tally";
        report.slots = s_slots;
        report.sequence = 1;
        m_upstream.registration.apply(report, s_start);
    }

    void setTerms(const RequestTerms &urgent, const RequestTerms &ordinary)
    {
        m_admission.setServed(
            {5, {{{0xc6120001, s_urgentPort}, urgent}, {{0xc6120001, s_ordinaryPort}, ordinary}}, {}});
    }

    /** The upstream answers @p count requests after @p slotTime each. */
    void answerRequests(std::chrono::milliseconds slotTime, int count)
    {
        for (int number = 0; number < count; ++number) {
            const flow::Segment first = firstPacket(50000, s_urgentPort);
            m_upstream.tracker.open(first, s_start);
            m_upstream.tracker.completeHandshake(first.key);
            m_upstream.tracker.callerSent(dataOf(first), s_start);
            m_upstream.tracker.upstreamSent(answerOf(first), s_start + slotTime);
            m_upstream.tracker.forget(first.key);
        }
    }

    void occupyAllSlots()
    {
        for (std::uint16_t number = 0; number < s_slots + 2; ++number) {
            const flow::Segment first = firstPacket(60000 + number, s_urgentPort);
            m_upstream.tracker.open(first, s_start);
            m_upstream.tracker.completeHandshake(first.key);
            m_upstream.tracker.callerSent(dataOf(first), s_start);
        }
    }

    Decision arrive(std::uint16_t caller, std::uint16_t service)
    {
        protocol::EnvelopeHeader header;
        header.service = ServiceId::fromName("tally");
        header.generation = 5;
        header.origin = s_balancer;
        header.chain.push_back(s_self);
        return m_admission.decide(header, firstPacket(caller, service), m_upstream, s_start);
    }

    /** The figure that a busy agent passes on with a first packet, after answers that took @p slotTime. */
    std::uint32_t figureAfter(std::chrono::milliseconds slotTime, BusyComparison comparison)
    {
        m_upstream.tracker = FlowTracker();
        m_admission = NewFlowAdmission(s_self, {}, {}, comparison);
        answerRequests(slotTime, 100);
        occupyAllSlots();
        return figureFor(1);
    }

    /** As above, by Wait, for a cold upstream that has got the only request that its limit allows. */
    std::uint32_t coldFigureAfter(std::chrono::milliseconds slotTime)
    {
        m_upstream.tracker = FlowTracker();
        m_admission = NewFlowAdmission(s_self, {}, {}, BusyComparison::Wait);
        m_admission.setServed({5, {{{0xc6120001, s_urgentPort}, {}}}, {false, 1, 10s}});
        answerRequests(slotTime, 100);
        EXPECT_EQ(arrive(1, s_urgentPort).cause, Cause::Accepted);
        return figureFor(2);
    }

    /** The figure that is passed on with the first packet of @p caller; 0 if the packet is not passed on. */
    std::uint32_t figureFor(std::uint16_t caller)
    {
        protocol::EnvelopeHeader header;
        header.service = ServiceId::fromName("tally");
        header.generation = 5;
        header.chain = {s_self, {AgentId {2}, {0x0a010018, 8172}}};
        const Decision decision = m_admission.decide(header, firstPacket(caller, s_urgentPort), m_upstream, s_start);
        const auto *pass = std::get_if<PassToAgent>(&decision.action);
        return pass == nullptr ? 0 : pass->header.leastFeeds;
    }

    static flow::Segment dataOf(const flow::Segment &first)
    {
        flow::Segment data = first;
        data.syn = false;
        data.ack = true;
        ++data.sequenceNumber;
        data.acknowledgementNumber = 5001;
        data.payloadSize = 100;
        return data;
    }

    static flow::Segment answerOf(const flow::Segment &first)
    {
        flow::Segment answer;
        answer.key = flow::reversed(first.key);
        answer.sequenceNumber = 5001;
        answer.acknowledgementNumber = first.sequenceNumber + 101;
        answer.ack = true;
        answer.payloadSize = 600;
        return answer;
    }

    UpstreamState m_upstream {{}, {}};
    NewFlowAdmission m_admission {s_self, {}};
};

} // namespace

// Guards against a request that is held although it cannot be answered before its deadline, so that its caller waits
// for nothing instead of trying again.
TEST_F(NewFlowAdmissionTest, RequestThatWouldMissItsDeadlineIsRefusedAtOnce)
{
    setTerms({200ms, 400ms, 0}, {200ms, 2000ms, 0});
    answerRequests(300ms, 100);
    occupyAllSlots();
    // A slot every 150 ms, and 300 ms for the request itself.
    const Decision refused = arrive(1, s_urgentPort);
    EXPECT_EQ(refused.cause, Cause::WouldBeLate);
    const auto *refusal = std::get_if<RefuseFirstPacket>(&refused.action);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->to, s_balancer);
    EXPECT_EQ(m_admission.held().size(), 0U);
    EXPECT_EQ(arrive(2, s_ordinaryPort).cause, Cause::Held);
}

// Guards against a queue that grows with requests none of which can be answered before its deadline.
TEST_F(NewFlowAdmissionTest, QueueIsAsShortAsTheDeadlineAsks)
{
    // The newest of those on time is served first. Without a latency target nobody is late, so the priority decides.
    setTerms({0ms, 0ms, 0}, {0ms, 500ms, 1});
    answerRequests(100ms, 100);
    occupyAllSlots();
    for (std::uint16_t caller = 1; caller <= 7; ++caller) {
        EXPECT_EQ(arrive(caller, s_urgentPort).cause, Cause::Held);
    }
    EXPECT_EQ(arrive(100, s_ordinaryPort).cause, Cause::WouldBeLate) << "8 turns of 50 ms, and 100 ms";
    m_admission.releaseHeld(m_upstream, s_start);
    EXPECT_EQ(m_admission.held().size(), 7U) << "no slot is free";
}

// Guards against refusals where the configuration has no deadline, or before the upstream's speed is known.
TEST_F(NewFlowAdmissionTest, WithoutADeadlineOrAnEstimateRequestsAreHeld)
{
    setTerms({200ms, 0ms, 0}, {200ms, 400ms, 0});
    occupyAllSlots();
    EXPECT_EQ(arrive(1, s_ordinaryPort).cause, Cause::Held);
    answerRequests(10s, 100);
    EXPECT_EQ(arrive(2, s_urgentPort).cause, Cause::Held);
}

// Guards against a caller that waits without an answer after its packet gave way to a higher priority.
TEST_F(NewFlowAdmissionTest, DisplacedRequestIsRefused)
{
    setTerms({200ms, 0ms, 0}, {200ms, 0ms, 1});
    occupyAllSlots();
    std::uint16_t caller = 1;
    for (; caller <= HeldFirstPackets::s_capacity; ++caller) {
        EXPECT_FALSE(arrive(caller, s_ordinaryPort).displaced);
    }
    const Decision urgent = arrive(caller++, s_urgentPort);
    EXPECT_EQ(urgent.cause, Cause::Held);
    ASSERT_TRUE(urgent.displaced);
    EXPECT_EQ(urgent.displaced->to, s_balancer);
    EXPECT_EQ(urgent.displaced->message.flow, firstPacket(1, s_ordinaryPort).key);
    EXPECT_FALSE(m_admission.held().contains(firstPacket(1, s_ordinaryPort).key));
    EXPECT_EQ(m_admission.held().displaced(), 1U);
}

// Guards against a change where all requests have the same priority: the packet that leaves a full queue is dropped
// without a refusal, since its caller's next copy comes soon.
TEST_F(NewFlowAdmissionTest, FullQueueOfOnePriorityRefusesNobody)
{
    setTerms({200ms, 0ms, 3}, {200ms, 0ms, 3});
    occupyAllSlots();
    for (std::uint16_t caller = 1; caller <= HeldFirstPackets::s_capacity + 20; ++caller) {
        const Decision decision = arrive(caller, caller % 2 == 0 ? s_urgentPort : s_ordinaryPort);
        EXPECT_EQ(decision.cause, Cause::Held);
        EXPECT_FALSE(decision.displaced);
    }
    EXPECT_EQ(m_admission.held().displaced(), 0U);
}

// Guards against a slow upstream that gets as many requests as a fast one while all are busy.
TEST_F(NewFlowAdmissionTest, ByWaitASlowBusyUpstreamHasTheHigherFigure)
{
    const std::uint32_t fast = figureAfter(62ms, BusyComparison::Wait);
    const std::uint32_t slow = figureAfter(166ms, BusyComparison::Wait);
    EXPECT_NEAR(static_cast<double>(slow) / fast, 166.0 / 62.0, 0.1);
}

// Guards against a choice that changes without a setting that asks for it.
TEST_F(NewFlowAdmissionTest, ByLoadTheSpeedDoesNotCount)
{
    EXPECT_EQ(figureAfter(62ms, BusyComparison::Load), 2000U);
    EXPECT_EQ(figureAfter(166ms, BusyComparison::Load), 2000U);
}

// Guards against callers that are refused by a cold upstream at its limit, or wait for it, because its answers are
// fast, while a slow upstream would serve them.
TEST_F(NewFlowAdmissionTest, ByWaitAColdUpstreamAtItsLimitIsTheLastChoice)
{
    const std::uint32_t slow = figureAfter(9s, BusyComparison::Wait);
    const std::uint32_t cold = coldFigureAfter(5ms);
    EXPECT_GT(cold, slow);
    EXPECT_GT(coldFigureAfter(200ms), cold) << "among cold ones the wait decides";
}

} // namespace samphireswitch::passthrough
