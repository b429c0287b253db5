#include "passthrough/newflowadmission.h"

#include "tests/testsegments.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
const ServiceId s_pool = ServiceId::fromName("tally");
const Endpoint s_destination {0xc6120001, 443};
constexpr std::uint32_t s_slots = 3;
constexpr auto s_latencyTarget = 400ms;
// Time after which a caller resets a flow whose request has no answer.
constexpr auto s_callerPatience = 2s;

flow::Segment firstPacket(std::uint16_t port, std::uint32_t copy = 0)
{
    return tests::firstSegment({{0x64400007, port}, s_destination}, copy);
}

flow::Segment requestData(const flow::FlowKey &key, std::uint32_t offset = 0)
{
    return tests::callerSegment(key, 900, offset);
}

/** An agent with an upstream that answers each request after a fixed time, or not at all. */
struct Agent
{
    Agent(std::uint64_t number, bool isPaced)
        : candidate {AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}}
        , admission(candidate, {}, {.isEnabled = isPaced})
    {
    }

    void report(std::uint64_t sequence, std::chrono::milliseconds slowStart, TimePoint now)
    {
        UpstreamReport report;
        report.id = "i";
        report.startedSinceEpoch = std::chrono::milliseconds(run);
        report.service = "tally";
        report.slots = s_slots;
        report.slowStart = slowStart;
        report.sequence = sequence;
        upstream.registration.apply(report, now);
        admission.releaseHeld(upstream, now);
    }

    /** The upstream got a first packet; its caller sends the request at once. */
    void deliver(const flow::FlowKey &key, bool isMute, TimePoint now)
    {
        delivered.push_back(now);
        admission.upstreamResponded();
        upstream.tracker.upstreamSent(tests::upstreamSegment(key, true), now);
        upstream.tracker.completeHandshake(key);
        upstream.tracker.callerSent(requestData(key), now);
        if (isMute) {
            unanswered.push_back({now + s_callerPatience, key});
        } else {
            underWay.push_back({now + serviceTime, key});
        }
    }

    void answerDue(TimePoint now)
    {
        while (!unanswered.empty() && unanswered.front().first <= now) {
            flow::Segment reset = requestData(unanswered.front().second, 900);
            reset.payloadSize = 0;
            reset.rst = true;
            upstream.tracker.callerSent(reset, now);
            unanswered.pop_front();
        }
        while (!underWay.empty() && underWay.front().first <= now) {
            upstream.tracker.upstreamSent(tests::upstreamSegment(underWay.front().second, false, 100), now);
            underWay.pop_front();
        }
    }

    protocol::Candidate candidate;
    UpstreamState upstream {{.reportTimeout = 1h}, {}};
    NewFlowAdmission admission;
    std::chrono::milliseconds serviceTime {20};
    int run = 1;
    std::deque<std::pair<TimePoint, flow::FlowKey>> underWay;
    std::deque<std::pair<TimePoint, flow::FlowKey>> unanswered;
    std::vector<TimePoint> delivered;
};

/** Agents of one pool, between which first packets are passed without delay. */
class UpstreamLimitsTest : public testing::Test
{
protected:
    void start(std::size_t count, bool isPaced, const UpstreamTerms &terms)
    {
        for (std::size_t index = 0; index < count; ++index) {
            agents.push_back(std::make_unique<Agent>(index + 1, isPaced));
            agents.back()->admission.setServed({1, {{s_destination, {s_latencyTarget, 0ms, 0}}}, terms});
            agents.back()->report(1, 0ms, s_start);
        }
    }

    protocol::EnvelopeHeader header(std::size_t first) const
    {
        protocol::EnvelopeHeader result;
        result.service = s_pool;
        result.generation = 1;
        for (std::size_t index = 0; index < agents.size(); ++index) {
            result.chain.push_back(agents[(first + index) % agents.size()]->candidate);
        }
        return result;
    }

