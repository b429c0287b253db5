#include "routing/deniedflows.h"

#include <gtest/gtest.h>

namespace samphireswitch::routing {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr std::uint32_t s_version = 4;

flow::FlowKey key(std::uint16_t port)
{
    return {{0x64400007, port}, {0xc6120001, 443}};
}

protocol::Candidate agent(std::uint64_t number)
{
    return {AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}};
}

} // namespace

// Guards against a search over all agents with each packet of a lost flow. The load: callers of thousands of lost flows
// repeat their packets while an agent that stopped is expected back.
TEST(DeniedFlowsTest, DenialHoldsUntilAnAgentJoins)
{
    DeniedFlows flows;
    flows.searchBegan(key(1), s_version, s_start);
    EXPECT_FALSE(flows.isDenied(key(1), s_version, s_start)) << "nobody has answered yet";
    flows.denied(key(1), s_version, {}, s_start + 50ms);
    EXPECT_TRUE(flows.isDenied(key(1), s_version, s_start + 1s));
    EXPECT_FALSE(flows.isDenied(key(2), s_version, s_start + 1s));
    EXPECT_FALSE(flows.isDenied(key(1), s_version + 1, s_start + 1s)) << "an agent has joined, or is back";
    EXPECT_FALSE(flows.isDenied(key(1), s_version, s_start + 16s));
}

// Guards against an owner that is never asked again because it could not tell, or its answer was lost.
TEST(DeniedFlowsTest, AgentsWithoutAnAnswerAreRemembered)
{
    DeniedFlows flows;
    flows.searchBegan(key(1), s_version, s_start);
    const std::vector<protocol::Candidate> silent {agent(3)};
    flows.denied(key(1), s_version, silent, s_start);
    EXPECT_EQ(flows.undecided(s_start + 14s), silent);
    flows.searchBegan(key(2), s_version, s_start + 14s);
    flows.denied(key(2), s_version, silent, s_start + 14s);
    EXPECT_EQ(flows.undecided(s_start + 28s), silent) << "as long as the latest denial";
    EXPECT_TRUE(flows.undecided(s_start + 29s).empty());
}

// Guards against a denial that forgets some of the agents that did not answer.
TEST(DeniedFlowsTest, NothingIsDeniedWhileTooManyAgentsDoNotAnswer)
{
    DeniedFlows flows({15s, 64, 2});
    flows.searchBegan(key(1), s_version, s_start);
    const std::vector<protocol::Candidate> silent {agent(1), agent(2), agent(3)};
    flows.denied(key(1), s_version, silent, s_start);
    EXPECT_FALSE(flows.isDenied(key(1), s_version, s_start));
}

// Guards against a denial of a flow whose search was begun anew, and of one whose entry another flow has taken.
TEST(DeniedFlowsTest, OnlyTheLatestSearchCounts)
{
    DeniedFlows flows({15s, 1, 16});
    flows.denied(key(1), s_version, {}, s_start);
    EXPECT_FALSE(flows.isDenied(key(1), s_version, s_start)) << "no search has begun";
    flows.searchBegan(key(1), s_version, s_start);
    flows.denied(key(1), s_version, {}, s_start);
    flows.searchBegan(key(1), s_version, s_start + 1s);
    EXPECT_FALSE(flows.isDenied(key(1), s_version, s_start + 1s));
    flows.searchBegan(key(2), s_version, s_start + 1s);
    flows.denied(key(1), s_version, {}, s_start + 1s);
    EXPECT_FALSE(flows.isDenied(key(1), s_version, s_start + 1s));
}

// Guards against an owner that is not asked although it is back: the answers to a search that began before count as
// answers to the one that asks it.
TEST(DeniedFlowsTest, AnswersToASearchOfAnotherSetDoNotCount)
{
    DeniedFlows flows;
    flows.searchBegan(key(1), s_version, s_start);
    flows.searchBegan(key(1), s_version + 1, s_start + 1s);
    flows.denied(key(1), s_version, {}, s_start + 2s);
    EXPECT_FALSE(flows.isDenied(key(1), s_version + 1, s_start + 2s));
    flows.denied(key(1), s_version + 1, {}, s_start + 2s);
    EXPECT_TRUE(flows.isDenied(key(1), s_version + 1, s_start + 2s));
    flows.searchBegan(key(1), s_version + 2, s_start + 3s);
    flows.denied(key(1), {}, {}, s_start + 3s);
    EXPECT_TRUE(flows.isDenied(key(1), s_version + 2, s_start + 3s)) << "nothing tells which set was asked";
}

} // namespace samphireswitch::routing
