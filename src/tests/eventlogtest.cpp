#include "telemetry/eventlog.h"

#include <gtest/gtest.h>

namespace samphireswitch::telemetry {

// Guards against events that are lost, repeated or out of order where the copy goes on after a part of the log.
TEST(EventLogTest, EventsSinceReturnsTheNewerEventsInOrder)
{
    constexpr std::size_t capacity = 200;
    EventLog log("balancer-1", capacity);
    EXPECT_TRUE(log.eventsSince(0).empty());
    for (int number = 0; number < 500; ++number) {
        log.record({});
    }
    for (const std::uint64_t since : {0U, 299U, 300U, 301U, 363U, 364U, 365U, 499U, 500U, 501U}) {
        const auto events = log.eventsSince(since);
        const std::uint64_t first = std::max<std::uint64_t>(since, 300) + 1;
        ASSERT_EQ(events.size(), first > 500 ? 0 : 501 - first) << since;
        for (std::size_t index = 0; index < events.size(); ++index) {
            ASSERT_EQ(events[index].sequence, first + index);
        }
    }
}

} // namespace samphireswitch::telemetry
