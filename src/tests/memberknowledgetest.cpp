#include "balancer/memberknowledge.h"

#include "bench/gossipnetwork.h"

#include <gtest/gtest.h>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;
using membership::MembershipTable;
using protocol::Liveness;
using protocol::MemberState;
using routing::Coverage;

constexpr std::uint64_t s_self = 1;
constexpr std::uint64_t s_agent = 2;
const TimePoint s_start = TimePoint() + 1h;

/** A table with one agent that was alive and then got @p liveness; its record has @p state. */
MembershipTable table(Liveness liveness, MemberState state)
{
    protocol::MemberRecord record;
    record.id = s_agent;
    record.incarnation = 1;
    record.version = 1;
    record.state = state;
    MembershipTable members({}, s_self);
    members.merge({record}, s_start);
    record.liveness = liveness;
    members.merge({record}, s_start);
    return members;
}

/** Inputs of a balancer that knows the agent and agreed with a peer at @p now. */
CoverageInputs agreed(TimePoint now)
{
    CoverageInputs inputs;
    inputs.startedAt = s_start;
    inputs.agreedAt = now;
    inputs.agentsAtStart = std::set<std::uint64_t> {s_agent};
    return inputs;
}

} // namespace

// Guards against a record of a reset that names no agent which may have owned the flow.
TEST(MemberKnowledgeTest, AbsentAgentsAreDescribed)
{
    EXPECT_EQ(describeAbsentAgents(table(Liveness::Alive, MemberState::Active), s_start), "");
    EXPECT_EQ(describeAbsentAgents(table(Liveness::Suspect, MemberState::Draining), s_start), " draining suspect");
    EXPECT_EQ(describeAbsentAgents(table(Liveness::Alive, MemberState::Stopping), s_start), " stopping alive");
}

// Guards against resets of open flows by a balancer that was paused: agents have joined meanwhile that it does not
// know, and neither an agreement from before the pause nor the directory that it read at its start tells so.
TEST(MemberKnowledgeTest, CoverageIsPartialAfterAStandstill)
{
    const MembershipTable members = table(Liveness::Alive, MemberState::Active);
    const TimePoint now = s_start + 10s;
    CoverageInputs paused = agreed(now - 100ms);
    paused.resumedAt = now;
    EXPECT_EQ(coverageOf(paused, members, now), Coverage::Partial);
    paused.agreedAt = now + 300ms;
    EXPECT_EQ(coverageOf(paused, members, now + 400ms), Coverage::Full);
    CoverageInputs justStarted;
    justStarted.startedAt = s_start;
    justStarted.hasPeerAnswered = true;
    justStarted.agentsAtStart = std::set<std::uint64_t> {s_agent};
    EXPECT_EQ(coverageOf(justStarted, members, s_start + 1500ms), Coverage::Full);
    justStarted.resumedAt = s_start + 1400ms;
    EXPECT_EQ(coverageOf(justStarted, members, s_start + 1500ms), Coverage::Partial);
}

// Guards against resets of open flows by a balancer that does not know every agent: immediately after its start, while
// the digests of its peers differ, or while an agent that the directory listed is missing from its table.
TEST(MemberKnowledgeTest, CoverageIsPartialUntilEveryAgentIsKnown)
{
    const MembershipTable members = table(Liveness::Alive, MemberState::Active);
    const TimePoint now = s_start + 10s;
    EXPECT_EQ(coverageOf(agreed(now), members, now), Coverage::Full);
    EXPECT_EQ(coverageOf(agreed(s_start + 50ms), members, s_start + 50ms), Coverage::Partial);
    EXPECT_EQ(coverageOf(agreed(now - 2s), members, now), Coverage::Partial);
    CoverageInputs disagreed = agreed(now);
    disagreed.agreedAt = {};
    EXPECT_EQ(coverageOf(disagreed, members, now), Coverage::Partial);
    CoverageInputs missesOne = agreed(now);
    missesOne.agentsAtStart->insert(99);
    EXPECT_EQ(coverageOf(missesOne, members, now), Coverage::Partial);
    missesOne.agentsAtStart.reset();
    EXPECT_EQ(coverageOf(missesOne, members, now), Coverage::Partial);
}

// Guards against callers of lost flows that are never told, at a balancer whose first read of the directory found
// nothing: its coverage stayed partial for as long as it ran (issue 30).
TEST(MemberKnowledgeTest, BalancerThatFoundNoDirectoryTrustsItsPeersLater)
{
    const MembershipTable members = table(Liveness::Alive, MemberState::Active);
    const auto coverageAt = [&members](TimePoint now) {
        CoverageInputs inputs = agreed(now);
        inputs.agentsAtStart.reset();
        return coverageOf(inputs, members, now);
    };
    EXPECT_EQ(coverageAt(s_start + 19s), Coverage::Partial) << "agents may still be looking for a balancer";
    EXPECT_EQ(coverageAt(s_start + 21s), Coverage::Full);
    CoverageInputs disagreed;
    disagreed.startedAt = s_start;
    EXPECT_EQ(coverageOf(disagreed, members, s_start + 21s), Coverage::Partial);
}

