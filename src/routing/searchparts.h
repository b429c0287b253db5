#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace samphireswitch::routing {

/*
 * An exhaustive search over more agents than a chain holds consists of several parts. Each part is an envelope of its
 * own with a copy of the packet, asks some of the agents, and ends by itself. The flow has no owner only if all parts
 * have ended without one.
 */

/**
 * Largest number of agents in one part. A full chain never counts as exhaustive, because an agent that a location
 * record names would displace another one.
 */
constexpr std::size_t s_agentsPerPart = protocol::s_maximumChainLength - 1;

/** Largest number of parts. A balancer sends as many packets for each search. */
constexpr std::size_t s_maximumParts = 8;

/** Largest number of agents that an exhaustive search can ask. */
constexpr std::size_t s_maximumAskedAgents = s_agentsPerPart * s_maximumParts;

/** One of the parts of a search. */
struct SearchPart
{
    std::uint8_t index = 0;
    /** Number of parts that the search has. */
    std::uint8_t count = 1;

    bool operator==(const SearchPart &) const = default;
};

/**
 * A stamp that also tells the part. Agents return the fields of a stamp as they are, also agents of an earlier version,
 * which would lose a field of its own. The version of the reachable agents keeps its lower 24 bits.
 */
protocol::SearchStamp withPart(const protocol::SearchStamp &stamp, const SearchPart &part);

/** The part of the search that has @p stamp. */
SearchPart partOf(const protocol::SearchStamp &stamp);

/** The stamp that all parts of the search with @p stamp have in common. */
protocol::SearchStamp withoutPart(const protocol::SearchStamp &stamp);

/**
 * Divides @p agents, at most s_maximumAskedAgents, over as few chains as hold them, without changing their order. The
 * lengths of the chains differ by one at most. Returns no chain if there are no agents.
 */
std::vector<protocol::CandidateChain> divideSearch(std::span<const protocol::Candidate> agents);

/**
 * Which parts of recent searches have ended without an owner. The memory is a table of fixed size. If the entry of a
 * search was replaced, the search proves nothing, and the caller's next packet begins another one.
 */
class EndedParts
{
public:
    /** @p capacity is the number of searches that are remembered. */
    explicit EndedParts(std::size_t capacity = 1024);

    /** Records that a part of a search has ended. Returns whether all parts have. */
    bool ended(const protocol::SearchEnded &ended);

private:
    struct Entry
    {
        /** Hash of the flow and the stamp of the search; 0 if the entry is not in use. */
        std::uint64_t search = 0;
        /** A bit for each part. */
        std::uint8_t parts = 0;
    };

    std::vector<Entry> m_entries;
};

} // namespace samphireswitch::routing
