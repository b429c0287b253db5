#include "membership/silentagents.h"

#include <gtest/gtest.h>

namespace samphireswitch::membership {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;

protocol::MemberRecord agent(std::uint64_t id, std::uint64_t incarnation = 1)
{
    protocol::MemberRecord record;
    record.id = id;
    record.incarnation = incarnation;
    record.control = {0x0a010017, static_cast<std::uint16_t>(id)};
    return record;
}

/** Ends all attempts that are due at @p now with @p outcome; returns their number. */
std::size_t probe(SilentAgents &agents, ConnectionOutcome outcome, TimePoint now)
{
    const auto due = agents.takeDue(now);
    for (const SilentAgents::Attempt &attempt : due) {
        agents.attemptEnded(attempt, outcome);
    }
    return due.size();
}

} // namespace

// Guards against an agent that counts as lost because one packet was lost, and against callers of a lost machine that
// are never told.
TEST(SilentAgentsTest, MachineThatAnswersNoAttemptIsLost)
{
    SilentAgents agents;
    agents.update({agent(1)});
    EXPECT_EQ(probe(agents, ConnectionOutcome::Unanswered, s_start), 1U);
    EXPECT_TRUE(agents.lost().empty());
    EXPECT_EQ(probe(agents, ConnectionOutcome::Unanswered, s_start + 100ms), 0U) << "the next attempt is not due";
    EXPECT_EQ(probe(agents, ConnectionOutcome::Unanswered, s_start + 300ms), 1U);
    EXPECT_EQ(agents.lost(), (std::set<std::uint64_t> {1}));
    EXPECT_TRUE(agents.standingStill().empty());
}

// Guards against the reset of flows whose agent stands still or is started again (issue 36).
TEST(SilentAgentsTest, MachineThatAnswersIsNotLost)
{
    SilentAgents agents;
    agents.update({agent(1)});
    for (const auto outcome : {ConnectionOutcome::Accepted, ConnectionOutcome::Refused, ConnectionOutcome::NotMade}) {
        for (int attempt = 0; attempt < 10; ++attempt) {
            probe(agents, outcome, s_start + attempt * 2s);
            EXPECT_TRUE(agents.lost().empty());
        }
    }
    probe(agents, ConnectionOutcome::Accepted, s_start + 20s);
    EXPECT_EQ(agents.standingStill(), (std::set<std::uint64_t> {1}));
    probe(agents, ConnectionOutcome::Unanswered, s_start + 30s);
    probe(agents, ConnectionOutcome::Unanswered, s_start + 40s);
    EXPECT_FALSE(agents.lost().empty());
    probe(agents, ConnectionOutcome::Refused, s_start + 50s);
    EXPECT_TRUE(agents.lost().empty()) << "the machine is back";
}

// Guards against an old result that counts for an agent which has responded since or was started again.
TEST(SilentAgentsTest, ResultsFromBeforeASignOfLifeAreForgotten)
{
    SilentAgents agents;
    agents.update({agent(1)});
    probe(agents, ConnectionOutcome::Unanswered, s_start);
    probe(agents, ConnectionOutcome::Unanswered, s_start + 300ms);
    ASSERT_FALSE(agents.lost().empty());
    const auto underWay = agents.takeDue(s_start + 600ms);
    agents.update({});
    EXPECT_TRUE(agents.lost().empty());
    agents.update({agent(1)});
    agents.attemptEnded(underWay.front(), ConnectionOutcome::Unanswered);
    probe(agents, ConnectionOutcome::Unanswered, s_start + 900ms);
    EXPECT_TRUE(agents.lost().empty()) << "one attempt has ended since the agent responded";
    agents.update({agent(1, 2)});
    probe(agents, ConnectionOutcome::Unanswered, s_start + 1200ms);
    EXPECT_TRUE(agents.lost().empty()) << "another process";
}

// Guards against attempts without limit after the loss of a large part of the machines.
TEST(SilentAgentsTest, NumberOfProbedAgentsIsLimited)
{
    SilentAgentSettings settings;
    settings.capacity = 2;
    SilentAgents agents(settings);
    agents.update({agent(1), agent(2), agent(3)});
    EXPECT_EQ(probe(agents, ConnectionOutcome::Unanswered, s_start), 2U);
    probe(agents, ConnectionOutcome::Unanswered, s_start + 300ms);
    EXPECT_FALSE(agents.lost().contains(3)) << "nothing is known of it";
}

} // namespace samphireswitch::membership
