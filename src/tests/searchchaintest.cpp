#include "routing/searchchain.h"

#include <gtest/gtest.h>

namespace samphireswitch::routing {

namespace {

protocol::Candidate agent(std::uint64_t number)
{
    return {AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}};
}

protocol::EnvelopeHeader search(std::size_t agents)
{
    protocol::EnvelopeHeader header;
    for (std::uint64_t number = 1; number <= agents; ++number) {
        header.chain.push_back(agent(number));
    }
    return header;
}

} // namespace

// Guards against a search that asks an agent twice, omits an agent or does not end. A deferred agent, which does not
// know whether it owns the flow, is asked a second time, after all agents that were not asked yet.
TEST(SearchChainTest, EachAgentIsAskedOnceAndDeferredAgentsTwice)
{
    protocol::EnvelopeHeader header = search(4);
    deferCurrentAgent(header);
    EXPECT_EQ(header.chain[header.hop], agent(2));
    skipCurrentAgent(header);
    EXPECT_EQ(header.chain[header.hop], agent(3));
    advance(header);
    EXPECT_EQ(header.chain[header.hop], agent(4));
    EXPECT_FALSE(isDeferred(header));
    advance(header);
    EXPECT_EQ(header.chain[header.hop], agent(1));
    EXPECT_TRUE(isDeferred(header));
    EXPECT_FALSE(isSearchOver(header));
    advance(header);
    EXPECT_TRUE(isSearchOver(header));
    EXPECT_EQ(header.deferred, 0);
}

// Guards against wrong counts in the header after a deferred agent does not acknowledge the packet the second time.
TEST(SearchChainTest, DeferredAgentThatStopsRespondingIsUnanswered)
{
    protocol::EnvelopeHeader header = search(2);
    deferCurrentAgent(header);
    advance(header);
    skipCurrentAgent(header);
    EXPECT_EQ(header.deferred, 0);
    EXPECT_EQ(header.unanswered, 1);
    EXPECT_TRUE(isSearchOver(header));
}

// Guards against a packet that goes to an upstream without evidence while another one may hold its flow.
TEST(SearchChainTest, OnlyPossibleOwnerIsTheOneThatNobodyElseLeavesOut)
{
    protocol::EnvelopeHeader header = search(3);
    header.exhaustive.emplace();
    header.allowsTrial = true;
    deferCurrentAgent(header);
    EXPECT_FALSE(isOnlyPossibleOwner(header)) << "agents are left that were not asked";
    advance(header);
    protocol::EnvelopeHeader second = header;
    deferCurrentAgent(second);
    EXPECT_FALSE(isOnlyPossibleOwner(second)) << "two cannot tell";
    protocol::EnvelopeHeader silent = header;
    skipCurrentAgent(silent);
    EXPECT_FALSE(isOnlyPossibleOwner(silent)) << "one did not answer";
    advance(header);
    EXPECT_EQ(header.chain[header.hop], agent(1));
    EXPECT_TRUE(isOnlyPossibleOwner(header));
    header.allowsTrial = false;
    EXPECT_FALSE(isOnlyPossibleOwner(header)) << "an agent that is away may own the flow";
    header.allowsTrial = true;
    header.exhaustive.reset();
    EXPECT_FALSE(isOnlyPossibleOwner(header)) << "the chain may lack an agent";
}

// Guards against a repeated search that asks agents that have already answered.
TEST(SearchChainTest, SearchIsRepeatedForTheUnansweredAgents)
{
    protocol::EnvelopeHeader header = search(3);
    header.exhaustive.emplace();
    skipCurrentAgent(header);
    advance(header);
    skipCurrentAgent(header);
    const protocol::EnvelopeHeader repeated = repeatForUnanswered(header);
    EXPECT_EQ(repeated.chain, (protocol::CandidateChain {agent(1), agent(3)}));
    EXPECT_EQ(repeated.hop, 0);
    EXPECT_EQ(repeated.unanswered, 0);
    EXPECT_FALSE(repeated.exhaustive.has_value()) << "an agent that was not in the chain may have returned";
}

} // namespace samphireswitch::routing
