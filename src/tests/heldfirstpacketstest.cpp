#include "passthrough/heldfirstpackets.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

flow::Segment firstPacket(std::uint16_t port, std::uint32_t copy = 0)
{
    flow::Segment segment;
    segment.key = {{0x64400007, port}, {0xc6120001, 443}};
    segment.syn = true;
    segment.earlierCopies = copy;
    return segment;
}

std::uint16_t takePort(HeldFirstPackets &held, TimePoint now)
{
    const auto next = held.takeNext(now);
    return next ? next->packet.key.source.port : 0;
}

/** Answers in time of the pattern below, out of the requests of 2 s. */
template<typename TakeNext>
std::size_t answersInTime(TakeNext takeNext)
{
    // All processes lost power: 700 callers that already wait come back at once, then 500 a second as always. A slot
    // becomes free each 2 ms, and an answer is in time 200 ms after the caller's start.
    constexpr int waitingCallers = 700;
    constexpr auto slotInterval = 2ms;
    constexpr auto target = 200ms;
    HeldFirstPackets held;
    std::deque<TimePoint> inOrder;
    std::uint16_t port = 1;
    std::size_t inTime = 0;
    const TimePoint start = TimePoint() + 1h;
    for (int caller = 0; caller < waitingCallers; ++caller) {
        inOrder.push_back(start - 500ms);
        held.hold({}, firstPacket(port++, 1), start);
    }
    for (TimePoint now = start; now < start + 2s; now += slotInterval) {
        inOrder.push_back(now);
        held.hold({}, firstPacket(port++), now);
        const auto startedAt = takeNext(held, inOrder, now);
        inTime += startedAt && now - *startedAt < target ? 1 : 0;
    }
    return inTime;
}

} // namespace

// Guards against a crowd after which every answer is late: the pattern of all callers returning together.
TEST(HeldFirstPacketsTest, CallersThatReturnTogetherDoNotMakeTheNewOnesLate)
{
    const std::size_t inOrderOfArrival = answersInTime([](auto &, auto &inOrder, TimePoint) {
        const std::optional<TimePoint> first = inOrder.front();
        inOrder.pop_front();
        return first;
    });
    const std::size_t newestFirst = answersInTime([](HeldFirstPackets &held, auto &, TimePoint now) {
        const auto next = held.takeNext(now);
        return next ? std::optional(next->startedAt) : std::nullopt;
    });
    EXPECT_EQ(inOrderOfArrival, 0U);
    EXPECT_GT(newestFirst, 700U) << "of 1,000 callers that came during the 2 s";
}

// Guards against callers that have waited longest and never get a turn.
TEST(HeldFirstPacketsTest, EveryFourthTurnIsTheOldestOnes)
{
    const TimePoint now;
    HeldFirstPackets held;
    for (std::uint16_t port = 1; port <= 8; ++port) {
        held.hold({}, firstPacket(port), now + std::chrono::milliseconds(port));
    }
    EXPECT_EQ(takePort(held, now + 10ms), 8);
    EXPECT_EQ(takePort(held, now + 10ms), 7);
    EXPECT_EQ(takePort(held, now + 10ms), 6);
    EXPECT_EQ(takePort(held, now + 10ms), 1);
}

// Guards against a copy that counts as a new caller.
TEST(HeldFirstPacketsTest, CopyKeepsTheAgeOfItsCaller)
{
    const TimePoint now;
    HeldFirstPackets held;
    held.hold({}, firstPacket(1, 1), now + 100ms);
    held.hold({}, firstPacket(2), now);
    EXPECT_EQ(takePort(held, now + 100ms), 2);
}

// Guards against a flow that is opened for a caller who has given up, or twice for one who has repeated the packet.
TEST(HeldFirstPacketsTest, PacketIsGivenUpBeforeItsCopy)
{
    const TimePoint now;
    HeldFirstPackets held;
    held.hold({}, firstPacket(1), now);
    EXPECT_EQ(takePort(held, now + 190ms), 0);
    held.hold({}, firstPacket(1), now);
    held.hold({}, firstPacket(1, 1), now + 100ms);
    EXPECT_EQ(held.size(), 1U);
}

// Guards against memory that grows with a crowd.
TEST(HeldFirstPacketsTest, OldestIsGivenUpWhenThereIsNoRoom)
{
    const TimePoint now;
    HeldFirstPackets held;
    for (std::uint16_t port = 1; port <= HeldFirstPackets::s_capacity + 1; ++port) {
        held.hold({}, firstPacket(port), now);
    }
    EXPECT_EQ(held.size(), HeldFirstPackets::s_capacity);
}

} // namespace samphireswitch::passthrough
