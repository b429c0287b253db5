#include "bench/gossipnetwork.h"
#include "configuration/evacuation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace samphireswitch::control {

namespace {

using configuration::ConfigurationConfirmation;
using configuration::ConfigurationUpdate;
using configuration::ServiceRecord;
using protocol::MemberRole;
using namespace std::chrono_literals;
using Domains = std::vector<std::string>;

constexpr double s_loss = 0.05;
constexpr Generation s_generation = 7;
/** Within which an order has to be in force everywhere, from its read on. */
constexpr std::chrono::milliseconds s_limit = 4000ms;

ServiceRecord route()
{
    ServiceRecord record;
    record.name = "route-board";
    record.address = 1;
    record.requestPort = 443;
    record.pools = {{"tally", 1}};
    return record;
}

/** Balancers of which the first two read the store, as long as it serves them, and agents that never do. */
class EvacuationGossipTest : public testing::TestWithParam<std::uint64_t>
{
protected:
    EvacuationGossipTest()
        : network(GetParam(), s_loss)
    {
        network.settings.wholeConfiguration = true;
        network.settings.digestInterval = 500ms;
        network.settings.announceInterval = 300ms;
        for (const std::string &name : readers) {
            network.add(name, MemberRole::Balancer);
        }
        add("balancer-3", MemberRole::Balancer);
        add("host-1", MemberRole::Agent);
        add("host-2", MemberRole::Agent);
        readAll();
        runWithReads(5000ms);
    }

    void add(const std::string &name, MemberRole role)
    {
        network.add(name, role, role == MemberRole::Agent ? "tally" : "");
        others.push_back(name);
    }

    /** One read of the store by @p reader. */
    void read(const std::string &reader)
    {
        std::vector<ServiceRecord> records {route()};
        for (const std::string &domain : ordered) {
            records.push_back(configuration::evacuationOf(domain, records));
        }
        auto patch = configuration::wholeConfiguration(s_generation, std::move(records));
        const auto &table = network.engine(reader).configuration();
        if (table.generation() == patch.generation && table.contentHash() == patch.contentHash) {
            if (isDocumentUsable) {
                network.send(reader, ConfigurationConfirmation {patch.generation, patch.contentHash, network.now});
            }
        } else {
            network.send(reader, ConfigurationUpdate {std::move(patch), network.now, true, !isDocumentUsable});
        }
    }

    void readAll()
    {
        for (const std::string &reader : readers) {
            read(reader);
        }
    }

    /** Lets @p duration pass, with reads as after a change: the next one follows soon. */
    void runWithReads(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds interval = 600ms;
        for (auto passed = 0ms; passed < duration; passed += interval) {
            network.run(interval);
            readAll();
        }
        // A read begins after the one before it, here by far less than the margin of confirmations.
        network.run(50ms);
    }

    void expectEverywhere(const Domains &domains)
    {
        std::vector<std::string> names = readers;
        names.insert(names.end(), others.begin(), others.end());
        for (const std::string &name : names) {
            EXPECT_EQ(configuration::evacuatedDomains(network.engine(name).configuration()), domains) << name;
            EXPECT_EQ(network.engine(name).configuration().generation(), s_generation) << name;
        }
    }

    std::vector<std::string> readers {"balancer-1", "balancer-2"};
    std::vector<std::string> others;
    /** What the operator has ordered. */
    Domains ordered;
    /** Whether a read confirms the whole content. */
    bool isDocumentUsable = true;
    GossipNetwork network;
};

} // namespace

// Guards against processes which the store turns away, and agents, that learn of an evacuation only with the next
// version of the configuration.
TEST_P(EvacuationGossipTest, ProcessesThatDoNotReadLearnFromPeers)
{
    ordered = {"ghiffa"};
    readAll();
    EXPECT_EQ(configuration::evacuatedDomains(network.engine("balancer-1").configuration()), ordered);
    runWithReads(s_limit);
    expectEverywhere(ordered);
    ordered = {"cannero", "ghiffa"};
    readAll();
    runWithReads(s_limit);
    expectEverywhere(ordered);
    ordered = {"cannero"};
    readAll();
    runWithReads(s_limit);
    expectEverywhere(ordered);
}

// Guards against an evacuation and its end within less than the margin of confirmations, of which some processes keep
// the first.
TEST_P(EvacuationGossipTest, EvacuationTakenBackAtOnceEndsEverywhere)
{
    ordered = {"ghiffa"};
    readAll();
    network.run(200ms);
    ordered = {};
    readAll();
    EXPECT_EQ(configuration::evacuatedDomains(network.engine("balancer-1").configuration()), ordered);
    runWithReads(s_limit);
    expectEverywhere({});
}

// Guards against an evacuation that is forgotten while the store is away, and is not told to processes that start then.
TEST_P(EvacuationGossipTest, EvacuationOutlastsTheStoreAndReachesNewProcesses)
{
    ordered = {"ghiffa"};
    readAll();
    runWithReads(s_limit);
    network.run(60s);
    expectEverywhere(ordered);
    add("balancer-4", MemberRole::Balancer);
    add("host-3", MemberRole::Agent);
    network.run(s_limit);
    expectEverywhere(ordered);
}

// Guards against a process that joins between the order and its confirmation, and takes the content of a peer that does
// not know the order yet for the newest.
TEST_P(EvacuationGossipTest, ProcessThatJoinsInTheMiddleLearnsTheOrder)
{
    ordered = {"ghiffa"};
    read("balancer-1");
    add("balancer-4", MemberRole::Balancer);
    add("host-3", MemberRole::Agent);
    network.run(300ms);
    runWithReads(s_limit);
    expectEverywhere(ordered);
}

// Guards against orders that stay with the readers because nobody can confirm the rest of the configuration.
TEST_P(EvacuationGossipTest, OrdersReachAllProcessesWithoutAUsableDocument)
{
    isDocumentUsable = false;
    ordered = {"ghiffa"};
    readAll();
    runWithReads(s_limit);
    expectEverywhere(ordered);
    ordered = {"cannero"};
    readAll();
    runWithReads(s_limit);
    expectEverywhere(ordered);
}

// Guards against an order that stays with one process because the store serves no other, and turns it away afterwards.
TEST_P(EvacuationGossipTest, OneReaderThatIsTurnedAwayAfterwardsSuffices)
{
    network.run(2000ms);
    ordered = {"ghiffa"};
    read("balancer-2");
    network.run(s_limit);
    expectEverywhere(ordered);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EvacuationGossipTest, testing::Values(1, 2, 3, 4, 5));

} // namespace samphireswitch::control
