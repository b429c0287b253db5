#include "platform/publishedconfiguration.h"

#include "configuration/evacuation.h"
#include "configuration/recordcheck.h"
#include "http/server.h"
#include "platform/configurationdocument.h"
#include "standin/loopbacknetwork.h"
#include "store/base64.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphireswitch::platform {

namespace {

using configuration::ConfigurationConfirmation;
using configuration::ConfigurationPatch;
using configuration::ConfigurationTable;
using configuration::ConfigurationUpdate;
using Standing = configuration::ConfigurationReplica::Standing;
using namespace std::chrono_literals;

/** Serves the keys that the test sets, as the platform's page shows it. */
class PublishedConfigurationTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(server.open());
        thread = std::thread([this] { server.run(); });
    }

    void TearDown() override
    {
        server.requestStop();
        thread.join();
    }

    /** Writes @p text to @p key and makes @p at the revision of the store. */
    void put(std::uint64_t at, const std::string &key, const std::string &text = {})
    {
        const std::lock_guard lock(mutex);
        revision = at;
        items[key] = R"({"key":")" + key + R"(","value":")" + store::encodeBase64(text) + R"(","revision":)"
            + std::to_string(at) + R"(,"created":1,"lease":0})";
    }

    void setDocument(std::uint64_t at, const std::string &text)
    {
        put(at, "op/config", text);
    }

    void remove(std::uint64_t at, const std::string &key)
    {
        const std::lock_guard lock(mutex);
        revision = at;
        items.erase(key);
    }

    http::Response respond(const http::Request &request)
    {
        const std::lock_guard lock(mutex);
        targets.push_back(request.target);
        if (request.target.starts_with("/api/kv-watch")) {
            return {200, "application/json", R"({"events":[],"at":)" + std::to_string(revision) + "}"};
        }
        std::string list;
        for (const auto &[key, item] : items) {
            list += (list.empty() ? "" : ",") + item;
        }
        return {200,
                "application/json",
                R"({"items":[)" + list + R"(],"has_more":false,"at":)" + std::to_string(revision) + "}"};
    }

    configuration::ConfigurationReading read()
    {
        return published.read(table, startedAt).value();
    }

    /** Reads at @p after the start of the test, and applies what was read to the replica of this process. */
    void readAndApply(std::chrono::milliseconds after)
    {
        const TimePoint at = s_startedAt + after;
        const auto reading = published.read(replica.table(), at).value();
        if (const auto *update = std::get_if<ConfigurationUpdate>(&reading)) {
            replica.receive(*update);
        } else if (const auto *confirmation = std::get_if<ConfigurationConfirmation>(&reading)) {
            replica.confirm(*confirmation);
        }
    }

    std::vector<std::string> evacuated() const
    {
        return configuration::evacuatedDomains(replica.table());
    }

    static std::string document(int version, const std::string &route, const std::string &pool = "tally")
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":")" + route
            + R"(","host":"198.18.0.1","prefix":"/443/","type":"idempotent","timeout_ms":2000,
               "target_latency_ms":100,"priority":1,"service":")"
            + pool + R"("}],"services":[{"name":")" + pool + R"(","health_path":"/health","max_conns":4,"cold_per_s":0,
               "slow_start_s":0}]})";
    }

    static constexpr TimePoint s_startedAt = TimePoint(std::chrono::hours(1));

    TimePoint startedAt = s_startedAt;
    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint address {network.address(1), 8169};
    std::mutex mutex;
    std::map<std::string, std::string> items;
    std::uint64_t revision = 0;
    std::vector<std::string> targets;
    http::Server server {{{address, [this](const http::Request &request) { return respond(request); }}}};
    std::thread thread;
    PublishedConfiguration published {address, tests::s_ampleTime};
    ConfigurationTable table;
    configuration::ConfigurationReplica replica;
};

using Domains = std::vector<std::string>;

} // namespace

// Guards against a read whose result depends on what this process had in force when the read began: the table may
// change before the result is applied (review, case 1).
TEST_F(PublishedConfigurationTest, UpdateHoldsTheWholeDocument)
{
    setDocument(5, document(3, "a"));
    const auto reading = read();
    const auto &update = std::get<ConfigurationUpdate>(reading);
    EXPECT_TRUE(std::get<ConfigurationPatch>(update.content).isWhole());
    EXPECT_EQ(update.confirmedAt, s_startedAt);
    ASSERT_TRUE(table.apply(std::get<ConfigurationPatch>(update.content)));
    EXPECT_EQ(table.generation(), 3U);
    EXPECT_FALSE(table.services().at("route-a").removed);
}

