#include "control/departedagents.h"

#include <gtest/gtest.h>

namespace samphireswitch::control {

namespace {

using namespace std::chrono_literals;
using protocol::MemberRecord;
using protocol::MemberRole;
using protocol::MemberState;

const TimePoint s_start = TimePoint() + 1h;

MemberRecord agent(std::uint64_t id, std::uint64_t incarnation, bool upstreamLeft)
{
    MemberRecord record;
    record.id = id;
    record.role = MemberRole::Agent;
    record.incarnation = incarnation;
    record.version = 1;
    record.state = MemberState::Draining;
    record.upstreamLeftAt = upstreamLeft ? 1ms : 0ms;
    return record;
}

} // namespace

// Guards against an agent that finds nothing of its earlier run in the directory, because balancers that started before
// it have written entries which list only agents that run.
TEST(DepartedAgentsTest, RecordOutlivesTheAgentAndItsNextRun)
{
    DepartedAgents departed;
    departed.add({agent(7, 100, true), agent(8, 100, false)}, s_start);
    departed.add({agent(7, 200, false)}, s_start + 1s);
    ASSERT_EQ(departed.records(s_start + 59s).size(), 1U);
    EXPECT_EQ(departed.records(s_start + 59s).front(), agent(7, 100, true));
    EXPECT_TRUE(departed.records(s_start + 60s).empty());
}

// Guards against an agent that denies the flows of its upstream after a restart: the departure of the upstream before
// that one was still listed, while the record of the run in between had been removed, because that run was found dead.
TEST(DepartedAgentsTest, DepartureIsForgottenOnceALaterRunIsActive)
{
    MemberRecord active = agent(7, 200, false);
    active.state = MemberState::Active;
    MemberRecord dead = active;
    dead.version = 2;
    dead.liveness = protocol::Liveness::Dead;
    DepartedAgents departed;
    departed.add({active, agent(7, 100, true), agent(8, 100, true)}, s_start);
    EXPECT_EQ(departed.records(s_start), std::vector {agent(8, 100, true)});
    departed.add({dead, agent(7, 100, true)}, s_start + 1s);
    EXPECT_EQ(departed.records(s_start + 1s), std::vector {agent(8, 100, true)})
        << "another entry repeats the departure";
    departed.add({agent(7, 200, true)}, s_start + 2s);
    EXPECT_EQ(departed.records(s_start + 2s).size(), 1U) << "an older version of the record";
    departed.add({agent(7, 300, true)}, s_start + 3s);
    EXPECT_EQ(departed.records(s_start + 3s).size(), 2U) << "the next upstream has left as well";
}

// Guards against records that balancers which copy each other's entries list for ever.
TEST(DepartedAgentsTest, RepeatedRecordIsNotListedForLonger)
{
    DepartedAgents departed;
    departed.add({agent(7, 100, true)}, s_start);
    departed.add({agent(7, 100, true)}, s_start + 30s);
    EXPECT_TRUE(departed.records(s_start + 60s).empty());
}

// Guards against an entry that grows without bound, and against a departure that another agent displaces.
TEST(DepartedAgentsTest, CapacityIsBounded)
{
    DepartedAgents departed({60s, 2});
    departed.add({agent(1, 1, true), agent(2, 1, true), agent(3, 1, true)}, s_start);
    departed.add({agent(1, 2, true)}, s_start + 1s);
    ASSERT_EQ(departed.records(s_start + 1s).size(), 2U);
    EXPECT_EQ(departed.records(s_start + 1s).front().incarnation, 2U);
}

// Guards against an agent that denies the flows of a run of which the directory tells: the latest run before this one
// counts, and not the one whose upstream had left.
TEST(DepartedAgentsTest, LatestEarlierRunCounts)
{
    const std::vector<MemberRecord> records {agent(7, 100, true), agent(7, 200, false), agent(7, 300, true)};
    ASSERT_NE(earlierRun(records, 7, 300), nullptr);
    EXPECT_FALSE(hasUpstreamLeft(*earlierRun(records, 7, 300)));
    EXPECT_TRUE(hasUpstreamLeft(*earlierRun(records, 7, 200)));
    EXPECT_EQ(earlierRun(records, 7, 100), nullptr);
    EXPECT_EQ(earlierRun(records, 9, 300), nullptr);
}

// Guards against an agent that takes flows while the directory tells of its present run only that it has no upstream:
// after another restart it would deny them. The run says so itself until its upstream reports.
TEST(DepartedAgentsTest, RunIsListedOnceItsUpstreamHasNotLeft)
{
    std::vector<MemberRecord> records {agent(7, 100, true), agent(7, 200, true), agent(8, 300, false)};
    EXPECT_FALSE(isListed(records, 7, 200)) << "only as a run without an upstream";
    EXPECT_FALSE(isListed(records, 7, 300)) << "a run of another agent";
    records.push_back(agent(7, 200, false));
    EXPECT_TRUE(isListed(records, 7, 200));
    EXPECT_FALSE(isListed(records, 7, 100));
}

} // namespace samphireswitch::control
