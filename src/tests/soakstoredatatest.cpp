#include "soak/storedata.h"

#include "store/base64.h"

#include <boost/json/parse.hpp>

#include <gtest/gtest.h>

namespace samphireswitch::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

boost::json::object call(const std::string &text)
{
    return boost::json::parse(text).as_object();
}

/** A transaction that writes @p key if its revision is @p revision. */
boost::json::object writeIf(const std::string &key, std::uint64_t revision, std::uint64_t lease = 0)
{
    return call(R"({"expected":[{"key":")" + key + R"(","revision":)" + std::to_string(revision)
                + R"(}],"puts":[{"key":")" + key + R"(","value":")" + store::encodeBase64("text") + R"(","lease":)"
                + std::to_string(lease) + R"(}],"remove":[]})");
}

} // namespace

// Guards against a stand-in that lets a write through whose condition does not hold.
TEST(SoakStoreDataTest, TransactionNeedsTheExpectedRevision)
{
    StoreData data;
    const StoreAnswer first = *data.transaction(writeIf("a/1", 0));
    EXPECT_EQ(first.status, 200U);
    const StoreAnswer second = *data.transaction(writeIf("a/1", 0));
    EXPECT_EQ(second.status, 412U);
    EXPECT_EQ(second.body.at("items").as_array().size(), 1U);
    const auto revision = first.body.at("revision").to_number<std::uint64_t>();
    EXPECT_EQ(data.transaction(writeIf("a/1", revision))->status, 200U);
}

// Guards against a call that cannot be read and is taken for one without conditions.
TEST(SoakStoreDataTest, UnreadableTransactionWritesNothing)
{
    StoreData data;
    boost::json::object unreadable = writeIf("a/1", 0);
    unreadable["puts"].as_array().front().as_object()["value"] = "no base64";
    EXPECT_FALSE(data.transaction(unreadable));
    EXPECT_EQ(data.read("a/1").status, 404U);
}

// Guards against entries that outlive their lease, which would hide a lost heartbeat.
TEST(SoakStoreDataTest, KeysGoWithTheirLease)
{
    StoreData data;
    const TimePoint start(std::chrono::hours(1));
    const StoreAnswer granted = *data.grantLease(call(R"({"ttl_ms":1000})"), start);
    const auto lease = granted.body.at("lease").to_number<std::uint64_t>();
    EXPECT_EQ(data.transaction(writeIf("a/1", 0, lease))->status, 200U);
    EXPECT_EQ(data.renewLease(lease, start + milliseconds(900)).status, 200U);
    data.expireLeases(start + milliseconds(1800));
    EXPECT_EQ(data.read("a/1").status, 200U);
    data.expireLeases(start + milliseconds(1900));
    EXPECT_EQ(data.read("a/1").status, 404U);
    EXPECT_EQ(data.renewLease(lease, start + seconds(2)).status, 404U);
    EXPECT_EQ(data.transaction(writeIf("a/2", 0, lease))->status, 404U);
}

// Guards against a key that the operator takes away and of which no watch tells.
TEST(SoakStoreDataTest, WatchTellsOfErasedKeys)
{
    StoreData data;
    data.put("op/evacuate/domain-a", "{}");
    const auto revision = data.read("op/evacuate/domain-a").body.at("revision").to_number<std::uint64_t>();
    EXPECT_FALSE(data.watch("op/evacuate/", revision));
    data.erase("op/evacuate/domain-a");
    EXPECT_EQ(data.read("op/evacuate/domain-a").status, 404U);
    const auto answer = data.watch("op/evacuate/", revision);
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->body.at("events").as_array().front().as_object().at("deleted").as_bool());
}

// Guards against a watch that misses a change or goes on after its history is gone.
TEST(SoakStoreDataTest, WatchTellsOfChangesUntilHistoryIsGone)
{
    StoreData data;
    data.put("op/config", "one");
    const auto revision = data.read("op/config").body.at("at").to_number<std::uint64_t>();
    EXPECT_FALSE(data.watch("op/", revision));
    data.put("other", "two");
    EXPECT_FALSE(data.watch("op/", revision));
    data.put("op/config", "three");
    const auto answer = data.watch("op/", revision);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body.at("events").as_array().size(), 1U);
    data.forgetHistory();
    EXPECT_EQ(data.watch("op/", revision)->status, 410U);
}

// Guards against a prefix whose entries after the first page are lost.
TEST(SoakStoreDataTest, LargePrefixIsReadInPages)
{
    StoreData data;
    constexpr int count = 700;
    for (int number = 0; number < count; ++number) {
        data.put("a/" + std::to_string(number), "text");
    }
    data.put("b", "text");
    const StoreAnswer first = data.readPrefix("a/", {});
    EXPECT_TRUE(first.body.at("has_more").as_bool());
    const auto &items = first.body.at("items").as_array();
    const std::string last(items.back().as_object().at("key").as_string());
    const StoreAnswer second = data.readPrefix("a/", last);
    EXPECT_FALSE(second.body.at("has_more").as_bool());
    EXPECT_EQ(items.size() + second.body.at("items").as_array().size(), static_cast<std::size_t>(count));
}

} // namespace samphireswitch::soak
