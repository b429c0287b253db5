#include "commands/timeline.h"

#include <gtest/gtest.h>

#include <chrono>

namespace samphireswitch::commands {

namespace {

using telemetry::EventRecord;

EventRecord eventAt(std::uint64_t logicalTime, const std::string &process, std::uint64_t sequence, int wallClockSecond)
{
    EventRecord event;
    event.logicalTime = logicalTime;
    event.process = process;
    event.sequence = sequence;
    event.kind = "flow-routed";
    event.wallClock = std::chrono::system_clock::time_point(std::chrono::seconds(wallClockSecond));
    return event;
}

std::string orderOf(const Timeline &timeline)
{
    std::string order;
    for (const EventRecord &event : timeline.ordered()) {
        order += event.process + std::to_string(event.sequence) + ' ';
    }
    return order;
}

} // namespace

// Guards against an effect that is shown before its cause because a clock is wrong.
TEST(TimelineTest, OrdersByLogicalTimeNotByClock)
{
    Timeline timeline({});
    timeline.add({eventAt(3, "agent", 1, 10), eventAt(7, "agent", 2, 11)});
    timeline.add({eventAt(2, "balancer", 1, 500), eventAt(3, "balancer", 2, 501), eventAt(7, "balancer", 3, 1)});
    EXPECT_EQ(orderOf(timeline), "balancer1 agent1 balancer2 agent2 balancer3 ");
}

// Guards against filters that hide events that match, or show others.
TEST(TimelineTest, FiltersByEachField)
{
    EventRecord event = eventAt(1, "agent", 1, 1);
    event.flow = "10.1.0.1:40000>10.20.0.1:8001";
    event.service = "tally";
    event.host = "ghiffa-1";
    event.generation = 4;
    event.detail = "request 17";
    const auto admits = [&](const TimelineFilter &filter) { return filter.admits(event); };
    EXPECT_TRUE(admits({}));
    EXPECT_TRUE(admits({"10.1.0.1:40000", "request 17", "tally", "ghiffa-1", 4}));
    EXPECT_FALSE(admits({"10.1.0.2", "", "", "", 0}));
    EXPECT_FALSE(admits({"", "request 18", "", "", 0}));
    EXPECT_FALSE(admits({"", "", "tall", "", 0}));
    EXPECT_FALSE(admits({"", "", "", "ghiffa-2", 0}));
    EXPECT_FALSE(admits({"", "", "", "", 5}));
}

// Guards against fields missing from a line.
TEST(TimelineTest, LineHasEveryField)
{
    EventRecord event = eventAt(12, "agent-1", 1, 0);
    event.wallClock += std::chrono::microseconds(1'700'000'000'000'042);
    event.flow = "f";
    event.generation = 4;
    event.detail = "why";
    EXPECT_EQ(Timeline::toText(event),
              "12 2023-11-14T22:13:20.000042Z agent-1 flow-routed flow=f generation=4 detail=why");
}

} // namespace samphireswitch::commands
