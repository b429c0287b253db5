#include "passthrough/flowknowledge.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr KnowledgeSettings s_settings {75s, 3600ms};

/** Lets time pass as in a process that runs, up to @p end. */
void listen(FlowKnowledge &knowledge, TimePoint begin, TimePoint end)
{
    for (TimePoint now = begin; now <= end; now += 1s) {
        knowledge.expire(now);
    }
}

} // namespace

// Guards against searches that an agent cannot answer for 75 s because its upstream has died without a word.
TEST(FlowKnowledgeTest, UpstreamThatIsNeverHeardDoesNotRun)
{
    FlowKnowledge knowledge(s_settings, s_start);
    listen(knowledge, s_start, s_start + 3s);
    EXPECT_FALSE(knowledge.isComplete());
    listen(knowledge, s_start + 4s, s_start + 4s);
    EXPECT_EQ(knowledge.basis(), KnowledgeBasis::UpstreamSilent);
    EXPECT_TRUE(knowledge.restsOnAbsence());
}

// Guards against resets of the flows of an upstream that runs: it was heard, and is only silent since.
TEST(FlowKnowledgeTest, UpstreamThatWasHeardMayHoldFlows)
{
    FlowKnowledge knowledge(s_settings, s_start);
    knowledge.upstreamReported();
    listen(knowledge, s_start, s_start + 60s);
    EXPECT_FALSE(knowledge.isComplete());
    listen(knowledge, s_start + 61s, s_start + 76s);
    EXPECT_EQ(knowledge.basis(), KnowledgeBasis::IdleTimeout);
    EXPECT_FALSE(knowledge.restsOnAbsence());
}

// Guards against resets after a standstill of the machine: the upstream stood still as well and had no time to report.
TEST(FlowKnowledgeTest, StandstillIsNoSilenceOfTheUpstream)
{
    FlowKnowledge knowledge(s_settings, s_start);
    knowledge.expire(s_start + 1s);
    knowledge.expire(s_start + 31s);
    EXPECT_FALSE(knowledge.isComplete());
    listen(knowledge, s_start + 32s, s_start + 33s);
    EXPECT_EQ(knowledge.basis(), KnowledgeBasis::UpstreamSilent);
}

// Guards against an agent that goes on to deny flows after it has lost the reason for it.
TEST(FlowKnowledgeTest, ReportOfTheUpstreamVoidsItsDeparture)
{
    FlowKnowledge knowledge(s_settings, s_start);
    knowledge.upstreamDeparted(1h, s_start);
    EXPECT_EQ(knowledge.basis(), KnowledgeBasis::UpstreamLeft);
    knowledge.upstreamReported();
    knowledge.withdraw(s_start + 1s);
    listen(knowledge, s_start + 2s, s_start + 20s);
    EXPECT_FALSE(knowledge.isComplete());
    EXPECT_FALSE(knowledge.isUpstreamDeparted());
}

// Guards against resets of the flows that an upstream goes on to serve between the announcement of its exit and its
// end.
TEST(FlowKnowledgeTest, DepartureCountsOnceTheUpstreamHasHadTimeToEnd)
{
    FlowKnowledge knowledge(s_settings, s_start);
    knowledge.upstreamDeparted(500ms, s_start);
    listen(knowledge, s_start, s_start + 2s);
    EXPECT_FALSE(knowledge.isComplete());
    EXPECT_TRUE(knowledge.isUpstreamDeparted());
    knowledge.packetArrived();
    listen(knowledge, s_start + 3s, s_start + 4s);
    EXPECT_FALSE(knowledge.isComplete()) << "its latest packet is 2 s old";
    listen(knowledge, s_start + 5s, s_start + 5s);
    EXPECT_EQ(knowledge.basis(), KnowledgeBasis::UpstreamLeft);
    EXPECT_TRUE(knowledge.restsOnAbsence());
}

// Guards against a departure that is forgotten because of a packet that was returned before the upstream ended: every
// search would wait for this agent.
TEST(FlowKnowledgeTest, DepartureOutlivesALatePacket)
{
    FlowKnowledge knowledge(s_settings, s_start);
    knowledge.upstreamDeparted(10s, s_start);
    ASSERT_TRUE(knowledge.isComplete());
    knowledge.packetArrived();
    knowledge.withdraw(s_start);
    listen(knowledge, s_start, s_start + 3s);
    EXPECT_EQ(knowledge.basis(), KnowledgeBasis::UpstreamLeft);
}

// Guards against a standstill of the machine that is taken for the time in which the upstream ended.
TEST(FlowKnowledgeTest, StandstillIsNoTimeSinceTheDeparture)
{
    FlowKnowledge knowledge(s_settings, s_start);
    knowledge.upstreamDeparted(0s, s_start);
    knowledge.expire(s_start + 30s);
    EXPECT_FALSE(knowledge.isComplete());
}

} // namespace samphireswitch::passthrough