// Guards against long waits of callers of lost flows when all balancers start at the same time: their tables agree only
// after a while. Guards also against resets by a balancer that trusts a directory that lacks agents (issue 15).
TEST(MemberKnowledgeTest, DirectoryIsTrustedJustAfterAStartOnceAPeerHasAnswered)
{
    const MembershipTable members = table(Liveness::Alive, MemberState::Active);
    CoverageInputs knowledge = agreed(TimePoint());
    EXPECT_EQ(coverageOf(knowledge, members, s_start + 200ms), Coverage::Partial);
    knowledge.hasPeerAnswered = true;
    EXPECT_EQ(coverageOf(knowledge, members, s_start + 200ms), Coverage::Full);
    EXPECT_EQ(coverageOf(knowledge, members, s_start + 3s), Coverage::Partial);
    knowledge.agentsAtStart->insert(99);
    EXPECT_EQ(coverageOf(knowledge, members, s_start + 200ms), Coverage::Partial);
}

// Guards against resets of the flows of an agent during a planned restart, and against callers of a failed machine that
// get no answer for 15 s.
TEST(MemberKnowledgeTest, LossOfAMachineGivesReachableCoverage)
{
    const TimePoint now = s_start + 5s;
    CoverageInputs inputs = agreed(now);
    inputs.lostAgents = {s_agent};
    EXPECT_EQ(coverageOf(inputs, table(Liveness::Dead, MemberState::Active), now), Coverage::Reachable);
    EXPECT_EQ(coverageOf(inputs, table(Liveness::Dead, MemberState::Draining), now), Coverage::Reachable);
    EXPECT_EQ(coverageOf(inputs, table(Liveness::Dead, MemberState::Stopping), now), Coverage::Awaiting);
    const TimePoint later = s_start + 20s;
    EXPECT_EQ(coverageOf(agreed(later), table(Liveness::Dead, MemberState::Stopping), later), Coverage::Full);
}

// Guards against resets of the flows of an agent that is taken for dead while it stands still, or while it is started
// again: its machine answers (issue 36).
TEST(MemberKnowledgeTest, DeadAgentWhoseMachineAnswersIsAwaited)
{
    const MembershipTable members = table(Liveness::Dead, MemberState::Active);
    const TimePoint now = s_start + 5s;
    EXPECT_EQ(coverageOf(agreed(now), members, now), Coverage::Awaiting) << "not probed yet, or refused";
    const TimePoint later = s_start + 30s;
    CoverageInputs standsStill = agreed(later);
    standsStill.agentsStandingStill = {s_agent};
    EXPECT_EQ(coverageOf(standsStill, members, later), Coverage::Awaiting);
    EXPECT_EQ(coverageOf(agreed(later), members, later), Coverage::Full);
}

// Guards against packets of an open flow that go from one upstream to the next while the agent of its own restarts:
// balancers that had just started learned of the stop from each other, and counted the agent as present until they
// missed it.
TEST(MemberKnowledgeTest, AgentThatAnnouncedItsStopIsExpectedBackBeforeItIsMissed)
{
    const TimePoint now = s_start + 5s;
    EXPECT_TRUE(expectsAbsentAgent({}, table(Liveness::Alive, MemberState::Stopping), now));
    EXPECT_TRUE(expectsAbsentAgent({}, table(Liveness::Suspect, MemberState::Stopping), now));
    EXPECT_TRUE(expectsAbsentAgent({}, table(Liveness::Dead, MemberState::Stopping), now));
    EXPECT_FALSE(expectsAbsentAgent({}, table(Liveness::Dead, MemberState::Stopping), s_start + 30s));
    EXPECT_FALSE(expectsAbsentAgent({}, table(Liveness::Alive, MemberState::Active), now));
    EXPECT_FALSE(expectsAbsentAgent({}, table(Liveness::Alive, MemberState::Left), now));
}

// Guards against packets of an open flow that go from one upstream to the next while the agent of its own is away and
// has not said so, as after a death of all processes of which one comes back late.
TEST(MemberKnowledgeTest, AgentThatDiedWithoutAWordIsExpectedBack)
{
    const MembershipTable members = table(Liveness::Dead, MemberState::Active);
    EXPECT_TRUE(expectsAbsentAgent({}, members, s_start + 5s)) << "not probed yet, or refused";
    EXPECT_FALSE(expectsAbsentAgent({}, members, s_start + 30s));
    CoverageInputs standsStill;
    standsStill.agentsStandingStill = {s_agent};
    EXPECT_TRUE(expectsAbsentAgent(standsStill, members, s_start + 30s));
    CoverageInputs lost;
    lost.lostAgents = {s_agent};
    EXPECT_FALSE(expectsAbsentAgent(lost, members, s_start + 5s)) << "its upstream is lost with its machine";
}