    /** Sends a first packet to the agents of @p header until one decides on it for good; returns that decision. */
    Decision
    send(protocol::EnvelopeHeader header, const flow::Segment &packet, TimePoint now, std::size_t *visits = nullptr)
    {
        for (std::size_t count = 1;; ++count) {
            if (visits != nullptr) {
                *visits = count;
            }
            Agent &agent = *agents[header.chain[header.hop].agent.value - 1];
            Decision decision = agent.admission.decide(header, packet, agent.upstream, now);
            const auto *pass = std::get_if<PassToAgent>(&decision.action);
            if (pass != nullptr) {
                header = pass->header;
                continue;
            }
            if (std::holds_alternative<DeliverToUpstream>(decision.action)) {
                agent.deliver(packet.key, isMuted(agent), now);
            }
            return decision;
        }
    }

    void passTime(TimePoint now)
    {
        for (const auto &agent : agents) {
            agent->answerDue(now);
            while (const auto released = agent->admission.releaseHeld(agent->upstream, now)) {
                agent->deliver(released->packet.key, isMuted(*agent), now);
                ++releasedCount;
            }
            if ((now - s_start) % 1s == 0ms) {
                agent->upstream.tracker.expire(now);
                agent->admission.expire(agent->upstream, now);
            }
        }
    }

    /** Sends a first packet each @p interval to the agents in turn. */
    void load(std::chrono::milliseconds interval, std::chrono::milliseconds duration)
    {
        for (auto time = 0ms; time < duration; time += 1ms) {
            const TimePoint now = s_start + time;
            passTime(now);
            if (time % interval == 0ms) {
                ++port;
                ++decided[static_cast<std::size_t>(send(header(port % agents.size()), firstPacket(port), now).cause)];
            }
        }
    }

    /** A caller sends a request that counts as missing by the time s_start + 1s, to an upstream with a limit. */
    void sendMissingRequest(Agent &agent, const flow::FlowKey &key)
    {
        agent.run = 2;
        agent.report(1, 0ms, s_start);
        ASSERT_TRUE(agent.admission.limits().pace().limit());
        agent.upstream.tracker.open(firstPacket(key.source.port), s_start);
        agent.upstream.tracker.completeHandshake(key);
        agent.upstream.tracker.callerSent(requestData(key), s_start);
        agent.admission.expire(agent.upstream, s_start + 1s);
        ASSERT_EQ(changes(agent, PaceChange::MissingAnswer), 1U);
    }

    static std::uint64_t changes(const Agent &agent, PaceChange change)
    {
        return agent.admission.limits().pace().changes()[static_cast<std::size_t>(change)];
    }

    bool isMuted(const Agent &agent)
    {
        return &agent == muting && isMute(random);
    }

    std::size_t count(Cause cause) const
    {
        return decided[static_cast<std::size_t>(cause)];
    }

    std::vector<std::unique_ptr<Agent>> agents;
    std::array<std::size_t, s_causeCount> decided {};
    const Agent *muting = nullptr;
    std::minstd_rand random {3};
    std::bernoulli_distribution isMute {0.45};
    std::uint16_t port = 0;
    std::size_t releasedCount = 0;
};

std::ptrdiff_t mostInASecond(const std::vector<TimePoint> &times)
{
    std::ptrdiff_t most = 0;
    for (auto begin = times.begin(); begin != times.end(); ++begin) {
        most = std::max(most, std::lower_bound(begin, times.end(), *begin + 1s) - begin);
    }
    return most;
}

} // namespace

// The load: all upstreams of a pool start cold at once, and callers want ten times what they may get. Guards against a
// flood of any of them, also by packets that were held, and against held packets that are forgotten.
TEST_F(UpstreamLimitsTest, ColdLimitHoldsWhenAllUpstreamsReturnAtOnce)
{
    start(4, true, {false, 10, 4s});
    load(3ms, 3900ms);
    for (const auto &agent : agents) {
        EXPECT_LE(mostInASecond(agent->delivered), 10);
        EXPECT_GE(agent->delivered.size(), 35U) << "the limit is used";
    }
    EXPECT_GT(releasedCount, 0U);
    EXPECT_GT(count(Cause::Held), 0U);
    EXPECT_GT(count(Cause::ColdLimit), 0U) << "callers that cannot be served in time are refused at once";
}

