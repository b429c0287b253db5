#include "routing/recentsearches.h"

#include <gtest/gtest.h>

namespace samphireswitch::routing {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;

flow::FlowKey key(std::uint16_t port)
{
    return {{0x64400007, port}, {0xc6120001, 443}};
}

} // namespace

// Guards against counting a burst of packets of one flow as several failed searches before the owner can answer.
TEST(RecentSearchesTest, PacketsBeforeAnAnswerIsPossibleBelongToOneSearch)
{
    RecentSearches searches;
    EXPECT_EQ(searches.begin(key(1), s_start), 0U);
    EXPECT_EQ(searches.begin(key(1), s_start + 20ms), 0U);
    EXPECT_EQ(searches.begin(key(1), s_start + 200ms), 1U);
    EXPECT_EQ(searches.begin(key(1), s_start + 210ms), 1U);
    EXPECT_EQ(searches.begin(key(1), s_start + 600ms), 2U);
}

// Guards against packets that wait after the answer is overdue, or although no search that can be answered is in
// progress.
TEST(RecentSearchesTest, AnswerIsExpectedForAShortTime)
{
    RecentSearches searches;
    EXPECT_FALSE(searches.isAnswerExpected(key(1), s_start));
    searches.begin(key(1), s_start);
    EXPECT_TRUE(searches.isAnswerExpected(key(1), s_start + 39ms));
    EXPECT_FALSE(searches.isAnswerExpected(key(2), s_start + 10ms));
    EXPECT_FALSE(searches.isAnswerExpected(key(1), s_start + 40ms));
    searches.begin(key(1), s_start + 200ms);
    EXPECT_TRUE(searches.isAnswerExpected(key(1), s_start + 210ms)) << "the next search has begun";
    searches.cancel(key(1));
    EXPECT_FALSE(searches.isAnswerExpected(key(1), s_start + 220ms));
}

// Guards against failed searches that still count after the owner has answered or after a long time without a search.
TEST(RecentSearchesTest, AnswerOrLongPauseResetsTheFailedSearches)
{
    RecentSearches searches;
    searches.begin(key(1), s_start);
    searches.begin(key(1), s_start + 200ms);
    searches.finish(key(1), s_start + 230ms);
    EXPECT_EQ(searches.searchTimes().count(), 1U);
    EXPECT_EQ(searches.begin(key(1), s_start + 400ms), 0U);
    EXPECT_EQ(searches.begin(key(1), s_start + 10s), 0U);
}

// Guards against a table that grows with the number of flows, and against counting failed searches for the wrong flow.
TEST(RecentSearchesTest, FlowsThatShareAnEntryReplaceEachOther)
{
    RecentSearches searches({150ms, 3s, 1});
    searches.begin(key(1), s_start);
    EXPECT_EQ(searches.begin(key(1), s_start + 200ms), 1U);
    EXPECT_EQ(searches.begin(key(2), s_start + 210ms), 0U);
    EXPECT_EQ(searches.begin(key(1), s_start + 400ms), 0U);
}

} // namespace samphireswitch::routing
