#include "routing/searchrepeats.h"
#include "routing/unacknowledgedsearches.h"

#include <gtest/gtest.h>

namespace samphireswitch::routing {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
protocol::EnvelopeHeader headerFor(std::uint64_t agent)
{
    protocol::EnvelopeHeader header;
    header.chain.push_back({AgentId {agent}, {0x0a010001, 8172}});
    return header;
}

const std::vector<std::byte> s_packet(32, std::byte {7});

SearchRepeats::Search search(std::uint8_t repeats)
{
    SearchRepeats::Search result;
    result.header.repeats = repeats;
    result.packet = s_packet;
    return result;
}

} // namespace

// Guards against a search that is given up before an agent that restarts is back, and against one that never ends.
TEST(SearchRepeatsTest, PausesDoubleAndEnd)
{
    SearchRepeats repeats;
    ASSERT_TRUE(repeats.keep(search(0), s_start));
    ASSERT_TRUE(repeats.keep(search(3), s_start));
    EXPECT_FALSE(repeats.keep(search(4), s_start));
    EXPECT_TRUE(repeats.takeDue(s_start + 99ms).empty());
    EXPECT_EQ(repeats.takeDue(s_start + 100ms).size(), 1U);
    EXPECT_TRUE(repeats.takeDue(s_start + 799ms).empty());
    EXPECT_EQ(repeats.takeDue(s_start + 800ms).size(), 1U);
    EXPECT_TRUE(repeats.empty());
}

// Guards against a packet that is passed over an agent that has acknowledged it, and one that is lost with a silent
// agent.
TEST(UnacknowledgedSearchesTest, OnlyPacketsWithoutReceiptExpire)
{
    UnacknowledgedSearches searches;
    const std::uint32_t first = searches.keep(headerFor(1), s_packet, s_start);
    const std::uint32_t second = searches.keep(headerFor(2), s_packet, s_start);
    EXPECT_NE(first, 0U);
    EXPECT_NE(first, second);
    searches.acknowledge(first);
    EXPECT_TRUE(searches.takeExpired(s_start + 9ms).empty());
    const auto expired = searches.takeExpired(s_start + 10ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().packet, s_packet);
    EXPECT_TRUE(searches.empty());
}

// Guards against memory that grows with the number of flows after a change of the rotation.
TEST(UnacknowledgedSearchesTest, PacketsBeyondTheCapacityGoWithoutAReceipt)
{
    UnacknowledgedSearches searches({.capacity = 1});
    EXPECT_NE(searches.keep(headerFor(1), s_packet, s_start), 0U);
    EXPECT_EQ(searches.keep(headerFor(1), s_packet, s_start), 0U);
}

// Guards against searches that each wait for the same silent agent, so that one with several of them outlasts the
// latency target; the agent is asked again a moment later.
TEST(UnacknowledgedSearchesTest, SilentAgentIsPassedOverForAMoment)
{
    UnacknowledgedSearches searches;
    searches.keep(headerFor(1), s_packet, s_start);
    EXPECT_EQ(searches.timeToNext(s_start + 4ms, 100ms), 6ms);
    EXPECT_FALSE(searches.isCurrentSilent(headerFor(1), s_start));
    EXPECT_EQ(searches.takeExpired(s_start + 10ms).size(), 1U);
    EXPECT_TRUE(searches.isCurrentSilent(headerFor(1), s_start + 109ms));
    EXPECT_FALSE(searches.isCurrentSilent(headerFor(2), s_start + 109ms));
    EXPECT_FALSE(searches.isCurrentSilent(headerFor(1), s_start + 110ms));
    EXPECT_EQ(searches.timeToNext(s_start + 110ms, 100ms), 100ms);
}

} // namespace samphireswitch::routing
