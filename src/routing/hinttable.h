#pragma once

#include "base/identifiers.h"
#include "flow/flowkey.h"
#include "routing/siphash.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::routing {

/**
 * Which agent owns a flow, for a bounded number of flows, in memory that is allocated once.
 *
 * A set of 8 entries of 8 bytes fills one cache line. An entry holds 40 bits of a keyed hash of the flow and 24 bits of
 * the agent's identity; the entries of a set are in order of their last use, and a full set discards the last one.
 * Hints are advisory, so a false match (below 1 in 10^11 lookups) costs a hop and nothing else. There are twice as many
 * entries as the capacity, because flows do not spread evenly over the sets: with a full capacity, about 1% of the
 * hints are discarded early.
 */
class HintTable
{
public:
    /** The bits of an agent's identity that an entry holds. */
    using AgentTag = std::uint32_t;

    /** Where the hint for a flow is if there is one. Valid for the table's lifetime. */
    struct Location
    {
        std::size_t set = 0;
        std::uint64_t flowTag = 0;
    };

    /** A hint that find() found. Valid until the next call of insert() or markUsed(). */
    struct Match
    {
        std::size_t set = 0;
        std::size_t way = 0;
        AgentTag agent = 0;
    };

    /** @p key must be random and secret, so that nobody can choose flows that share a set. */
    HintTable(std::size_t capacity, const SipHashKey &key);

    static AgentTag tagOf(AgentId agent);

    /** Starts loading the set of @p flow into the cache, so that other work can overlap with the access to memory. */
    Location locate(const flow::FlowKey &flow) const;

    std::optional<Match> find(const Location &location) const;

    /** Makes the hint the most recently used one of its set. */
    void markUsed(const Match &match);

    /** Adds or changes the hint for @p flow; the least recently used one of a full set is discarded. */
    void insert(const flow::FlowKey &flow, AgentId owner);

    /** Number of hints held. */
    std::size_t size() const;

    /** Allocated memory in bytes. */
    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t s_ways = 8;
    static constexpr std::size_t s_cacheLineBytes = 64;

    /** Empty entries are 0 and come last. */
    struct alignas(s_cacheLineBytes) Set
    {
        std::array<std::uint64_t, s_ways> entries {};
    };

    /** Puts @p entry first and moves the entries before @p way back by one. */
    static void moveToFront(Set &set, std::size_t way, std::uint64_t entry);

    SipHashKey m_key;
    std::vector<Set> m_sets;
    std::size_t m_size = 0;
};

} // namespace samphireswitch::routing
