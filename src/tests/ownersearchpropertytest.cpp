#include "passthrough/passthroughadmission.h"
#include "protocol/datagramcodec.h"
#include "upstreamreports.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr std::uint64_t s_agents = 12;
constexpr std::uint64_t s_noOwner = 0;

protocol::Candidate agent(std::uint64_t number)
{
    return {AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}};
}

flow::Segment packet()
{
    flow::Segment segment;
    segment.key = {{0x64400007, 40001}, {0xc6120001, 443}};
    segment.acknowledgementNumber = 5001;
    segment.ack = true;
    return segment;
}

/** A search over a set of agents, of which some have restarted, some do not run, and at most one owns the flow. */
class Search
{
public:
    Search(std::mt19937_64 &random, std::uint64_t owner, bool haveStopped, bool isExhaustive)
        : m_owner(owner)
        , m_isExhaustive(isExhaustive)
    {
        for (std::uint64_t number = 1; number <= s_agents; ++number) {
            // The owner has restarted. Otherwise it would know its flow, and the search would end at its first turn.
            const bool hasRestarted = random() % 2 == 0;
            const bool isDown = haveStopped && random() % 3 == 0;
            add(number, number == owner || hasRestarted, number != owner && isDown);
        }
    }

    /** All agents run, and at most one has restarted: number @p restarted. */
    Search(std::uint64_t owner, std::uint64_t restarted)
        : m_owner(owner)
        , m_isExhaustive(true)
    {
        for (std::uint64_t number = 1; number <= s_agents; ++number) {
            add(number, number == restarted, false);
        }
    }

    /** Passes the packet from agent to agent until it reaches the owner's upstream or the search ends. */
    void run()
    {
        protocol::EnvelopeHeader header;
        header.search = 77;
        if (m_isExhaustive) {
            header.exhaustive.emplace();
            header.allowsTrial = true;
        }
        for (std::uint64_t number = 1; number <= s_agents; ++number) {
            header.chain.push_back(agent(number));
        }
        // A running agent stands in for the balancer, which skips agents that do not acknowledge in the same way.
        PassthroughAdmission *sender = m_agents.at(m_running.empty() ? 1 : *m_running.begin()).get();
        PacketAction action = PassToAgent {header, true};
        while (const auto *pass = std::get_if<PassToAgent>(&action)) {
            const protocol::EnvelopeHeader sent = overTheWire(pass->header);
            const std::uint64_t number = sent.chain[sent.hop].agent.value;
            if (!m_running.contains(number)) {
                action = sender->agentSilent(sent, packet()).action;
                continue;
            }
            sender = m_agents.at(number).get();
            action = visit(number, sent);
        }
        end = action;
    }

    const std::set<std::uint64_t> &running() const
    {
        return m_running;
    }

    /** The agents that run and cannot tell whether they own the flow. */
    const std::set<std::uint64_t> &undecided() const
    {
        return m_undecided;
    }

    /** The action that ended the search. */
    PacketAction end;
    /** Number of deliveries to upstreams that do not hold the flow, by agent. */
    std::map<std::uint64_t, int> wrongDeliveries;

private:
    void add(std::uint64_t number, bool hasRestarted, bool isDown)
    {
        PassthroughSettings settings;
        settings.agent = AgentId {number};
        settings.dataAddress = agent(number).endpoint;
        settings.recordsServedRuns = true;
        m_agents[number] = std::make_unique<PassthroughAdmission>(settings, s_start);
        if (!hasRestarted) {
            tests::startBesideUnservedRun(*m_agents[number], s_start);
        }
        if (!isDown) {
            m_running.insert(number);
        }
        if (!isDown && hasRestarted) {
            m_undecided.insert(number);
        }
    }

    PacketAction visit(std::uint64_t number, const protocol::EnvelopeHeader &header)
    {
        PassthroughAdmission &admission = *m_agents.at(number);
        const Decision decision = admission.packetArrived(header, packet(), s_start);
        const auto *delivery = std::get_if<DeliverToUpstream>(&decision.action);
        if (delivery == nullptr || number == m_owner) {
            return decision.action;
        }
        ++wrongDeliveries[number];
        flow::Segment returned = packet();
        returned.returned = true;
        returned.returnMark = delivery->mark;
        return admission.upstreamSent(returned, s_start).action;
    }

