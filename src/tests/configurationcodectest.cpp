#include "protocol/configurationcodec.h"

#include "configuration/configurationtable.h"
#include "tests/resulterror.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <random>

namespace samphireswitch::protocol {

namespace {

using configuration::ConfigurationDelta;
using configuration::HostState;
using configuration::ServiceRecord;

ServiceRecord sampleRecord()
{
    return {"tally",
            7,
            false,
            0x0a140001,
            8001,
            8002,
            true,
            std::chrono::milliseconds(2000),
            3,
            2000,
            {{"ghiffa-1", "Ghiffa", HostState::Active}, {"oggebbio-1", "Oggebbio", HostState::Stopped}},
            "p-1",
            {},
            {},
            std::chrono::milliseconds(150),
            2};
}

/** The root of a message; nothing if Cap'n Proto itself finds damage. */
std::optional<wire::ConfigurationDelta::Reader> rootOf(capnp::MessageReader &reader)
{
    try {
        return reader.getRoot<wire::ConfigurationDelta>();
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

ResultCode readChanged(const std::function<void(ConfigurationDelta &)> &change)
{
    ConfigurationDelta delta {6, 7, {sampleRecord()}};
    change(delta);
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::ConfigurationDelta>();
    writeConfigurationDelta(delta, root);
    return errorOf([&] { return readConfigurationDelta(root.asReader()); }).code;
}

} // namespace

// Guards against a field that is written but not read, or the other way round.
TEST(ConfigurationCodecTest, RoundTripKeepsEveryField)
{
    capnp::MallocMessageBuilder builder;
    const ConfigurationDelta delta {5, 9, {sampleRecord()}};
    auto wireDelta = builder.initRoot<wire::ConfigurationDelta>();
    writeConfigurationDelta(delta, wireDelta);
    const auto readDelta = readConfigurationDelta(wireDelta.asReader());
    ASSERT_TRUE(readDelta);
    EXPECT_EQ(*readDelta, delta);

    MemberRecord member;
    member.name = "ghiffa-1";
    const Status status {
        "b-1", MemberRole::Balancer, "Ghiffa", 4, "active", {{"packets", 2.5}}, {member}, {"one flow", "two flows"}};
    auto wireStatus = builder.initRoot<wire::Status>();
    writeStatus(status, wireStatus);
    const auto statusRead = readStatus(wireStatus.asReader());
    ASSERT_TRUE(statusRead);
    EXPECT_EQ(*statusRead, status);

    telemetry::EventRecord event {3, "b-1", "accept", {}, 17, "flow", "tally", "ghiffa-1", 4, "detail"};
    event.wallClock = std::chrono::system_clock::time_point(std::chrono::microseconds(1'700'000'000'000'000));
    auto wireEvent = builder.initRoot<wire::Event>();
    writeEvent(event, wireEvent);
    const auto eventRead = readEvent(wireEvent.asReader());
    ASSERT_TRUE(eventRead);
    EXPECT_EQ(eventRead->wallClock, event.wallClock);
    EXPECT_EQ(eventRead->logicalTime, event.logicalTime);
    EXPECT_EQ(eventRead->detail, event.detail);
}

// Guards against a part of the answer to a request for content that is written but not read, and against answers of
// earlier versions that are taken for one with hashes.
TEST(ConfigurationCodecTest, RoundTripKeepsAnswersOfAllVersions)
{
    configuration::ConfigurationTable table;
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(7, {sampleRecord()})));
    configuration::ContentHashes hashes(4, 1);
    capnp::MallocMessageBuilder builder;
    const auto list = builder.initRoot<wire::Control::ConfigurationSinceParams>();
    auto wireHashes = wire::Control::ConfigurationSinceParams::Builder(list).initBucketHashes(4);
    writeContentHashes(hashes, wireHashes);
    const auto hashesRead = readContentHashes(wireHashes.asReader());
    ASSERT_TRUE(hashesRead);
    EXPECT_EQ(*hashesRead, hashes);

    const configuration::ConfigurationPatch patch = table.patchFor(hashes);
    EXPECT_EQ(patch.buckets.size(), 4U);
    auto wirePatch = builder.initRoot<wire::ConfigurationDelta>();
    writeConfigurationPatch(patch, std::chrono::milliseconds(250), wirePatch);
    const auto answer = readConfigurationAnswer(wirePatch.asReader());
    ASSERT_TRUE(answer);
    EXPECT_EQ(std::get<configuration::ConfigurationPatch>(answer->content), patch);
    EXPECT_EQ(answer->confirmedAge, std::chrono::milliseconds(250));

    auto wireDelta = builder.initRoot<wire::ConfigurationDelta>();
    writeConfigurationDelta({6, 7, {sampleRecord()}}, wireDelta);
    const auto earlier = readConfigurationAnswer(wireDelta.asReader());
    ASSERT_TRUE(earlier);
    EXPECT_EQ(std::get<ConfigurationDelta>(earlier->content), (ConfigurationDelta {6, 7, {sampleRecord()}}));
}

// Guards against an answer that would replace services other than those that it holds.
TEST(ConfigurationCodecTest, RejectsAnswersWithWrongBuckets)
{
    configuration::ConfigurationTable table;
    ASSERT_TRUE(table.apply(configuration::wholeConfiguration(7, {sampleRecord()})));
    const auto readChangedPatch = [&](const std::function<void(configuration::ConfigurationPatch &)> &change) {
        configuration::ConfigurationPatch patch = table.patchFor({1, 1, 1, 1});
        change(patch);
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<wire::ConfigurationDelta>();
        writeConfigurationPatch(patch, std::nullopt, root);
        return errorOf([&] { return readConfigurationAnswer(root.asReader()); }).code;
    };
    using Patch = configuration::ConfigurationPatch;
    EXPECT_EQ(readChangedPatch([](Patch &) {}), ResultCode::Ok);
    EXPECT_EQ(readChangedPatch([](Patch &patch) { patch.bucketCount = 3; }), ResultCode::MessageMalformed);
    EXPECT_EQ(readChangedPatch([](Patch &patch) { patch.bucketCount = 512; }), ResultCode::MessageMalformed);
    EXPECT_EQ(readChangedPatch([](Patch &patch) { patch.buckets = {0, 0}; }), ResultCode::MessageMalformed);
    EXPECT_EQ(readChangedPatch([](Patch &patch) { patch.buckets = {0, 4}; }), ResultCode::MessageMalformed);
    EXPECT_EQ(readChangedPatch([](Patch &patch) { patch.buckets.clear(); }), ResultCode::MessageMalformed);
    EXPECT_EQ(readChangedPatch([](Patch &patch) { patch.records[0].removed = true; }), ResultCode::MessageMalformed);
}

// Guards against a peer that spreads a record which no plan could have produced.
TEST(ConfigurationCodecTest, RejectsRecordsThatBreakRules)
{
    EXPECT_EQ(readChanged([](ConfigurationDelta &) {}), ResultCode::Ok);
    EXPECT_EQ(readChanged([](ConfigurationDelta &delta) { delta.records[0].slots = 0; }), ResultCode::MessageMalformed);
    EXPECT_EQ(readChanged([](ConfigurationDelta &delta) { delta.records[0].name = "a\nb"; }),
              ResultCode::MessageMalformed);
    EXPECT_EQ(readChanged([](ConfigurationDelta &delta) { delta.records[0].hosts.resize(17); }),
              ResultCode::MessageMalformed);
    EXPECT_EQ(readChanged([](ConfigurationDelta &delta) { delta.records[0].generation = 8; }),
              ResultCode::MessageMalformed);
    EXPECT_EQ(readChanged([](ConfigurationDelta &delta) { delta.from = 8; }), ResultCode::MessageMalformed);
    EXPECT_EQ(
        readChanged([](ConfigurationDelta &delta) { delta.records[0].hosts[0].state = static_cast<HostState>(9); }),
        ResultCode::MessageMalformed);
}

// Guards against an exception or an over-read on a damaged message. AddressSanitizer sees over-reads.
TEST(ConfigurationCodecTest, SurvivesDamagedMessages)
{
    constexpr int rounds = 5000;
    std::mt19937 random(20261204);
    capnp::MallocMessageBuilder builder;
    writeConfigurationDelta({6, 7, {sampleRecord()}}, builder.initRoot<wire::ConfigurationDelta>());
    const auto words = capnp::messageToFlatArray(builder);
    for (int round = 0; round < rounds; ++round) {
        auto damaged = kj::heapArray<capnp::word>(words.size());
        std::copy(words.asBytes().begin(), words.asBytes().end(), damaged.asBytes().begin());
        // The first word is the segment table, which the RPC layer reads.
        for (int change = 0; change < 4; ++change) {
            damaged.asBytes()[8 + random() % (damaged.asBytes().size() - 8)] = static_cast<kj::byte>(random());
        }
        capnp::FlatArrayMessageReader reader(damaged);
        const Error error = errorOf([&]() -> Result<ConfigurationDelta> {
            const auto root = rootOf(reader);
            if (!root) {
                return ConfigurationDelta {};
            }
            return readConfigurationDelta(*root);
        });
        ASSERT_TRUE(error.code == ResultCode::Ok || error.code == ResultCode::MessageMalformed);
    }
}

} // namespace samphireswitch::protocol
