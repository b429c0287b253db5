#include "balancer/memberknowledge.h"
#include "bench/gossipnetwork.h"
#include "control/directoryentry.h"

#include <gtest/gtest.h>

#include <string>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;

constexpr int s_balancers = 6;
constexpr int s_goneBalancers = 4;
constexpr std::size_t s_agents = 8;

std::string balancerName(int index)
{
    return "balancer-" + std::to_string(index);
}

} // namespace

// Guards against resets of open flows by a balancer that has just started. The directory lacked agents, the balancers
// that the new balancer contacted first had ended, and it relied on the directory for 2 s without an answer of any peer
// (issue 15).
TEST(StartKnowledgeTest, IncompleteDirectoryIsNotTrustedWithoutAnAnswer)
{
    const ServiceId service = ServiceId::fromName("tally");
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        control::GossipNetwork network(seed, 0.0);
        network.settings.announceInterval = 300ms;
        network.settings.digestInterval = 500ms;
        for (int index = 0; index < s_balancers; ++index) {
            network.add(balancerName(index), protocol::MemberRole::Balancer);
        }
        for (std::size_t index = 0; index < s_agents; ++index) {
            network.add("host-" + std::to_string(index), protocol::MemberRole::Agent, "tally");
        }
        network.run(8s);
        control::MembersReceived directory;
        for (int index = 0; index < s_balancers; ++index) {
            directory.records.push_back(network.engine(balancerName(index)).self());
        }
        protocol::MemberRecord named = network.engine("host-0").self();
        named.liveness = protocol::Liveness::Unconfirmed;
        directory.records.push_back(named);
        for (int index = 0; index < s_goneBalancers; ++index) {
            network.remove(balancerName(index));
        }
        const TimePoint startedAt = network.now;
        const control::GossipEngine &fresh = network.add("balancer-new", protocol::MemberRole::Balancer);
        network.send("balancer-new", directory);
        const bool isWrong = network.runUntil(
            [&]() {
                const CoverageInputs knowledge {
                    startedAt, fresh.agreedAt().value_or(TimePoint()), {{named.id}}, false, fresh.hasPeerAnswered()};
                const bool isTrusted =
                    coverageOf(knowledge, fresh.members(), network.now) != routing::Coverage::Partial;
                return isTrusted && fresh.members().agentsOf(service).size() < s_agents;
            },
            2s);
        EXPECT_FALSE(isWrong) << "seed " << seed;
    }
}

// Guards against resets of open flows by a balancer that has just started: an agent announced its stop, was found dead
// before the balancer started, and is expected back with the flows of its upstream (issue 33).
TEST(StartKnowledgeTest, AgentThatStoppedBeforeTheStartIsAwaited)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        control::GossipNetwork network(seed, 0.0);
        network.settings.announceInterval = 300ms;
        network.settings.digestInterval = 500ms;
        network.settings.membership.suspectAfter = 1200ms;
        network.settings.membership.deadAfter = 4s;
        for (int index = 0; index < s_balancers; ++index) {
            network.add(balancerName(index), protocol::MemberRole::Balancer);
        }
        for (std::size_t index = 0; index < s_agents; ++index) {
            network.add("host-" + std::to_string(index), protocol::MemberRole::Agent, "tally");
        }
        network.run(8s);
        network.send("host-0", control::SelfChanged {protocol::MemberState::Stopping, {}});
        network.run(500ms);
        const std::uint64_t stopped = network.engine("host-0").self().id;
        network.remove("host-0");
        network.run(7s);
        const control::GossipEngine &peer = network.engine(balancerName(0));
        ASSERT_TRUE(isGone(*peer.members().find(stopped)));
        control::MembersReceived directory;
        for (int index = 0; index < s_balancers; ++index) {
            const control::GossipEngine &engine = network.engine(balancerName(index));
            const auto entry = control::directoryEntry(engine.self(), engine.members());
            directory.records.insert(directory.records.end(), entry.records.begin(), entry.records.end());
        }
        const TimePoint startedAt = network.now;
        const control::GossipEngine &fresh = network.add("balancer-new", protocol::MemberRole::Balancer);
        network.send("balancer-new", directory);
        const bool isWrong = network.runUntil(
            [&]() {
                CoverageInputs inputs;
                inputs.startedAt = startedAt;
                inputs.agreedAt = fresh.agreedAt().value_or(TimePoint());
                inputs.agentsAtStart = control::agentsOf(directory.records);
                inputs.hasPeerAnswered = fresh.hasPeerAnswered();
                return !routing::mayMissOwner(coverageOf(inputs, fresh.members(), network.now));
            },
            5s);
        EXPECT_FALSE(isWrong) << "seed " << seed;
    }
}

} // namespace samphireswitch::balancer