// The load: one upstream of a pool starts cold while the others have room. Guards against callers that wait for it.
TEST_F(UpstreamLimitsTest, OthersGetWhatAColdUpstreamMayNotGet)
{
    start(4, false, {false, 2, 4s});
    for (std::size_t index = 1; index < agents.size(); ++index) {
        agents[index]->admission.setServed({1, {{s_destination, {}}}, {}});
    }
    load(10ms, 3s);
    EXPECT_LE(mostInASecond(agents[0]->delivered), 2);
    EXPECT_EQ(count(Cause::Held), 0U);
    EXPECT_EQ(count(Cause::Accepted), 300U);
}

// Guards against a packet path that sleeps while the limit would allow a held packet.
TEST_F(UpstreamLimitsTest, HeldPacketIsReleasedWhenTheColdLimitAllows)
{
    start(1, false, {false, 1, 4s});
    Agent &agent = *agents[0];
    EXPECT_EQ(send(header(0), firstPacket(1), s_start + 100ms).cause, Cause::Accepted);
    EXPECT_EQ(send(header(0), firstPacket(2, 2), s_start + 700ms).cause, Cause::Held);
    EXPECT_EQ(agent.admission.timeUntilRelease(1s, s_start + 700ms), 400ms);
    EXPECT_FALSE(agent.admission.releaseHeld(agent.upstream, s_start + 1099ms));
    EXPECT_TRUE(agent.admission.releaseHeld(agent.upstream, s_start + 1100ms));
}

// Guards against copies of a first packet that exceed the limit although the upstream already has the packet.
TEST_F(UpstreamLimitsTest, CopiesCountForTheColdLimit)
{
    start(1, false, {false, 2, 4s});
    EXPECT_EQ(send(header(0), firstPacket(1), s_start).cause, Cause::Accepted);
    EXPECT_EQ(send(header(0), firstPacket(1, 1), s_start + 200ms).cause, Cause::Repeated);
    EXPECT_EQ(send(header(0), firstPacket(1, 2), s_start + 600ms).cause, Cause::ColdLimit);
    EXPECT_EQ(agents[0]->delivered.size(), 2U);
}

// Guards against callers that are refused because of the pace although slots are free.
TEST_F(UpstreamLimitsTest, PaceGivesWayWhenNoOtherUpstreamHasRoom)
{
    start(1, true, {});
    for (int index = 0; index < 100; ++index) {
        agents[0]->upstream.tracker.upstreamSent(tests::upstreamSegment({}, false), s_start);
    }
    agents[0]->run = 2;
    agents[0]->report(1, 0ms, s_start);
    ASSERT_EQ(agents[0]->admission.limits().pace().limit(), 2U);
    for (std::uint16_t number = 1; number <= s_slots; ++number) {
        EXPECT_EQ(send(header(0), firstPacket(number), s_start).cause, Cause::Accepted);
    }
    EXPECT_EQ(send(header(0), firstPacket(9), s_start).cause, Cause::Held) << "no more than the slots while limited";
}

// The load: an upstream is silent for a while, among others with room. Guards against its whole share at once.
TEST_F(UpstreamLimitsTest, UpstreamThatWasSilentBeginsLow)
{
    start(2, true, {});
    load(10ms, 500ms);
    Agent &agent = *agents[0];
    ASSERT_FALSE(agent.admission.limits().pace().limit());
    const TimePoint now = s_start + 1s;
    for (std::uint16_t number = 100; number < 102; ++number) {
        agent.admission.decide(header(0), firstPacket(number), agent.upstream, now);
    }
    agent.admission.releaseHeld(agent.upstream, now + 150ms);
    agent.admission.upstreamResponded();
    agent.admission.releaseHeld(agent.upstream, now + 200ms);
    EXPECT_EQ(agent.admission.limits().pace().limit(), 2U);
    EXPECT_EQ(agent.admission.limits().pace().latestChange(), PaceChange::Recovered);
}