// Guards against a process with a wrong content of the newest version that every read seems to confirm.
TEST_F(PublishedConfigurationTest, OnlyTheContentOfTheDocumentIsConfirmed)
{
    setDocument(5, document(3, "a"));
    ASSERT_TRUE(table.apply(std::get<ConfigurationPatch>(std::get<ConfigurationUpdate>(read()).content)));
    const auto confirmation = std::get<ConfigurationConfirmation>(read());
    EXPECT_EQ(confirmation.contentHash, table.contentHash());
    EXPECT_EQ(confirmation.at, s_startedAt);
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(3, {})));
    ASSERT_TRUE(std::holds_alternative<ConfigurationUpdate>(read()));
}

// Guards against an older document, of a store that was restored from a backup, that is taken for a confirmation.
TEST_F(PublishedConfigurationTest, OlderDocumentConfirmsNothing)
{
    setDocument(5, document(3, "a"));
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(4, {})));
    EXPECT_TRUE(std::holds_alternative<std::monostate>(read()));
}

// Guards against an evacuation that waits for the next version of the document, or for the next confirmation of another
// content: other balancers confirm the content without it until they have read it as well.
TEST_F(PublishedConfigurationTest, EvacuationIsInForceWithTheReadThatFindsIt)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    put(6, "op/evacuate/ghiffa", "any value");
    put(7, "op/evacuate/cannero");
    replica.confirm(ConfigurationConfirmation {3, replica.table().contentHash(), s_startedAt + 1990ms});
    readAndApply(2000ms);
    EXPECT_EQ(evacuated(), (Domains {"cannero", "ghiffa"}));
    EXPECT_EQ(replica.table().generation(), 3U);
    EXPECT_FALSE(replica.table().services().at("route-a").removed);
    EXPECT_EQ(replica.confirmedAt(), s_startedAt + 2000ms);
    EXPECT_EQ(targets.back(), "/api/kv-range?prefix=op/");
}

// Guards against an evacuation that is taken back at once and stays, and against one whose change is reported as the
// repair of a wrong configuration.
TEST_F(PublishedConfigurationTest, EvacuationIsTakenBackAndComesAgain)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    readAndApply(3000ms);
    put(6, "op/evacuate/ghiffa");
    readAndApply(3100ms);
    ASSERT_EQ(evacuated(), Domains {"ghiffa"});
    remove(7, "op/evacuate/ghiffa");
    readAndApply(3300ms);
    ASSERT_EQ(evacuated(), Domains {});
    put(8, "op/evacuate/ghiffa");
    const auto update = std::get<ConfigurationUpdate>(published.read(replica.table(), s_startedAt + 3400ms).value());
    EXPECT_EQ(replica.receive(update), configuration::ConfigurationReplica::Outcome::EvacuationsChanged);
    EXPECT_EQ(evacuated(), Domains {"ghiffa"});
}

// Guards against a confirmation of a content that the store no longer holds, because the document is the same.
TEST_F(PublishedConfigurationTest, SameDocumentWithOtherEvacuationsIsNoConfirmation)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    readAndApply(3000ms);
    put(6, "op/evacuate/ghiffa");
    table = replica.table();
    startedAt = s_startedAt + 4000ms;
    EXPECT_TRUE(std::holds_alternative<ConfigurationUpdate>(read()));
    readAndApply(4000ms);
    table = replica.table();
    EXPECT_EQ(std::get<ConfigurationConfirmation>(read()).contentHash, table.contentHash());
    remove(7, "op/evacuate/ghiffa");
    EXPECT_TRUE(std::holds_alternative<ConfigurationUpdate>(read()));
}

// Guards against peers that learn of an evacuation only with the next regular read: they need a confirmation that is
// later than that of the content before by more than the margin.
TEST_F(PublishedConfigurationTest, EvacuationIsReadAgainSoonForThePeers)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    ASSERT_TRUE(published.waitForChange(1500ms));
    EXPECT_EQ(targets.back(), "/api/kv-watch?prefix=op/&after=5&wait_ms=1500");
    put(6, "op/evacuate/ghiffa");
    readAndApply(1000ms);
    ASSERT_TRUE(published.waitForChange(1500ms));
    EXPECT_EQ(targets.back(), "/api/kv-watch?prefix=op/&after=6&wait_ms=600");
    readAndApply(1600ms);
    ASSERT_TRUE(published.waitForChange(1500ms));
    EXPECT_EQ(targets.back(), "/api/kv-watch?prefix=op/&after=6&wait_ms=1500");
}

