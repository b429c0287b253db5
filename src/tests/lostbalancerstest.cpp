#include "bench/gossipnetwork.h"
#include "control/storereadduty.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace samphireswitch::control {

namespace {

using protocol::Liveness;
using protocol::MemberRecord;
using protocol::MemberRole;
using namespace std::chrono_literals;

/** The timing of deploy/balancer.ini and deploy/agent.ini. */
GossipSettings platformSettings()
{
    GossipSettings settings;
    settings.announceInterval = 300ms;
    settings.digestInterval = 500ms;
    settings.registrarTimeout = 1200ms;
    settings.registrarBackoff = 4s;
    settings.membership.suspectAfter = 1200ms;
    settings.membership.deadAfter = 4s;
    settings.membership.orphanAfter = 8s;
    return settings;
}

std::string balancerName(int number)
{
    return "balancer-" + std::to_string(number);
}

/** A network of @p balancers balancers and two agents that know each other. */
GossipNetwork convergedNetwork(int balancers, std::uint64_t seed, double loss = 0.0)
{
    GossipNetwork network(seed, loss);
    network.settings = platformSettings();
    for (int number = 1; number <= balancers; ++number) {
        network.add(balancerName(number), MemberRole::Balancer);
    }
    for (const char *name : {"host-1", "host-2"}) {
        network.add(name, MemberRole::Agent, "tally");
    }
    network.run(10s);
    return network;
}

} // namespace

// Guards against a new balancer that takes lost ones for alive because the directory still lists them: two of them held
// the duty to watch the store, so that the new one followed no further configuration (review, case 3).
TEST(LostBalancersTest, BalancerKnownFromTheDirectoryOnlyHoldsNoDuty)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GossipNetwork network = convergedNetwork(3, seed);
        std::vector<MemberRecord> records;
        for (int number = 1; number <= 3; ++number) {
            records.push_back(network.engine(balancerName(number)).self());
        }
        for (int number = 1; number <= 3; ++number) {
            network.remove(balancerName(number));
        }
        const std::string name = "balancer-new-" + std::to_string(seed);
        const GossipEngine &added = network.add(name, MemberRole::Balancer);
        network.send(name, MembersReceived {records});
        EXPECT_TRUE(added.members().liveBalancers().empty()) << name;
        EXPECT_TRUE(shouldWatchStore(added.self(), added.members())) << name;
        network.run(10s);
        EXPECT_TRUE(added.members().liveBalancers().empty()) << name;
    }
}

// Guards against a new balancer that waits for its seeds although the directory names live balancers.
TEST(LostBalancersTest, BalancerKnownFromTheDirectoryIsContacted)
{
    GossipNetwork network = convergedNetwork(3, 1);
    const MemberRecord live = network.engine(balancerName(3)).self();
    MemberRecord lost = live;
    lost.id = hashText("lost");
    lost.name = "lost";
    lost.control = {9, 9};
    const GossipEngine &added = network.add("balancer-new", MemberRole::Balancer);
    network.send("balancer-new", SeedsChanged {{{9, 9}}});
    network.send("balancer-new", MembersReceived {{lost, live}});
    EXPECT_TRUE(network.runUntil([&]() { return added.members().liveBalancers().size() == 3; }, 1s));
    EXPECT_TRUE(added.hasPeerAnswered());
    EXPECT_EQ(added.members().find(lost.id)->liveness, Liveness::Unconfirmed);
}

// Guards against balancers that stay alive in the tables of the others for long because the balancers to which they
// reported are lost too.
TEST(LostBalancersTest, SurvivorsNoticeBalancersThatAreLostTogether)
{
    constexpr int balancers = 8;
    constexpr int survivors = 2;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GossipNetwork network = convergedNetwork(balancers, seed);
        for (int number = survivors + 1; number <= balancers; ++number) {
            network.remove(balancerName(number));
        }
        const bool isNoticed = network.runUntil(
            [&]() {
                return network.engine(balancerName(1)).members().liveBalancers().size() == survivors - 1
                    && network.engine(balancerName(2)).members().liveBalancers().size() == survivors - 1;
            },
            15s);
        EXPECT_TRUE(isNoticed) << "seed " << seed;
    }
}

// Guards against a single balancer that goes on with lost ones: with nobody else, it has to notice each by itself.
TEST(LostBalancersTest, LastBalancerNoticesThatItIsAlone)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GossipNetwork network = convergedNetwork(4, seed);
        for (int number = 2; number <= 4; ++number) {
            network.remove(balancerName(number));
        }
        const GossipEngine &last = network.engine(balancerName(1));
        EXPECT_TRUE(network.runUntil([&]() { return last.members().liveBalancers().empty(); }, 15s)) << "seed " << seed;
    }
}

// Guards against live balancers that are reported as failed because some of the messages that ask them are lost.
TEST(LostBalancersTest, LossOfMessagesMakesNoBalancerSuspectForLong)
{
    GossipNetwork network = convergedNetwork(8, 1, 0.1);
    int complete = 0;
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        network.run(100ms);
        complete += network.engine(balancerName(1)).members().liveBalancers().size() == 7 ? 1 : 0;
    }
    EXPECT_GE(complete, rounds - 4);
}

} // namespace samphireswitch::control