// The load: an evacuation ends while the other upstreams are full. Guards against the whole load on upstreams that may
// have become cold.
TEST_F(UpstreamLimitsTest, EndOfAnEvacuationBeginsLowAndWithinTheColdLimit)
{
    start(1, true, {true, 2, 4s});
    Agent &agent = *agents[0];
    agent.admission.releaseHeld(agent.upstream, s_start);
    // A run that is warm for long, without a limit before the evacuation.
    load(100ms, 6s);
    EXPECT_TRUE(agent.delivered.empty());
    agent.admission.setServed({2, {{s_destination, {}}}, {false, 2, 4s}});
    const TimePoint end = s_start + 6s;
    EXPECT_EQ(send(header(0), firstPacket(1000), end).cause, Cause::Accepted);
    EXPECT_EQ(send(header(0), firstPacket(1001), end).cause, Cause::Accepted);
    EXPECT_EQ(send(header(0), firstPacket(1002, 2), end).cause, Cause::ColdLimit) << "its caller gives up before";
    EXPECT_EQ(send(header(0), firstPacket(1003), end + 850ms).cause, Cause::Held);
    EXPECT_EQ(agent.admission.limits().pace().limit(), 2U);
}

// The load: one of four upstreams leaves 45% of its requests without an answer and reports that it is well, at half of
// the pool's capacity. Guards against its full share of the requests, and against callers refused because of it.
TEST_F(UpstreamLimitsTest, UpstreamThatMutesRequestsLosesItsShare)
{
    start(4, true, {});
    muting = agents[0].get();
    load(4ms, 20s);
    std::size_t all = 0;
    for (const auto &agent : agents) {
        all += agent->delivered.size();
    }
    EXPECT_LT(agents[0]->delivered.size() * 20, all) << "a fourth would be its full share";
    EXPECT_GT(agents[0]->delivered.size(), 5U) << "trials go on";
    EXPECT_EQ(count(Cause::NobodyAccepts), 0U);
}

// The load: callers send requests on many open flows at once, so that these wait inside the upstream and are answered
// late. Guards against a limit, which would leave slots of a healthy upstream unused during an overload.
TEST_F(UpstreamLimitsTest, OverloadOnOpenFlowsDoesNotLimitTheUpstream)
{
    constexpr std::uint16_t flows = 90;
    start(1, true, {});
    load(20ms, 2s);
    Agent &agent = *agents[0];
    for (std::uint16_t number = 1; number <= flows; ++number) {
        flow::Segment first = firstPacket(static_cast<std::uint16_t>(1000 + number));
        agent.upstream.tracker.open(first, s_start + 3s);
        agent.upstream.tracker.completeHandshake(first.key);
        agent.upstream.tracker.callerSent(requestData(first.key), s_start + 3s);
    }
    for (std::uint16_t number = 1; number <= flows; ++number) {
        const auto key = firstPacket(static_cast<std::uint16_t>(1000 + number)).key;
        const TimePoint now = s_start + 3s + ((number - 1) / s_slots + 1) * agent.serviceTime;
        agent.upstream.tracker.upstreamSent(tests::upstreamSegment(key, false, 100), now);
        agent.admission.releaseHeld(agent.upstream, now);
    }
    EXPECT_FALSE(agent.admission.limits().pace().limit());
    EXPECT_EQ(agent.admission.limits().pace().changes()[static_cast<std::size_t>(PaceChange::LateAnswer)], 0U);
}

// Guards against an upstream that gets nothing for as long as a caller that has vanished leaves its flow open.
TEST_F(UpstreamLimitsTest, AbandonedRequestDoesNotKeepALimitedUpstreamFromTrials)
{
    start(2, true, {});
    Agent &agent = *agents[0];
    agent.admission.decide(header(0), firstPacket(1), agent.upstream, s_start);
    agent.deliver(firstPacket(1).key, true, s_start);
    agent.unanswered.clear();
    agent.run = 2;
    agent.report(1, 0ms, s_start);
    agent.admission.expire(agent.upstream, s_start + 1s);
    ASSERT_EQ(agent.admission.limits().pace().limit(), 1U);
    EXPECT_EQ(send(header(0), firstPacket(2), s_start + 2s).cause, Cause::Accepted);
    EXPECT_EQ(agent.delivered.size(), 2U);
    agent.admission.expire(agent.upstream, s_start + 2500ms);
    EXPECT_EQ(agent.admission.limits().pace().changes()[static_cast<std::size_t>(PaceChange::MissingAnswer)], 1U)
        << "each request counts once";
}