    /** The header after encoding and decoding. The test fails if the encoded header cannot be decoded. */
    static protocol::EnvelopeHeader overTheWire(const protocol::EnvelopeHeader &header)
    {
        protocol::DatagramCodec codec;
        const auto bytes = codec.encodeEnvelope(header, {}, 1);
        const auto datagram = codec.decode(bytes.value());
        EXPECT_TRUE(datagram) << "hop " << int(header.hop) << " of " << header.chain.size();
        return std::get<protocol::Envelope>(datagram.value().message).header;
    }

    std::uint64_t m_owner;
    bool m_isExhaustive;
    std::map<std::uint64_t, std::unique_ptr<PassthroughAdmission>> m_agents;
    std::set<std::uint64_t> m_running;
    std::set<std::uint64_t> m_undecided;
};

/** The balancer resets the caller, which needs the answer of each agent, once. */
void expectEveryAnswer(const Search &search)
{
    const auto *ended = std::get_if<EndSearch>(&search.end);
    ASSERT_NE(ended, nullptr);
    EXPECT_EQ(ended->message.search.answers.count, s_agents);
    EXPECT_EQ(ended->message.search.answers.returned, search.undecided().size());
    EXPECT_EQ(ended->message.acknowledgementNumber, packet().acknowledgementNumber);
}

} // namespace

// Guards against a search that misses the owner because some agents have restarted or do not run, and against packets
// of an open flow that reach other upstreams (issues 15 and 48): the owner gets the packet if nobody else may own the
// flow, and is among those that are asked again if others may.
TEST(OwnerSearchPropertyTest, OwnerIsReachedOrAskedAgain)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        const std::uint64_t owner = 1 + random() % s_agents;
        Search search(random, owner, true, seed % 2 == 0);
        search.run();
        EXPECT_TRUE(search.wrongDeliveries.empty()) << "seed " << seed;
        const bool isOnlyOne = search.undecided().size() == 1 && search.running().size() == s_agents;
        if (isOnlyOne && seed % 2 == 0) {
            EXPECT_TRUE(std::holds_alternative<DeliverToUpstream>(search.end)) << "seed " << seed;
            continue;
        }
        const auto *returned = std::get_if<ReturnSearch>(&search.end);
        ASSERT_NE(returned, nullptr) << "seed " << seed;
        EXPECT_NE(std::ranges::find(returned->header.chain, agent(owner)), returned->header.chain.end())
            << "seed " << seed;
    }
}

// Guards against a flow that is lost although its owner is the only agent that has restarted.
TEST(OwnerSearchPropertyTest, OnlyAgentThatCannotTellIsReached)
{
    for (std::uint64_t owner = 1; owner <= s_agents; ++owner) {
        Search search(owner, owner);
        search.run();
        EXPECT_TRUE(std::holds_alternative<DeliverToUpstream>(search.end)) << "owner " << owner;
        EXPECT_TRUE(search.wrongDeliveries.empty()) << "owner " << owner;
    }
}

// Guards against the reset of an open flow whose owner is temporarily not running, and against callers of a lost flow
// that get no reset although every agent has answered.
TEST(OwnerSearchPropertyTest, CallerIsResetOnceEveryAgentHasAnswered)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        Search search(random, s_noOwner, seed % 2 == 0, true);
        search.run();
        const std::set<std::uint64_t> &undecided = search.undecided();
        if (search.running().size() == s_agents && undecided.size() <= 1) {
            expectEveryAnswer(search);
            continue;
        }
        const auto *returned = std::get_if<ReturnSearch>(&search.end);
        ASSERT_NE(returned, nullptr) << "seed " << seed;
        EXPECT_FALSE(returned->header.exhaustive) << "seed " << seed;
        EXPECT_EQ(returned->header.chain.size(), s_agents - search.running().size() + undecided.size())
            << "seed " << seed;
        for (const protocol::Candidate &asked : returned->header.chain) {
            const std::uint64_t number = asked.agent.value;
            EXPECT_TRUE(!search.running().contains(number) || undecided.contains(number)) << "seed " << seed;
        }
        EXPECT_TRUE(search.wrongDeliveries.empty()) << "seed " << seed;
    }
    for (std::uint64_t restarted = 0; restarted <= s_agents; ++restarted) {
        Search search(s_noOwner, restarted);
        search.run();
        expectEveryAnswer(search);
    }
}

} // namespace samphireswitch::passthrough