// Guards against an order to evacuate that has to wait until a wrong document is mended, and against a wrong document
// that replaces the last good one.
TEST_F(PublishedConfigurationTest, UnusableDocumentStopsNoEvacuation)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    readAndApply(3000ms);
    const auto before = replica.table().services().at("route-a");
    for (const std::string text : {"{", "[]", R"({"version":4})", R"({"version":4,"routes":7,"services":[]})"}) {
        setDocument(6, text);
        put(7, "op/evacuate/ghiffa");
        readAndApply(4000ms);
        EXPECT_EQ(evacuated(), Domains {"ghiffa"}) << text;
        EXPECT_EQ(replica.table().services().at("route-a"), before) << text;
        EXPECT_EQ(replica.table().generation(), 3U);
    }
    remove(8, "op/config");
    remove(9, "op/evacuate/ghiffa");
    readAndApply(6000ms);
    EXPECT_EQ(evacuated(), Domains {});
    EXPECT_EQ(replica.table().services().at("route-a"), before);
    readAndApply(7000ms);
    EXPECT_EQ(replica.confirmedAt(), s_startedAt + 7000ms);
}

// Guards against a document with a record that breaks a rule: the readers had it in force, while their peers and all
// agents rejected it, and with it the evacuations of its generation.
TEST_F(PublishedConfigurationTest, DocumentWithAnInvalidRecordIsNotUsed)
{
    setDocument(5, document(4, "a", "no valid name"));
    EXPECT_TRUE(std::holds_alternative<std::monostate>(read()));
    setDocument(6, document(3, "a"));
    readAndApply(0ms);
    const auto before = replica.table().services();
    for (const std::string name : {"no valid name", "", "\u00e9"}) {
        setDocument(7, document(4, "b", name));
        put(8, "op/evacuate/ghiffa");
        readAndApply(4000ms);
        EXPECT_EQ(replica.table().generation(), 3U) << name;
        EXPECT_EQ(replica.table().services().at("route-a"), before.at("route-a")) << name;
        EXPECT_EQ(evacuated(), Domains {"ghiffa"}) << name;
        for (const auto &[recordName, record] : replica.table().services()) {
            EXPECT_EQ(configuration::problemsOf(record), std::vector<std::string> {}) << recordName;
        }
    }
}

// Guards against an order that has no effect because the store was restored and holds an older document.
TEST_F(PublishedConfigurationTest, OlderDocumentStopsNoEvacuation)
{
    setDocument(5, document(4, "a"));
    readAndApply(0ms);
    const auto before = replica.table().services().at("route-a");
    setDocument(6, document(3, "b"));
    put(7, "op/evacuate/ghiffa");
    readAndApply(4000ms);
    EXPECT_EQ(evacuated(), Domains {"ghiffa"});
    EXPECT_EQ(replica.table().generation(), 4U);
    EXPECT_EQ(replica.table().services().at("route-a"), before);
}

// Guards against a process that confirms whatever it has in force while the document cannot be read.
TEST_F(PublishedConfigurationTest, UnusableDocumentConfirmsNoOtherContent)
{
    setDocument(5, "{");
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(3, {})));
    EXPECT_TRUE(std::holds_alternative<std::monostate>(read()));
}

// Guards against a reader that has read no good document of the generation in force, and confirms its copy of it, which
// may be wrong, together with an evacuation: the wrong records replaced those of all peers.
TEST_F(PublishedConfigurationTest, EvacuationBesideAnUnusableDocumentConfirmsNoOtherRecord)
{
    const auto own = decodeConfiguration(document(3, "a")).value().records;
    const auto better = decodeConfiguration(document(3, "b")).value().records;
    replica.receive({configuration::wholeConfiguration(3, own), s_startedAt});
    configuration::ConfigurationReplica equalPeer = replica;
    configuration::ConfigurationReplica betterPeer;
    betterPeer.receive({configuration::wholeConfiguration(3, better), s_startedAt + 8000ms});
    setDocument(5, "{");
    put(6, "op/evacuate/ghiffa");
    readAndApply(9000ms);
    EXPECT_EQ(evacuated(), Domains {"ghiffa"});
    const TimePoint now = s_startedAt + 9000ms;
    EXPECT_EQ(betterPeer.compare(replica.summary(now), now), Standing::Older);
    EXPECT_EQ(equalPeer.compare(replica.summary(now), now), Standing::Newer);
    const auto confirmedAt = replica.confirmedAt();
    readAndApply(10000ms);
    EXPECT_EQ(replica.confirmedAt(), confirmedAt);
}

