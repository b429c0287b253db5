#pragma once

#include <cstdint>
#include <map>
#include <span>

namespace samphireswitch::passthrough {

/** Which held request gets the next free slot. */
struct QueueTurn
{
    /** 0 is the highest priority. */
    std::uint8_t priority = 0;
    /** The oldest late request goes first, if there is one, so that late requests do not starve. */
    bool prefersLate = false;
};

/**
 * Distributes free slots among the priorities that wait. The highest waiting priority gets them, except that one of
 * every s_turnsPerSharedTurn contended turns goes to a lower one, so that permanent overload does not starve it. If
 * several lower priorities wait, the one that has been without a turn for longest gets the shared turn. A turn is
 * contended if more than one priority waits.
 */
class PriorityTurns
{
public:
    /** Number of contended turns of which one goes to a lower priority. */
    static constexpr std::uint64_t s_turnsPerSharedTurn = 10;
    /** Number of turns of a priority of which one prefers late requests, because a late answer is still of some use. */
    static constexpr std::uint64_t s_turnsPerLateTurn = 8;

    /** Decides the next turn. @p waiting holds each waiting priority once, the highest first, and is not empty. */
    QueueTurn next(std::span<const std::uint8_t> waiting);

private:
    /** Turns of one priority. */
    struct Record
    {
        /** Number of turns so far. */
        std::uint64_t turns = 0;
        /** Number of the latest turn among those of all priorities; 0 if there was none. */
        std::uint64_t latest = 0;
    };

    std::uint8_t choose(std::span<const std::uint8_t> waiting);

    /** By priority. */
    std::map<std::uint8_t, Record> m_records;
    std::uint64_t m_turns = 0;
    std::uint64_t m_contendedTurns = 0;
};

} // namespace samphireswitch::passthrough
