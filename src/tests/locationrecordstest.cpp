#include "passthrough/locationrecords.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
const flow::FlowKey s_key {{0x64400007, 1}, {0xc6120001, 443}};
constexpr std::uint32_t s_sequence = 5000;
constexpr std::uint32_t s_otherSequence = s_sequence + 0x40000000;

protocol::Candidate owner(std::uint64_t number)
{
    return {AgentId {number}, {0x0a000000, static_cast<std::uint16_t>(number)}};
}

protocol::LocationRecords recordOf(std::uint64_t number, std::uint32_t sequence)
{
    return {owner(number), {{s_key, sequence}}, {}};
}

flow::Segment packet(std::uint32_t acknowledged)
{
    flow::Segment segment;
    segment.key = s_key;
    segment.acknowledgementNumber = acknowledged;
    segment.ack = true;
    return segment;
}

} // namespace

// Guards against records of an agent's own flows that end after 30 s because nobody else renews them.
TEST(LocationRecordsTest, RenewedRecordsLiveOn)
{
    LocationRecords records;
    records.store(recordOf(1, s_sequence), s_start);
    records.renew(AgentId {1}, s_start + 20s);
    records.renew(AgentId {2}, s_start + 40s);
    records.expire(s_start + 49s);
    EXPECT_TRUE(records.find(packet(s_sequence + 1), s_start + 49s));
    EXPECT_FALSE(records.find(packet(s_sequence + 1), s_start + 50s)) << "renewed for another owner";
}

// Guards against an owner of an earlier flow with the same key that renews its record after the key came into use
// again, and takes the place of the record of the open flow.
TEST(LocationRecordsTest, RecordsOfTwoFlowsWithOneKeyAreDistinguished)
{
    LocationRecords records;
    records.store(recordOf(1, s_sequence), s_start);
    records.store(recordOf(2, s_otherSequence), s_start + 1s);
    EXPECT_EQ(records.find(packet(s_sequence + 1), s_start + 2s), owner(1));
    EXPECT_EQ(records.find(packet(s_otherSequence + 70000), s_start + 2s), owner(2));
    EXPECT_EQ(records.find(packet(s_sequence + 0x20000000), s_start + 2s), std::nullopt);
    EXPECT_TRUE(records.names(s_key, AgentId {1}, s_start + 2s));
    EXPECT_TRUE(records.names(s_key, AgentId {2}, s_start + 2s));
}

// Guards against records that grow with each reuse of a key: a third owner takes the place of the oldest.
TEST(LocationRecordsTest, ThirdOwnerReplacesTheOldestRecord)
{
    LocationRecords records;
    records.store(recordOf(1, s_sequence), s_start);
    records.store(recordOf(2, s_otherSequence), s_start + 1s);
    records.store(recordOf(3, s_sequence), s_start + 2s);
    EXPECT_EQ(records.size(), 2U);
    EXPECT_FALSE(records.names(s_key, AgentId {1}, s_start + 2s));
    EXPECT_EQ(records.find(packet(s_sequence + 1), s_start + 2s), owner(3));
}

// Guards against a search that does not find the owner because a number wraps or a packet was delayed, and against
// records of agents of an earlier version, which tell no sequence number.
TEST(LocationRecordsTest, PacketsOfTheRecordedFlowAreRecognised)
{
    constexpr std::uint32_t nearEnd = 0xffffffff - 100;
    LocationRecords records;
    records.store(recordOf(1, nearEnd), s_start);
    EXPECT_EQ(records.find(packet(500), s_start), owner(1));
    EXPECT_EQ(records.find(packet(nearEnd - 1000), s_start), owner(1));
    records.store(recordOf(1, 0), s_start);
    EXPECT_EQ(records.find(packet(s_otherSequence), s_start), owner(1));
}

// Guards against a record that outlives its lifetime, and against one owner's removal that takes another's record.
TEST(LocationRecordsTest, RecordEndsAloneByLifetimeOrRemoval)
{
    LocationRecords records;
    records.store(recordOf(1, s_sequence), s_start);
    records.store(recordOf(2, s_otherSequence), s_start);
    records.remove(s_key, AgentId {1});
    EXPECT_FALSE(records.names(s_key, AgentId {1}, s_start));
    EXPECT_EQ(records.find(packet(s_otherSequence), s_start), owner(2));
    EXPECT_EQ(records.find(packet(s_otherSequence), s_start + LocationRecordSettings().lifetime), std::nullopt);
}

} // namespace samphireswitch::passthrough