// Guards against a request that counts as two failures: as missing, and as late when its answer comes after all.
TEST_F(UpstreamLimitsTest, LateAnswerOfAMissingRequestCountsOnce)
{
    start(1, true, {});
    Agent &agent = *agents[0];
    const flow::FlowKey key = firstPacket(1).key;
    sendMissingRequest(agent, key);
    agent.upstream.tracker.upstreamSent(tests::upstreamSegment(key, false, 100), s_start + 1500ms);
    agent.admission.releaseHeld(agent.upstream, s_start + 1500ms);
    EXPECT_EQ(changes(agent, PaceChange::MissingAnswer), 1U);
    EXPECT_EQ(changes(agent, PaceChange::LateAnswer), 0U);
    // The next request of the flow is another one.
    agent.upstream.tracker.callerSent(requestData(key, 900), s_start + 2s);
    agent.upstream.tracker.upstreamSent(tests::upstreamSegment(key, false, 100), s_start + 7s);
    agent.admission.releaseHeld(agent.upstream, s_start + 7s);
    EXPECT_EQ(changes(agent, PaceChange::LateAnswer), 1U);
}

// As above for an upstream that resets the flow in the end.
TEST_F(UpstreamLimitsTest, ResetOfAMissingRequestCountsOnce)
{
    start(1, true, {});
    Agent &agent = *agents[0];
    const flow::FlowKey key = firstPacket(1).key;
    sendMissingRequest(agent, key);
    flow::Segment reset = tests::upstreamSegment(key, false);
    reset.rst = true;
    agent.upstream.tracker.upstreamSent(reset, s_start + 1500ms);
    agent.admission.releaseHeld(agent.upstream, s_start + 1500ms);
    EXPECT_EQ(changes(agent, PaceChange::MissingAnswer), 1U);
    EXPECT_EQ(changes(agent, PaceChange::Reset), 0U);
}

// Guards against a missing request that counts again because the usual time has risen meanwhile.
TEST_F(UpstreamLimitsTest, MissingRequestCountsOnceWhileTheUsualTimeRises)
{
    start(1, true, {});
    Agent &agent = *agents[0];
    sendMissingRequest(agent, firstPacket(1).key);
    const flow::FlowKey other = firstPacket(2).key;
    agent.upstream.tracker.open(firstPacket(2), s_start + 1s);
    agent.upstream.tracker.completeHandshake(other);
    agent.upstream.tracker.callerSent(requestData(other), s_start + 1s);
    agent.upstream.tracker.upstreamSent(tests::upstreamSegment(other, false, 100), s_start + 1700ms);
    agent.admission.releaseHeld(agent.upstream, s_start + 1700ms);
    // Three times the usual time is 2.1 s now.
    agent.admission.expire(agent.upstream, s_start + 1800ms);
    agent.admission.expire(agent.upstream, s_start + 2200ms);
    EXPECT_EQ(changes(agent, PaceChange::MissingAnswer), 1U);
}

// Guards against an upstream whose requests count as missing for ever, because their answers do not count at all.
TEST_F(UpstreamLimitsTest, AnswersOfMissingRequestsShowTheUsualTime)
{
    start(1, true, {});
    Agent &agent = *agents[0];
    load(100ms, 1s);
    TimePoint now = s_start + 2s;
    // The usual time follows in steps of 2%: from 20 ms to a third of 1500 ms in 163 answers.
    for (std::uint16_t number = 1000; number < 1200; ++number) {
        const flow::FlowKey key = firstPacket(number).key;
        agent.upstream.tracker.open(firstPacket(number), now);
        agent.upstream.tracker.completeHandshake(key);
        agent.upstream.tracker.callerSent(requestData(key), now);
        agent.admission.expire(agent.upstream, now + 1s);
        agent.upstream.tracker.upstreamSent(tests::upstreamSegment(key, false, 100), now + 1500ms);
        agent.admission.releaseHeld(agent.upstream, now + 1500ms);
        now += 2s;
    }
    EXPECT_FALSE(agent.admission.limits().pace().limit()) << "the upstream is slow, and always so";
}

