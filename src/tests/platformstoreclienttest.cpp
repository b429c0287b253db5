#include "platform/storeclient.h"

#include "base/attempt.h"
#include "http/server.h"
#include "standin/loopbacknetwork.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace samphireswitch::platform {

namespace {

using namespace std::chrono_literals;

/** Answers each path with what the test gives, as the platform's page shows it. */
class PlatformStoreClientTest : public testing::Test
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

    void answer(const std::string &target, unsigned status, const std::string &body)
    {
        const std::lock_guard lock(mutex);
        answers[target] = {status, "application/json", body};
    }

    http::Response respond(const http::Request &request)
    {
        const std::lock_guard lock(mutex);
        lastBody = request.body;
        const auto found = answers.find(request.target);
        return found == answers.end() ? http::Response {599, "text/plain", request.target} : found->second;
    }

    std::string lastRequestBody()
    {
        const std::lock_guard lock(mutex);
        return lastBody;
    }

    template<typename Call>
    ResultCode codeOf(Call call)
    {
        const auto outcome = attempt(call);
        const Error *error = std::get_if<Error>(&outcome);
        return error == nullptr ? ResultCode::Ok : error->code;
    }

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint address {network.address(1), 8169};
    std::mutex mutex;
    std::map<std::string, http::Response> answers;
    std::string lastBody;
    http::Server server {{{address, [this](const http::Request &request) { return respond(request); }}}};
    std::thread thread;
    StoreClient client {address, tests::s_ampleTime};
};

} // namespace

// Guards against an item that is read from wrong fields, and against a missing key that is taken for a failure.
TEST_F(PlatformStoreClientTest, ReadsItemsAndMissingKeys)
{
    answer("/api/kv-key?key=op/config",
           200,
           R"({"key":"op/config","value":"bm9kZS0x","revision":412,"created":400,"lease":0,"at":530})");
    answer("/api/kv-key?key=op/none", 404, "{}");
    const auto found = client.read("op/config");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->values.front().value, "node-1");
    EXPECT_EQ(found->values.front().modRevision, 412U);
    EXPECT_EQ(found->revision, 530U);
    const auto missing = client.read("op/none");
    ASSERT_TRUE(missing);
    EXPECT_TRUE(missing->values.empty());
}

// Guards against a list of which only the first page is read.
TEST_F(PlatformStoreClientTest, ReadsAllPages)
{
    answer("/api/kv-range?prefix=a/&serializable=1",
           200,
           R"({"items":[{"key":"a/1","value":"","revision":1}],"has_more":true,"at":5})");
    answer("/api/kv-range?prefix=a/&after=a/1&serializable=1",
           200,
           R"({"items":[{"key":"a/2","value":"","revision":2}],"has_more":false,"at":6})");
    const auto pages = client.readPrefix("a/", Freshness::MayBeOld);
    ASSERT_TRUE(pages);
    EXPECT_EQ(pages->values.size(), 2U);
    EXPECT_EQ(pages->revision, 5U) << "a change to the first page, made after it was read, has to end a watch";
}

// Guards against one item that cannot be read and hides those beside it: a balancer that never read the list wrote no
// entry of its own, and nobody found it there.
TEST_F(PlatformStoreClientTest, UnreadableItemHidesNoOther)
{
    for (const char *odd : {R"({"key":"a/2","value":"%%%","revision":2})",
                            R"({"key":"a/2","value":7,"revision":2})",
                            R"({"key":"a/2","value":"","revision":1e400})",
                            R"({"key":"a/2","value":"","revision":-1})",
                            R"({"key":"a/2","value":"","revision":18446744073709551615})",
                            R"({"key":["a/2"],"value":"","revision":2})",
                            R"({"value":"","revision":2})",
                            R"("a/2")",
                            "null"}) {
        answer("/api/kv-range?prefix=a/",
               200,
               R"({"items":[{"key":"a/1","value":"bm9kZS0x","revision":1},)" + std::string(odd)
                   + R"(,{"key":"a/3","value":"bm9kZS0x","revision":3}],"has_more":false,"at":5})");
        const auto read = attempt([&] { return client.readPrefix("a/", Freshness::Newest); });
        const auto *list = std::get_if<ReadAnswer>(&read);
        ASSERT_NE(list, nullptr) << odd << ": " << std::get<Error>(read).message;
        EXPECT_EQ(list->revision, 5U);
        ASSERT_EQ(list->values.size(), 2U) << odd;
        EXPECT_EQ(list->values.front().key, "a/1");
        EXPECT_EQ(list->values.back().key, "a/3");
    }
}

