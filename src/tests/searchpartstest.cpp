#include "routing/searchparts.h"

#include <gtest/gtest.h>

namespace samphireswitch::routing {

namespace {

constexpr std::uint64_t s_begun = 77;

std::vector<protocol::Candidate> agents(std::uint64_t count)
{
    std::vector<protocol::Candidate> list;
    for (std::uint64_t number = 1; number <= count; ++number) {
        list.push_back({AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}});
    }
    return list;
}

protocol::SearchEnded ended(std::uint16_t port, SearchPart part, std::uint64_t begun = s_begun)
{
    protocol::SearchEnded message;
    message.flow = {{0x64400007, port}, {0xc6120001, 443}};
    message.search.stamp = withPart({begun, 5, 6}, part);
    return message;
}

} // namespace

// Guards against agents that no part asks, or that two parts ask, and against a full chain, which is never exhaustive.
TEST(SearchPartsTest, EachAgentIsInOnePart)
{
    for (const std::uint64_t count : {1U, 63U, 64U, 126U, 127U, 136U, 504U}) {
        const std::vector<protocol::Candidate> asked = agents(count);
        const auto parts = divideSearch(asked);
        ASSERT_EQ(parts.size(), (count + s_agentsPerPart - 1) / s_agentsPerPart);
        std::vector<protocol::Candidate> joined;
        for (const protocol::CandidateChain &part : parts) {
            EXPECT_LE(part.size(), s_agentsPerPart);
            EXPECT_GE(part.size() + 1, (count + parts.size() - 1) / parts.size());
            joined.insert(joined.end(), part.begin(), part.end());
        }
        EXPECT_EQ(joined, asked);
    }
    EXPECT_TRUE(divideSearch({}).empty());
}

// Guards against a part that is taken for another one, or for a whole search, after its stamp has travelled.
TEST(SearchPartsTest, StampTellsThePart)
{
    const protocol::SearchStamp stamp {s_begun, 0x00abcdef, 9};
    EXPECT_EQ(partOf(stamp), (SearchPart {0, 1}));
    for (std::uint8_t count = 1; count <= s_maximumParts; ++count) {
        for (std::uint8_t index = 0; index < count; ++index) {
            const protocol::SearchStamp marked = withPart(stamp, {index, count});
            EXPECT_EQ(partOf(marked), (SearchPart {index, count}));
            EXPECT_EQ(withoutPart(marked), stamp);
        }
    }
}

// Guards against the reset of a flow whose owner is in a part that has not ended.
TEST(SearchPartsTest, SearchHasEndedWithItsLastPart)
{
    EndedParts parts;
    EXPECT_TRUE(parts.ended(ended(1, {0, 1})));
    EXPECT_FALSE(parts.ended(ended(2, {0, 3})));
    EXPECT_FALSE(parts.ended(ended(2, {2, 3})));
    EXPECT_FALSE(parts.ended(ended(2, {2, 3}))) << "the same part twice";
    EXPECT_TRUE(parts.ended(ended(2, {1, 3})));
}

// Guards against parts of two searches, or of two flows, that are counted together.
TEST(SearchPartsTest, PartsOfOtherSearchesDoNotCount)
{
    EndedParts parts;
    EXPECT_FALSE(parts.ended(ended(1, {0, 2})));
    EXPECT_FALSE(parts.ended(ended(2, {1, 2})));
    EXPECT_FALSE(parts.ended(ended(1, {1, 2}, s_begun + 1)));
    EXPECT_FALSE(parts.ended(ended(1, {3, 2}))) << "a part that the search does not have";
    EndedParts small(1);
    EXPECT_FALSE(small.ended(ended(1, {0, 2})));
    EXPECT_FALSE(small.ended(ended(2, {0, 2})));
    EXPECT_FALSE(small.ended(ended(1, {1, 2}))) << "the entry of the first part was replaced";
}

} // namespace samphireswitch::routing