// Guards against an evacuation that the copy of a new reader still holds, because it missed the end, and that comes
// back everywhere with a new document or a new order.
TEST_F(PublishedConfigurationTest, StaleCopyOfANewReaderBringsNoEvacuationBack)
{
    const auto records = decodeConfiguration(document(3, "a")).value().records;
    auto stale = records;
    stale.push_back(configuration::evacuationOf("ghiffa"));
    for (const int version : {3, 4}) {
        PublishedConfiguration newReader {address, tests::s_ampleTime};
        configuration::ConfigurationReplica copy;
        copy.receive({configuration::wholeConfiguration(3, stale), s_startedAt});
        configuration::ConfigurationReplica peer;
        peer.receive({configuration::wholeConfiguration(version, records), s_startedAt + 5000ms});
        setDocument(5, document(version, "a"));
        put(6, "op/evacuate/cannero");
        const TimePoint now = s_startedAt + 5400ms;
        copy.receive(std::get<ConfigurationUpdate>(newReader.read(copy.table(), now).value()));
        EXPECT_EQ(copy.table().generation(), version);
        EXPECT_EQ(configuration::evacuatedDomains(copy.table()), (Domains {"cannero", "ghiffa"})) << version;
        EXPECT_EQ(peer.compare(copy.summary(now), now), Standing::Older) << version;
        EXPECT_EQ(copy.compare(peer.summary(now), now), Standing::Newer) << version;
    }
}

// Guards against an evacuation that brings back routes which a peer has removed during the read.
TEST_F(PublishedConfigurationTest, EvacuationWithoutDocumentReplacesNoOtherRecord)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    setDocument(6, "{");
    put(7, "op/evacuate/ghiffa");
    const auto update = std::get<ConfigurationUpdate>(published.read(replica.table(), s_startedAt + 1000ms).value());
    replica.receive({configuration::wholeConfiguration(3, {}), s_startedAt + 900ms, true});
    EXPECT_EQ(replica.receive(update), configuration::ConfigurationReplica::Outcome::Mismatched);
    EXPECT_TRUE(replica.table().services().at("route-a").removed);
}

// Guards against an evacuation that ends because the store was restored from an older copy, until the operator has
// written it again, and against one that then stays for good although the operator has taken it back meanwhile.
TEST_F(PublishedConfigurationTest, RestoredStoreTakesNoEvacuationBackAtOnce)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    put(90, "op/evacuate/ghiffa");
    readAndApply(3000ms);
    remove(80, "op/evacuate/ghiffa");
    put(81, "op/evacuate/cannero");
    readAndApply(4000ms);
    EXPECT_EQ(evacuated(), (Domains {"cannero", "ghiffa"}));
    const auto held = published.read(replica.table(), s_startedAt + 5000ms).value();
    EXPECT_TRUE(std::holds_alternative<std::monostate>(held));
    readAndApply(6100ms);
    EXPECT_EQ(evacuated(), Domains {"cannero"});
}

// Guards against the same through a reader that has just begun, as many do while the store is away.
TEST_F(PublishedConfigurationTest, NewReaderTakesNoEvacuationBackAtOnce)
{
    setDocument(5, document(3, "a"));
    auto evacuation = configuration::evacuationOf("ghiffa");
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(2, {evacuation})));
    const auto update = std::get<ConfigurationUpdate>(read());
    ASSERT_TRUE(table.apply(std::get<ConfigurationPatch>(update.content)));
    EXPECT_EQ(configuration::evacuatedDomains(table), Domains {"ghiffa"});
    startedAt += 2100ms;
    ASSERT_TRUE(table.apply(std::get<ConfigurationPatch>(std::get<ConfigurationUpdate>(read()).content)));
    EXPECT_EQ(configuration::evacuatedDomains(table), Domains {});
}

// Guards against a document with the revision of an earlier one, of a restored store, that is taken for the earlier
// one.
TEST_F(PublishedConfigurationTest, RevisionOfARestoredStoreIsNoIdentity)
{
    setDocument(5, document(3, "a"));
    readAndApply(0ms);
    setDocument(5, document(4, "a"));
    readAndApply(1000ms);
    EXPECT_EQ(replica.table().generation(), 4U);
}

// Guards against bad orders that hide the good ones, and against names of records that are not valid or not unique.
TEST_F(PublishedConfigurationTest, OnlyOrdersWithAValidDomainCount)
{
    setDocument(5, document(3, "a", "evacuation-ghiffa"));
    put(6, "op/evacuate/");
    put(7, "op/evacuate/" + std::string(64, 'x'));
    put(8, "op/evacuate/Shah Alam");
    put(9, "op/evacuate/" + std::string(63, 'y'));
    put(10, "op/evacuate/ghiffa");
    put(11, "op/evacuations");
    put(12, "op/else", "{");
    readAndApply(0ms);
    EXPECT_EQ(evacuated(), (Domains {"Shah Alam", "ghiffa", std::string(63, 'y')}));
    EXPECT_TRUE(replica.table().services().at("evacuation-ghiffa").isPool());
    for (const auto &[name, record] : replica.table().services()) {
        EXPECT_EQ(configuration::problemsOf(record), std::vector<std::string> {}) << name;
    }
}

} // namespace samphireswitch::platform