// The load: first packets of a pool whose upstreams are all cold and at their limits. Guards against packets that visit
// more agents than those of a busy pool.
TEST_F(UpstreamLimitsTest, RefusalsByTheColdLimitKeepToTheVisitLimit)
{
    start(8, false, {false, 1, 10s});
    for (std::size_t first = 0; first < agents.size(); ++first) {
        const auto caller = static_cast<std::uint16_t>(first + 1);
        ASSERT_EQ(send(header(first), firstPacket(caller), s_start).cause, Cause::Accepted);
    }
    std::size_t visits = 0;
    // The last copy cannot wait for a turn.
    EXPECT_EQ(send(header(0), firstPacket(100, 2), s_start + 100ms, &visits).cause, Cause::ColdLimit);
    EXPECT_EQ(visits, 5U) << "four busy ones, and back to the least busy one";
}

// The load: the first report of a run is lost. Guards against the whole share of an upstream that has just started.
TEST_F(UpstreamLimitsTest, RunWhoseFirstReportWasLostBeginsLow)
{
    start(1, true, {});
    Agent &agent = *agents[0];
    agent.run = 2;
    agent.report(5, 0ms, s_start + 3s);
    EXPECT_EQ(agent.admission.limits().pace().limit(), 2U);
    EXPECT_EQ(changes(agent, PaceChange::Started), 2U);
}

// The load: all upstreams of a pool mute requests, so that the pace of all is at its lowest while their slots are
// wanted. Guards against a pace that takes a whole service out.
TEST_F(UpstreamLimitsTest, PoolIsNeverTakenOutAsAWhole)
{
    start(3, true, {});
    for (const auto &agent : agents) {
        for (int index = 0; index < 100; ++index) {
            const auto number = static_cast<std::uint16_t>(20000 + index);
            agent->admission.decide(header(0), firstPacket(number), agent->upstream, s_start);
            agent->deliver(firstPacket(number).key, true, s_start);
            flow::Segment reset = tests::upstreamSegment(firstPacket(number).key, false);
            reset.rst = true;
            agent->upstream.tracker.upstreamSent(reset, s_start);
        }
        agent->admission.releaseHeld(agent->upstream, s_start);
        ASSERT_EQ(agent->admission.limits().pace().limit(), 1U);
    }
    for (std::uint16_t number = 1; number <= 3 * s_slots; ++number) {
        EXPECT_EQ(send(header(number % 3), firstPacket(number), s_start + 1s).cause, Cause::Accepted);
    }
}

// The load: a caller with a slow link sends a request in pieces with long gaps. Guards against a limit for the upstream
// because of its caller.
TEST_F(UpstreamLimitsTest, SlowLinkOfACallerDoesNotLimitTheUpstream)
{
    start(1, true, {});
    load(50ms, 1s);
    Agent &agent = *agents[0];
    const flow::FlowKey key = firstPacket(999).key;
    send(header(0), firstPacket(999), s_start + 1s);
    agent.underWay.clear();
    for (std::uint32_t piece = 1; piece < 20; ++piece) {
        const TimePoint now = s_start + 1s + piece * 800ms;
        agent.upstream.tracker.callerSent(requestData(key, piece * 900), now);
        agent.admission.expire(agent.upstream, now + 700ms);
    }
    agent.upstream.tracker.upstreamSent(tests::upstreamSegment(key, false, 100), s_start + 1s + 19 * 800ms + 20ms);
    agent.admission.releaseHeld(agent.upstream, s_start + 30s);
    EXPECT_FALSE(agent.admission.limits().pace().limit());
    EXPECT_EQ(agent.admission.limits().pace().changes()[static_cast<std::size_t>(PaceChange::MissingAnswer)], 0U);
}

// Guards against a limit for an upstream that has been warm for long when its agent starts.
TEST_F(UpstreamLimitsTest, RestartOfTheAgentDoesNotMakeAWarmUpstreamCold)
{
    Agent agent(1, true);
    agent.admission.setServed({1, {{s_destination, {}}}, {false, 2, 4s}});
    agent.report(50, 0ms, s_start);
    EXPECT_FALSE(agent.admission.limits().cold().isLimiting(s_start));
    EXPECT_FALSE(agent.admission.limits().pace().limit());
    agent.report(51, 3s, s_start + 1s);
    EXPECT_TRUE(agent.admission.limits().cold().isLimiting(s_start + 1s));
}

} // namespace samphireswitch::passthrough
