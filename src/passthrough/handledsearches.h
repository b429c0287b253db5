#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphireswitch::passthrough {

/**
 * Recently handled searches for flow owners, used to drop duplicates.
 * When an agent acknowledges a packet too late, the sender has already passed the search on to the next agent, but the
 * late agent handles its packet as well. From then on there are two copies of the search. Agents that have seen the
 * search drop the second copy; otherwise every late agent would double the number of copies.
 *
 * Fixed-size hash table: a new entry replaces any older one with the same index, so that a duplicate may be missed.
 */
class HandledSearches
{
public:
    /** How long a search is kept: ten times the delay of an agent that has used up its CPU quota. */
    static constexpr std::chrono::milliseconds s_retentionTime {1000};
    /** Enough entries for searches for all flows of a large pool at once, as after a loss of all processes. */
    static constexpr std::size_t s_defaultCapacity = 4096;

    explicit HandledSearches(std::size_t capacity = s_defaultCapacity);

    /** When an agent is asked during a search. */
    enum class Turn : std::uint8_t {
        First,
        /** After all other agents, because it could not know whether its upstream holds the flow. */
        Second,
    };

    /**
     * Records that this agent handles the search with the identity @p search in @p turn. Returns false if the same turn
     * of the search is already recorded.
     */
    bool insert(std::uint64_t search, Turn turn, TimePoint now);

private:
    struct Entry
    {
        /** Hash of the search and the turn; 0 for an empty entry. */
        std::uint64_t turn = 0;
        TimePoint handledAt;
    };

    std::vector<Entry> m_entries;
};

} // namespace samphireswitch::passthrough
