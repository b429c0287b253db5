#include "bench/gossipnetwork.h"
#include "configuration/configurationreplica.h"
#include "configuration/evacuation.h"
#include "tests/resulterror.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

namespace {

using control::GossipNetwork;
using protocol::MemberRole;
using Outcome = ConfigurationReplica::Outcome;
using Standing = ConfigurationReplica::Standing;

ServiceRecord route(const std::string &name, const std::string &pool = "tally")
{
    ServiceRecord record;
    record.name = name;
    record.address = 1;
    record.requestPort = 443;
    record.pools = {{pool, 1}};
    return record;
}

/** A table that has read the document @p records at @p generation. */
ConfigurationTable tableWith(Generation generation, const std::vector<ServiceRecord> &records)
{
    ConfigurationTable table;
    EXPECT_TRUE(table.apply(wholeConfiguration(generation, records)));
    return table;
}

/** Applies the configuration of @p peer to @p table, as an answer to the request of @p table. */
void pull(ConfigurationTable &table, const ConfigurationTable &peer)
{
    EXPECT_TRUE(table.apply(peer.patchFor(table.contentHashes())));
}

/** Names of the services that are not removed. */
std::vector<std::string> servedNames(const ConfigurationTable &table)
{
    std::vector<std::string> names;
    for (const auto &[name, record] : table.services()) {
        if (!record.removed) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace

// Guards against a route that stays refused, and a dropped one that stays served, after a change that is taken back at
// once: a peer that read only the second version had no difference to send (review, case 1).
TEST(ConfigurationExchangeTest, PeerThatSkippedAVersionBringsTheWholeChange)
{
    const std::vector<ServiceRecord> whole {route("board"), route("entry")};
    ConfigurationTable skipping = tableWith(2, whole);
    ConfigurationTable following = tableWith(2, whole);
    ASSERT_TRUE(following.apply(wholeConfiguration(4, {route("board"), route("added")})));
    ASSERT_TRUE(skipping.apply(wholeConfiguration(6, whole)));
    pull(following, skipping);
    EXPECT_EQ(following.generation(), 6U);
    EXPECT_EQ(servedNames(following), (std::vector<std::string> {"board", "entry"}));
}

// Guards against the same fault within one process: the document was compared with the table at the start of the read,
// and a peer changed the table before the result was applied.
TEST(ConfigurationExchangeTest, DocumentIsRightWhateverChangedDuringItsRead)
{
    const std::vector<ServiceRecord> whole {route("board"), route("entry")};
    ConfigurationTable reader = tableWith(2, whole);
    const ConfigurationPatch read = wholeConfiguration(6, whole);
    pull(reader, tableWith(4, {route("board"), route("added")}));
    ASSERT_TRUE(reader.apply(read));
    EXPECT_EQ(servedNames(reader), (std::vector<std::string> {"board", "entry"}));
}

// Guards against serving a route that the operator has removed, also if the peer started after the removal and has no
// tombstone (found as CONFIG in an incident), and against a route that stays removed after it was added again.
TEST(ConfigurationExchangeTest, RouteIsRemovedAndComesBack)
{
    ConfigurationTable table = tableWith(8, {route("a"), route("dropped")});
    pull(table, tableWith(12, {route("a")}));
    EXPECT_TRUE(table.services().at("dropped").removed);
    EXPECT_FALSE(table.services().at("a").removed);
    ConfigurationTable third = tableWith(8, {route("dropped")});
    pull(third, table);
    EXPECT_TRUE(third.services().at("dropped").removed);
    ASSERT_TRUE(third.apply(wholeConfiguration(13, {route("a"), route("dropped")})));
    EXPECT_FALSE(third.services().at("dropped").removed);
    EXPECT_EQ(third.generation(), 13U);
}

// Guards against reverting the configuration because of an outdated answer of the store or a peer.
TEST(ConfigurationExchangeTest, OlderConfigurationChangesNothing)
{
    ConfigurationTable table = tableWith(5, {route("a")});
    EXPECT_EQ(errorOf([&] { return table.apply(wholeConfiguration(4, {})); }).code, ResultCode::GenerationOutdated);
    EXPECT_EQ(servedNames(table), (std::vector<std::string> {"a"}));
    EXPECT_EQ(table.generation(), 5U);
}

// Guards against sending all routes when one of them changed: the cost of a change to a process must not grow with the
// number of processes, and only with the square root of the number of routes.
TEST(ConfigurationExchangeTest, EqualServicesAreLeftOut)
{
    constexpr std::size_t routes = 1400;
    constexpr std::size_t recordsOfABucket = 24;
    std::vector<ServiceRecord> records;
    for (std::size_t number = 0; number < routes; ++number) {
        records.push_back(route("route-" + std::to_string(number)));
    }
    const ConfigurationTable table = tableWith(3, records);
    records.front().pools.front().pool = "leaf";
    const ConfigurationPatch patch = tableWith(4, records).patchFor(table.contentHashes());
    EXPECT_EQ(patch.buckets.size(), 1U);
    EXPECT_GE(patch.records.size(), 1U);
    EXPECT_LE(patch.records.size(), recordsOfABucket);
    EXPECT_LE(table.contentHashes().size(), s_contentBucketCount);
    EXPECT_TRUE(table.patchFor(table.contentHashes()).buckets.empty());
    EXPECT_EQ(tableWith(4, {route("a")}).patchFor(tableWith(3, {route("a")}).contentHashes()).records.size(), 0U);
}

// Guards against applying an answer to a table that changed after the request: the answer leaves out what was equal
// then. The next request must lead to an answer that fits.
TEST(ConfigurationExchangeTest, AnswerToAnotherContentIsNotApplied)
{
    const std::vector<ServiceRecord> first {route("board"), route("entry"), route("photo"), route("report")};
    std::vector<ServiceRecord> second = first;
    second[0].pools.front().pool = "leaf";
    std::vector<ServiceRecord> third = second;
    third[1].pools.front().pool = "leaf";
    const ConfigurationTable peer = tableWith(4, third);
    ConfigurationReplica replica;
    replica.receive({wholeConfiguration(2, second)});
    const std::size_t buckets = replica.requestHashes().size();
    ASSERT_NE(contentBucketOf(first[0].name, buckets), contentBucketOf(first[1].name, buckets));
    const ConfigurationPatch answer = peer.patchFor(replica.requestHashes());
    replica.receive({wholeConfiguration(3, first)});
    EXPECT_EQ(replica.receive({answer}), Outcome::Mismatched);
    EXPECT_EQ(replica.table().generation(), 3U);
    EXPECT_EQ(replica.table().contentHash(), wholeConfiguration(3, first).contentHash);
    EXPECT_EQ(replica.receive({peer.patchFor(replica.requestHashes())}), Outcome::Updated);
    EXPECT_EQ(replica.table().contentHash(), peer.contentHash());
}

// Guards against two processes that have the same generation and another content for good, whatever the cause.
TEST(ConfigurationExchangeTest, ContentThatTheStoreConfirmedLastReplacesTheOther)
{
    const TimePoint now = TimePoint {} + std::chrono::hours(1);
    ConfigurationReplica wrong;
    ConfigurationReplica right;
    wrong.receive({wholeConfiguration(6, {route("added")}), now - std::chrono::seconds(5)});
    right.receive({wholeConfiguration(6, {route("entry")}), now - std::chrono::seconds(1)});
    EXPECT_EQ(wrong.compare(right.summary(now), now), Standing::Newer);
    EXPECT_EQ(right.compare(wrong.summary(now), now), Standing::Older);
    EXPECT_EQ(right.receive({wrong.table().patchFor(right.requestHashes()), wrong.confirmedAt()}), Outcome::Unchanged);
    EXPECT_EQ(wrong.receive({right.table().patchFor(wrong.requestHashes()), right.confirmedAt()}), Outcome::Repaired);
    EXPECT_EQ(servedNames(wrong.table()), (std::vector<std::string> {"entry"}));
    EXPECT_EQ(wrong.compare(right.summary(now), now), Standing::Equal);
}

// Guards against two processes that swap their contents, because each takes the other's for the more recent one: an age
// does not count the time that its message was on its way.
TEST(ConfigurationExchangeTest, ContentsConfirmedAtTheSameTimeAreNotSwapped)
{
    const TimePoint now = TimePoint {} + std::chrono::hours(1);
    const TimePoint later = now + std::chrono::milliseconds(50);
    ConfigurationReplica first;
    ConfigurationReplica second;
    first.receive({wholeConfiguration(6, {route("a")}), now});
    second.receive({wholeConfiguration(6, {route("b")}), now});
    EXPECT_EQ(first.compare(second.summary(now), later), Standing::Undecided);
    EXPECT_EQ(second.compare(first.summary(now), later), Standing::Undecided);
}

// Guards against a confirmation that spreads to a process with another content, which then looks as if it were right.
TEST(ConfigurationExchangeTest, ConfirmationOfAnotherContentIsNotAdopted)
{
    const TimePoint now = TimePoint {} + std::chrono::hours(1);
    ConfigurationReplica wrong;
    wrong.receive({wholeConfiguration(6, {route("added")})});
    const std::uint64_t other = wholeConfiguration(6, {route("entry")}).contentHash;
    wrong.confirm(ReplicaSummary {6, other, std::chrono::milliseconds(10)}, now);
    wrong.confirm(ReplicaSummary {5, wrong.table().contentHash(), std::chrono::milliseconds(10)}, now);
    EXPECT_FALSE(wrong.confirmedAt());
    wrong.confirm(ReplicaSummary {6, wrong.table().contentHash(), std::chrono::milliseconds(10)}, now);
    EXPECT_EQ(wrong.confirmedAt(), now - std::chrono::milliseconds(10));
}

// Guards against hashes that differ between processes with the same content, and that are equal for another content.
TEST(ConfigurationExchangeTest, HashIsThatOfTheContentOnly)
{
    ServiceRecord record = route("a");
    const std::uint64_t hash = contentHashOf(record);
    record.generation = 7;
    EXPECT_EQ(contentHashOf(record), hash);
    std::set<std::uint64_t> hashes {hash};
    const auto expectOther = [&](const ServiceRecord &other) {
        EXPECT_TRUE(hashes.insert(contentHashOf(other)).second);
    };
    ServiceRecord other = record;
    other.address = 2;
    expectOther(other);
    other = record;
    other.requestPort = 80;
    expectOther(other);
    other = record;
    other.feedPort = 443;
    expectOther(other);
    other = record;
    other.idempotent = true;
    expectOther(other);
    other = record;
    other.deadline = std::chrono::milliseconds(443);
    expectOther(other);
    other = record;
    other.latencyTarget = std::chrono::milliseconds(443);
    expectOther(other);
    other = record;
    other.priority = 1;
    expectOther(other);
    other = record;
    other.slots = 1;
    expectOther(other);
    other = record;
    other.connections = 1;
    expectOther(other);
    other = record;
    other.pools.push_back({"leaf", 1});
    expectOther(other);
    other = record;
    other.pools.front().weight = 2;
    expectOther(other);
    other = record;
    other.healthPath = "/health";
    expectOther(other);
    other = record;
    other.plan = "plan-1";
    expectOther(other);
    other = record;
    other.hosts = {{"host-1", "Ghiffa", HostState::Active}};
    expectOther(other);
    other.hosts.front().state = HostState::Draining;
    expectOther(other);
    other = record;
    other.evacuatedDomain = "Ghiffa";
    expectOther(other);
    other = record;
    other.removed = true;
    EXPECT_EQ(contentHashOf(other), 0U);
}

// Guards against an earlier version that keeps a record of another history: its records may have generations that do
// not follow from those of this process.
TEST(ConfigurationExchangeTest, ProcessOfAnEarlierVersionGetsEveryRecordAsChanged)
{
    ConfigurationTable earlier = tableWith(2, {route("board"), route("entry")});
    ASSERT_TRUE(earlier.apply(wholeConfiguration(4, {route("board"), route("added")})));
    ConfigurationTable current = tableWith(2, {route("board"), route("entry")});
    ASSERT_TRUE(current.apply(wholeConfiguration(6, {route("board"), route("entry")})));
    ASSERT_TRUE(earlier.apply(current.wholeDelta()));
    EXPECT_EQ(servedNames(earlier), (std::vector<std::string> {"board", "entry"}));
}

namespace {

/** The operator's document in the store. */
struct Document
{
    Generation generation = 1;
    std::vector<ServiceRecord> records;
};

/**
 * Processes that follow a document through random histories: versions are skipped and taken back, reads of the store
 * end late and cross each other, messages are lost, links are cut, and processes restart. One balancer may be of the
 * version before content hashes, which reads the store by differences from its own table.
 */
class RandomHistory
{
public:
    RandomHistory(unsigned seed, bool hasEarlierVersion)
        : m_random(seed)
        , m_network(seed, s_loss)
    {
        m_network.settings.wholeConfiguration = true;
        m_network.settings.digestInterval = std::chrono::milliseconds(500);
        m_network.settings.announceInterval = std::chrono::milliseconds(300);
        for (const std::string &name : s_balancers) {
            m_network.add(name, MemberRole::Balancer);
        }
        for (const std::string &name : s_agents) {
            m_network.add(name, MemberRole::Agent, "tally");
        }
        if (hasEarlierVersion) {
            m_network.earlierVersions.insert(m_network.engine(s_earlier).self().control);
        }
        write();
        m_network.run(std::chrono::seconds(10));
    }

    void step()
    {
        switch (m_random() % 6) {
        case 0:
        case 1:
            write();
            break;
        case 2:
            startRead(s_balancers[m_random() % s_balancers.size()]);
            break;
        case 3:
            finishRead();
            break;
        case 4:
            restart();
            break;
        default:
            cutOff();
        }
        m_network.run(std::chrono::milliseconds(100 * (m_random() % 4)));
        checkGenerations();
    }

    /** Ends all disturbances; two balancers read the store regularly, as its watchers do. */
    void settle()
    {
        m_network.cut = nullptr;
        for (int round = 0; round < 20; ++round) {
            for (const std::string &name : {s_balancers[0], s_balancers[1]}) {
                startRead(name);
            }
            while (!m_reads.empty()) {
                finishRead();
            }
            m_network.run(std::chrono::milliseconds(1500));
        }
    }

    void expectAgreement()
    {
        const std::uint64_t expected = wholeConfiguration(m_document.generation, m_document.records).contentHash;
        for (const auto &names : {s_balancers, s_agents}) {
            for (const std::string &name : names) {
                const ConfigurationTable &table = m_network.engine(name).configuration();
                EXPECT_EQ(table.generation(), m_document.generation) << name;
                const bool isEarlier = m_network.earlierVersions.contains(m_network.engine(name).self().control);
                if (!isEarlier) {
                    EXPECT_EQ(table.contentHash(), expected) << name;
                }
            }
        }
    }

private:
    struct Read
    {
        std::string reader;
        ConfigurationUpdate result;
    };

    static constexpr double s_loss = 0.1;
    static constexpr std::size_t s_routes = 8;
    inline static const std::string s_earlier = "balancer-4";
    inline static const std::vector<std::string> s_balancers {"balancer-1", "balancer-2", "balancer-3", "balancer-4"};
    inline static const std::vector<std::string> s_agents {"host-1", "host-2"};

    /** The operator writes a version, half of the time one with the content of an earlier version. */
    void write()
    {
        if (m_random() % 3 == 0) {
            toggleEvacuation();
            return;
        }
        m_document.generation += 1 + m_random() % 3;
        if (!m_history.empty() && m_random() % 2 == 0) {
            m_document.records = m_history[m_random() % m_history.size()];
            return;
        }
        m_document.records.clear();
        for (std::size_t number = 0; number < s_routes; ++number) {
            if (m_random() % 3 != 0) {
                m_document.records.push_back(
                    route("route-" + std::to_string(number), m_random() % 2 ? "tally" : "leaf"));
            }
        }
        for (ServiceRecord &record : m_document.records) {
            record.generation = m_document.generation;
        }
        m_history.push_back(m_document.records);
    }

    /** The operator evacuates a failure domain or takes it back, which gives the document no new version. */
    void toggleEvacuation()
    {
        const ServiceRecord evacuation = evacuationOf(m_random() % 2 ? "Ghiffa" : "Cannero");
        if (std::erase(m_document.records, evacuation) == 0) {
            m_document.records.push_back(evacuation);
        }
    }

    void startRead(const std::string &name)
    {
        const control::GossipEngine &engine = m_network.engine(name);
        const Endpoint address = engine.self().control;
        if (m_network.earlierVersions.contains(address)) {
            m_reads.push_back({name, {differences(engine.configuration())}});
        } else {
            m_reads.push_back(
                {name, {wholeConfiguration(m_document.generation, m_document.records), m_network.now, true}});
        }
    }

    /** A read ends at any later time, and not in the order in which the reads began. */
    void finishRead()
    {
        if (m_reads.empty()) {
            return;
        }
        const auto position = m_reads.begin() + static_cast<std::ptrdiff_t>(m_random() % m_reads.size());
        const Read read = *position;
        m_reads.erase(position);
        m_network.send(read.reader, read.result);
    }

    /** The differences between @p table and the document, as the earlier version computes them. */
    ConfigurationDelta differences(const ConfigurationTable &table) const
    {
        ConfigurationDelta delta {table.generation(), std::max(table.generation(), m_document.generation), {}};
        for (ServiceRecord record : m_document.records) {
            const auto current = table.services().find(record.name);
            if (current == table.services().end() || contentHashOf(current->second) != contentHashOf(record)) {
                record.generation = m_document.generation;
                delta.records.push_back(record);
            }
        }
        for (const auto &[name, current] : table.services()) {
            if (!current.removed
                && std::ranges::find(m_document.records, name, &ServiceRecord::name) == m_document.records.end()) {
                ServiceRecord tombstone;
                tombstone.name = name;
                tombstone.generation = m_document.generation;
                tombstone.removed = true;
                delta.records.push_back(tombstone);
            }
        }
        return delta;
    }

    void restart()
    {
        const bool isBalancer = m_random() % 2 == 0;
        const auto &names = isBalancer ? s_balancers : s_agents;
        // New processes find the others by a seed: the first balancer stays, since there is no directory here.
        const std::string name = names[isBalancer ? 1 + m_random() % (names.size() - 1) : m_random() % names.size()];
        const Endpoint former = m_network.engine(name).self().control;
        std::erase_if(m_reads, [&](const Read &read) { return read.reader == name; });
        m_generations.erase(name);
        m_network.remove(name);
        m_network.add(name, isBalancer ? MemberRole::Balancer : MemberRole::Agent, isBalancer ? "" : "tally");
        if (m_network.earlierVersions.erase(former) != 0) {
            m_network.earlierVersions.insert(m_network.engine(name).self().control);
        }
    }

    /** Cuts one process off, in place of the one that was cut off before. */
    void cutOff()
    {
        const Endpoint address = m_network.engine(s_balancers[m_random() % s_balancers.size()]).self().control;
        m_network.cut = [address](const Endpoint &from, const Endpoint &to) {
            return from == address || to == address;
        };
    }

    void checkGenerations()
    {
        for (const auto &names : {s_balancers, s_agents}) {
            for (const std::string &name : names) {
                const Generation generation = m_network.engine(name).configuration().generation();
                EXPECT_GE(generation, m_generations[name]) << name;
                m_generations[name] = generation;
            }
        }
    }

    std::mt19937 m_random;
    GossipNetwork m_network;
    Document m_document;
    std::vector<std::vector<ServiceRecord>> m_history;
    std::vector<Read> m_reads;
    std::map<std::string, Generation> m_generations;
};

void playHistories(bool hasEarlierVersion)
{
    constexpr unsigned histories = 40;
    constexpr int steps = 60;
    for (unsigned seed = 1; seed <= histories; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomHistory history(seed, hasEarlierVersion);
        for (int step = 0; step < steps; ++step) {
            history.step();
        }
        history.settle();
        history.expectAgreement();
        if (testing::Test::HasFailure()) {
            return;
        }
    }
}

} // namespace

// Guards against processes that keep different contents of one generation, whatever led to it.
TEST(ConfigurationExchangeTest, ProcessesAgreeAfterEveryHistory)
{
    playHistories(false);
}

// As above, beside a balancer of the version before content hashes, whose answers may lack changes.
TEST(ConfigurationExchangeTest, ProcessesAgreeBesideAnEarlierVersion)
{
    playHistories(true);
}

} // namespace samphireswitch::configuration
