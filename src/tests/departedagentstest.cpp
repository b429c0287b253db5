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
    EXPECT_TRUE(isListed(records, 7, 300));
    EXPECT_FALSE(isListed(records, 7, 400));
}

} // namespace samphireswitch::control
