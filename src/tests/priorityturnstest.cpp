#include "passthrough/priorityturns.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace samphireswitch::passthrough {

// Guards against an order that changes where the configuration gives all requests the same priority.
TEST(PriorityTurnsTest, OnlyLateTurnsDifferWithOnePriority)
{
    PriorityTurns turns;
    const std::vector<std::uint8_t> waiting {3};
    for (std::uint64_t number = 1; number <= 40; ++number) {
        const QueueTurn turn = turns.next(waiting);
        EXPECT_EQ(turn.priority, 3);
        EXPECT_EQ(turn.prefersLate, number % PriorityTurns::s_turnsPerLateTurn == 0);
    }
}

// Guards against starvation of the lowest priority, and against a middle one that gets less than the lowest.
TEST(PriorityTurnsTest, LowerPrioritiesShareOneTurnOfTen)
{
    PriorityTurns turns;
    const std::vector<std::uint8_t> waiting {0, 1, 7};
    std::array<int, 8> served {};
    for (int turn = 0; turn < 1000; ++turn) {
        ++served[turns.next(waiting).priority];
    }
    EXPECT_EQ(served[0], 900);
    EXPECT_EQ(served[1], 50);
    EXPECT_EQ(served[7], 50);
}

// Guards against turns that a low priority saves up while nobody else waits and that delay a higher one later.
TEST(PriorityTurnsTest, TurnsWithoutContentionEarnNoShare)
{
    PriorityTurns turns;
    const std::vector<std::uint8_t> low {1};
    const std::vector<std::uint8_t> both {0, 1};
    for (int turn = 0; turn < 100; ++turn) {
        turns.next(low);
    }
    for (int turn = 0; turn < 9; ++turn) {
        EXPECT_EQ(turns.next(both).priority, 0);
    }
    EXPECT_EQ(turns.next(both).priority, 1);
}

} // namespace samphireswitch::passthrough
