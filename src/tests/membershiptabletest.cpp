#include "membership/membershiptable.h"

#include <gtest/gtest.h>

namespace samphireswitch::membership {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t s_self = 1;
constexpr std::uint64_t s_agent = 2;
const TimePoint s_start = TimePoint() + 1h;

/** The record of an agent that announced its stop and then died. */
protocol::MemberRecord stoppedAgent()
{
    protocol::MemberRecord record;
    record.id = s_agent;
    record.incarnation = 1;
    record.version = 2;
    record.state = protocol::MemberState::Stopping;
    record.liveness = protocol::Liveness::Dead;
    return record;
}

} // namespace

// Guards against records of dead agents that are never discarded, because processes that start take them from each
// other, and that delay the resets of lost flows after each start.
TEST(MembershipTableTest, AgentThatWasLearnedDeadIsDiscardedSoon)
{
    MembershipTable members({}, s_self);
    EXPECT_TRUE(members.merge({stoppedAgent()}, s_start).empty());
    EXPECT_EQ(members.addDeadAgents({stoppedAgent()}, s_start).size(), 1U);
    ASSERT_EQ(members.deadAgentsSince(s_start).size(), 1U);
    EXPECT_EQ(members.deadAgentsSince(s_start).front().state, protocol::MemberState::Stopping);
    EXPECT_TRUE(members.addDeadAgents({stoppedAgent()}, s_start + 1s).empty()) << "known already";
    members.expire(s_start + 29s);
    EXPECT_EQ(members.size(), 1U);
    EXPECT_EQ(members.recordsDiffering(members.bucketHashes({}), {}, s_start + 29s).size(), 1U);
    EXPECT_TRUE(members.recordsDiffering(members.bucketHashes({}), {}, s_start + 31s).empty());
    members.expire(s_start + 31s);
    EXPECT_EQ(members.size(), 0U);
}

// Guards against an agent that is taken for dead although it has come back, or that is discarded as if it were dead.
TEST(MembershipTableTest, AgentThatWasLearnedDeadMayComeBack)
{
    MembershipTable members({}, s_self);
    members.addDeadAgents({stoppedAgent()}, s_start);
    protocol::MemberRecord back = stoppedAgent();
    back.incarnation = 2;
    back.state = protocol::MemberState::Active;
    back.liveness = protocol::Liveness::Alive;
    EXPECT_EQ(members.merge({back}, s_start + 5s).size(), 1U);
    EXPECT_TRUE(members.addDeadAgents({stoppedAgent()}, s_start + 6s).empty());
    EXPECT_TRUE(members.deadAgentsSince(s_start).empty());
    members.expire(s_start + 40s);
    EXPECT_EQ(members.agentsOf({}).size(), 1U);
}

} // namespace samphireswitch::membership