// As above by a balancer that starts while all others leave: it knows the agents from the directory only.
TEST(MemberKnowledgeTest, AgentOfWhichOnlyTheDirectoryTellsMayHaveStopped)
{
    protocol::MemberRecord listed = *table(Liveness::Alive, MemberState::Active).find(s_agent);
    listed.liveness = Liveness::Unconfirmed;
    MembershipTable members({}, s_self);
    members.merge({listed}, s_start);
    EXPECT_TRUE(expectsAbsentAgent({}, members, s_start));
    listed.upstreamLeftAt = 1ms;
    MembershipTable departed({}, s_self);
    departed.merge({listed}, s_start);
    EXPECT_FALSE(expectsAbsentAgent({}, departed, s_start)) << "it has nothing to come back for";
}

// As above by a balancer that leaves: no peer tells it of agents that stop, so that their flows went from one upstream
// to the next for as long as it got packets.
TEST(MemberKnowledgeTest, BalancerThatLeavesExpectsAgentsBack)
{
    CoverageInputs leaving;
    leaving.isLeaving = true;
    EXPECT_TRUE(expectsAbsentAgent(leaving, table(Liveness::Alive, MemberState::Active), s_start + 5s));
}

// Guards against callers of lost flows that wait for an agent whose upstream had left before it died.
TEST(MemberKnowledgeTest, DeadAgentWhoseUpstreamHadLeftIsNotAwaited)
{
    protocol::MemberRecord record = *table(Liveness::Alive, MemberState::Stopping).find(s_agent);
    MembershipTable members({}, s_self);
    record.version = 2;
    record.upstreamLeftAt = 1ms;
    members.merge({record}, s_start);
    record.liveness = Liveness::Dead;
    members.merge({record}, s_start);
    const TimePoint now = s_start + 5s;
    EXPECT_EQ(coverageOf(agreed(now), members, now), Coverage::Full);
    EXPECT_FALSE(expectsAbsentAgent({}, members, now));
    EXPECT_TRUE(silentAgents(members, now).empty());
}

// Guards against silent agents that are not probed, and against probes of agents that respond or have left.
TEST(MemberKnowledgeTest, SuspectsAndDeadAgentsAreSilent)
{
    const TimePoint now = s_start + 5s;
    EXPECT_EQ(silentAgents(table(Liveness::Suspect, MemberState::Active), now).size(), 1U);
    EXPECT_EQ(silentAgents(table(Liveness::Dead, MemberState::Active), now).size(), 1U);
    EXPECT_TRUE(silentAgents(table(Liveness::Alive, MemberState::Active), now).empty());
    EXPECT_TRUE(silentAgents(table(Liveness::Suspect, MemberState::Left), now).empty());
    EXPECT_TRUE(silentAgents(table(Liveness::Dead, MemberState::Active), s_start + 70s).empty());
}

// Guards against resets of open flows by a balancer that is leaving: it still receives packets, but its peers do not
// inform it of an agent that has just started (issue 15).
TEST(MemberKnowledgeTest, BalancerThatLeavesDoesNotTrustItsMembers)
{
    control::GossipNetwork network(1, 0.0);
    for (const char *name : {"balancer-1", "balancer-2", "balancer-3", "balancer-4"}) {
        network.add(name, protocol::MemberRole::Balancer);
    }
    const std::uint64_t agent = network.add("host-1", protocol::MemberRole::Agent, "tally").self().id;
    network.run(10s);
    // New processes contact the first three balancers, which are the seeds.
    const control::GossipEngine &leaving = network.engine("balancer-4");
    const auto coverage = [&]() {
        const CoverageInputs knowledge {network.now - 10s,
                                        leaving.agreedAt().value_or(TimePoint()),
                                        std::set<std::uint64_t> {agent},
                                        leaving.self().state == MemberState::Left};
        return coverageOf(knowledge, leaving.members(), network.now);
    };
    ASSERT_TRUE(network.runUntil([&]() { return coverage() == Coverage::Full; }, 10s));
    network.send("balancer-4", control::SelfChanged {MemberState::Left, {}});
    network.run(100ms);
    const std::uint64_t joined = network.add("host-2", protocol::MemberRole::Agent, "tally").self().id;
    network.run(500ms);
    ASSERT_NE(network.engine("balancer-2").members().find(joined), nullptr);
    EXPECT_EQ(leaving.members().find(joined), nullptr);
    EXPECT_EQ(coverage(), Coverage::Partial);
}

// Guards against packets for a balancer that is not configured, has no agents, is isolated or is about to stop.
TEST(MemberKnowledgeTest, ReadyOnlyWithConfigurationMembersAndPeers)
{
    EXPECT_TRUE(isReady({false, true, true, 1s}));
    EXPECT_FALSE(isReady({true, true, true, 1s}));
    EXPECT_FALSE(isReady({false, false, true, 1s}));
    EXPECT_FALSE(isReady({false, true, false, 1s}));
    EXPECT_FALSE(isReady({false, true, true, 3s}));
    EXPECT_FALSE(isReady({false, true, true, 1s, false}));
}

} // namespace samphireswitch::balancer