// Guards against a key of another writer that ends the query: the store then gives the same page again and again.
TEST_F(PlatformStoreClientTest, KeysOfOtherWritersAreEscapedInQueries)
{
    answer("/api/kv-range?prefix=a/",
           200,
           R"({"items":[{"key":"a/b c&d%#\r\n\u00e9","value":"","revision":1}],"has_more":true,"at":5})");
    answer("/api/kv-range?prefix=a/&after=a/b%20c%26d%25%23%0D%0A%C3%A9",
           200,
           R"({"items":[{"key":"a/e","value":"","revision":2}],"has_more":false,"at":6})");
    const auto read = attempt([&] { return client.readPrefix("a/", Freshness::Newest); });
    const auto *list = std::get_if<ReadAnswer>(&read);
    ASSERT_NE(list, nullptr) << std::get<Error>(read).message;
    EXPECT_EQ(list->values.size(), 2U);
}

// Guards against a read that never ends and takes all memory, because the pages do not move on.
TEST_F(PlatformStoreClientTest, PagesThatDoNotMoveOnEndTheRead)
{
    const std::string page = R"({"items":[{"key":"a/1","value":"","revision":1}],"has_more":true,"at":5})";
    answer("/api/kv-range?prefix=a/", 200, page);
    answer("/api/kv-range?prefix=a/&after=a/1", 200, page);
    EXPECT_EQ(codeOf([&] { return client.readPrefix("a/", Freshness::Newest); }), ResultCode::StoreAnswerMalformed);
    answer("/api/kv-range?prefix=a/", 200, R"({"items":[{"value":""}],"has_more":true,"at":5})");
    EXPECT_EQ(codeOf([&] { return client.readPrefix("a/", Freshness::Newest); }), ResultCode::StoreAnswerMalformed);
}

// Guards against an answer nested without end that ends the process.
TEST_F(PlatformStoreClientTest, DeeplyNestedAnswerIsMalformed)
{
    answer("/api/kv-range?prefix=a/", 200, R"({"items":)" + std::string(1'000'000, '['));
    EXPECT_EQ(codeOf([&] { return client.readPrefix("a/", Freshness::Newest); }), ResultCode::StoreAnswerMalformed);
}

// Guards against a watch that takes lost history for silence, and against a lost change.
TEST_F(PlatformStoreClientTest, WatchTellsChangesAndLostHistory)
{
    answer("/api/kv-watch?prefix=a&after=411&wait_ms=100",
           200,
           R"({"events":[{"key":"a","revision":413,"deleted":true}],"at":413})");
    answer("/api/kv-watch?prefix=a&after=1&wait_ms=100", 410, "{}");
    const auto watched = client.watch("a", 411, 100ms);
    ASSERT_TRUE(watched);
    EXPECT_TRUE(watched->changed);
    EXPECT_EQ(watched->revision, 413U);
    EXPECT_EQ(codeOf([&] { return client.watch("a", 1, 100ms); }), ResultCode::StoreCompacted);
}

// Guards against a write under a condition whose failure looks like success.
TEST_F(PlatformStoreClientTest, TransactionTellsWhetherItsConditionHeld)
{
    answer("/api/kv-txn", 200, R"({"revision":412})");
    const auto written = client.transaction({{"a", 0}}, {{"a", "node-1", 7}});
    ASSERT_TRUE(written);
    EXPECT_TRUE(written->succeeded);
    EXPECT_EQ(
        lastBody,
        R"({"expected":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"bm9kZS0x","lease":7}],"remove":[]})");
    answer("/api/kv-txn", 412, R"({"items":[]})");
    const auto refused = client.transaction({{"a", 0}}, {});
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->succeeded);
}

// Guards against a lease that ended and is renewed on, and against an entry without a lease.
TEST_F(PlatformStoreClientTest, LeasesAreGrantedRenewedAndEnd)
{
    answer("/api/kv-lease", 200, R"({"lease":77120,"ttl_ms":3000})");
    answer("/api/kv-keep/77120", 200, R"({"ttl_ms":3000})");
    answer("/api/kv-keep/5", 404, "{}");
    const auto lease = client.grantLease(9000ms);
    ASSERT_TRUE(lease);
    EXPECT_EQ(lease->id, 77120U);
    EXPECT_EQ(lease->duration, 3000ms);
    EXPECT_EQ(client.renewLease(77120).value(), Renewal::Renewed);
    EXPECT_EQ(client.renewLease(5).value(), Renewal::Ended);
}

// Guards against a store that turns this process away and is taken for one that has nothing.
TEST_F(PlatformStoreClientTest, BeingTurnedAwayIsUnavailability)
{
    for (const unsigned status : {429U, 503U}) {
        answer("/api/kv-key?key=a", status, "{}");
        EXPECT_EQ(codeOf([&] { return client.read("a"); }), ResultCode::StoreUnavailable) << status;
    }
    answer("/api/kv-key?key=a", 403, "{}");
    EXPECT_EQ(codeOf([&] { return client.read("a"); }), ResultCode::StoreRejected);
    answer("/api/kv-key?key=a", 200, "not JSON");
    EXPECT_EQ(codeOf([&] { return client.read("a"); }), ResultCode::StoreAnswerMalformed);
}

} // namespace samphireswitch::platform
