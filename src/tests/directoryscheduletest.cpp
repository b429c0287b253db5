#include "control/directoryschedule.h"

#include <gtest/gtest.h>

namespace samphireswitch::control {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr EntryContent s_content {77, false};
constexpr EntryContent s_otherContent {78, false};

template<typename Call>
bool isDue(const DirectorySchedule &schedule, TimePoint now, TimePoint lastHeard)
{
    const auto call = schedule.due(now, lastHeard, s_content);
    return call && std::holds_alternative<Call>(*call);
}

/** The schedule of a balancer that has read the directory and written its entry at s_start. */
DirectorySchedule scheduleWithWrittenEntry()
{
    DirectorySchedule schedule({}, true);
    schedule.entriesRead(s_start);
    schedule.leaseGranted(5, 9000ms, s_start);
    schedule.entryWritten(s_content.hash, s_start);
    return schedule;
}

} // namespace

// Guards against a process that waits for its peers before it reads their addresses from the directory.
TEST(DirectoryScheduleTest, ListIsReadFirst)
{
    const DirectorySchedule schedule({}, true);
    EXPECT_TRUE(isDue<ReadEntries>(schedule, s_start, {}));
}

// Guards against an entry that is missing for longer than 2 s after its lease was lost.
TEST(DirectoryScheduleTest, LostLeaseIsReplacedAtOnce)
{
    DirectorySchedule schedule = scheduleWithWrittenEntry();
    EXPECT_FALSE(schedule.due(s_start + 1s, s_start + 1s, s_content));
    EXPECT_TRUE(isDue<RenewLease>(schedule, s_start + 3s, s_start + 3s));
    schedule.leaseEnded();
    EXPECT_TRUE(isDue<GrantLease>(schedule, s_start + 3s, s_start + 3s));
    schedule.leaseGranted(6, 9000ms, s_start + 3s);
    EXPECT_TRUE(isDue<WriteEntry>(schedule, s_start + 3s, s_start + 3s));
}

// Guards against an entry that is not updated when its content changes, and against a write for each of many changes.
TEST(DirectoryScheduleTest, ChangedContentIsWrittenAfterAPause)
{
    const DirectorySchedule schedule = scheduleWithWrittenEntry();
    EXPECT_FALSE(schedule.due(s_start + 1s, s_start + 1s, s_otherContent));
    const auto call = schedule.due(s_start + 2s, s_start + 2s, s_otherContent);
    EXPECT_TRUE(call && std::holds_alternative<WriteEntry>(*call));
}

// Guards against a balancer that does not learn at its start of an agent that joined shortly before: it would reset the
// flows of the callers of that agent's upstream.
TEST(DirectoryScheduleTest, NewAgentIsWrittenAtOnce)
{
    const DirectorySchedule schedule = scheduleWithWrittenEntry();
    const auto call = schedule.due(s_start + 200ms, s_start + 200ms, {s_otherContent.hash, true});
    EXPECT_TRUE(call && std::holds_alternative<WriteEntry>(*call));
}

// Guards against calls to the store without a delay while it rejects the calls of this process.
TEST(DirectoryScheduleTest, FailedCallIsFollowedByAPause)
{
    DirectorySchedule schedule = scheduleWithWrittenEntry();
    schedule.leaseEnded();
    schedule.callFailed(s_start);
    EXPECT_FALSE(schedule.due(s_start + 100ms, s_start, s_content));
    EXPECT_TRUE(isDue<GrantLease>(schedule, s_start + 400ms, s_start));
}

// Guards against a process that has lost contact with all peers and never reads the directory again, and against
// unnecessary reads.
TEST(DirectoryScheduleTest, IsolatedProcessReadsTheListAgain)
{
    DirectorySchedule schedule({}, false);
    schedule.entriesRead(s_start);
    EXPECT_FALSE(schedule.due(s_start + 10s, s_start + 9s, s_content));
    EXPECT_TRUE(isDue<ReadEntries>(schedule, s_start + 10s, s_start + 8s));
    schedule.entriesRead(s_start + 10s);
    EXPECT_FALSE(schedule.due(s_start + 10500ms, s_start + 8s, s_content));
}

// Guards against an agent with a new upstream that takes no flows for long, because it does not read that the directory
// lists it.
TEST(DirectoryScheduleTest, DirectoryIsReadUntilItListsTheProcess)
{
    DirectorySchedule schedule({}, false);
    schedule.entriesRead(s_start);
    EXPECT_FALSE(isDue<ReadEntries>(schedule, s_start + 1s, s_start + 1s));
    schedule.setAwaitsListing(true);
    EXPECT_FALSE(isDue<ReadEntries>(schedule, s_start + 900ms, s_start + 900ms));
    EXPECT_TRUE(isDue<ReadEntries>(schedule, s_start + 1s, s_start + 1s));
    schedule.setAwaitsListing(false);
    EXPECT_FALSE(isDue<ReadEntries>(schedule, s_start + 1s, s_start + 1s));
}

} // namespace samphireswitch::control
