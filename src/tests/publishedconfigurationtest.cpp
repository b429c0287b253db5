#include "platform/publishedconfiguration.h"

#include "http/server.h"
#include "platform/configurationdocument.h"
#include "standin/loopbacknetwork.h"
#include "store/base64.h"

#include <gtest/gtest.h>

#include <mutex>
#include <string>
#include <thread>

namespace samphireswitch::platform {

namespace {

using configuration::ConfigurationConfirmation;
using configuration::ConfigurationPatch;
using configuration::ConfigurationTable;
using configuration::ConfigurationUpdate;
using namespace std::chrono_literals;

/** Serves the document that the test sets, as the platform's page shows it. */
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

    void setDocument(std::uint64_t revision, const std::string &text)
    {
        const std::lock_guard lock(mutex);
        body = R"({"key":"op/config","value":")" + store::encodeBase64(text) + R"(","revision":)"
            + std::to_string(revision) + R"(,"created":1,"lease":0,"at":)" + std::to_string(revision) + "}";
    }

    http::Response respond(const http::Request &)
    {
        const std::lock_guard lock(mutex);
        return {200, "application/json", body};
    }

    configuration::ConfigurationReading read()
    {
        return published.read(table, s_startedAt).value();
    }

    static std::string document(int version, const std::string &route)
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":")" + route
            + R"(","host":"198.18.0.1","prefix":"/443/","type":"idempotent","timeout_ms":2000,
               "target_latency_ms":100,"priority":1,"service":"tally"}],"services":[]})";
    }

    static constexpr TimePoint s_startedAt = TimePoint(std::chrono::hours(1));

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint address {network.address(1), 8169};
    std::mutex mutex;
    std::string body;
    http::Server server {{{address, [this](const http::Request &request) { return respond(request); }}}};
    std::thread thread;
    PublishedConfiguration published {address, 2000ms};
    ConfigurationTable table;
};

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

} // namespace samphireswitch::platform
