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
 * Set-associative cache that maps flows to the agents that own them. The table holds a bounded number of flows, in
 * memory that is allocated once.
 *
 * A set consists of 8 entries of 8 bytes, which fill one cache line. An entry holds 40 bits of a keyed hash of the flow
 * and the low 24 bits of the agent's identity. The entries of a set are in order of last use, and a full set evicts the
 * least recently used entry. Hints are advisory, so a false match (less than 1 in 10^11 lookups) costs one extra hop
 * and nothing else. The table has twice as many entries as its capacity, because flows do not spread evenly over the
 * sets; at full capacity, about 1% of the hints are still evicted early.
 *
 * Not thread-safe.
 */
class HintTable
{
public:
    /** The low 24 bits of an agent's identity, which an entry stores. */
    using AgentTag = std::uint32_t;

    /**
     * The set in which the hint for a flow is stored, if there is a hint, and the hash bits that identify the
     * flow in that set. Valid for the lifetime of the table.
     */
    struct Location
    {
        std::size_t set = 0;
        std::uint64_t flowTag = 0;
    };

    /** A hint that find() returned. Valid until the next call of insert() or markUsed(). */
    struct Match
    {
        std::size_t set = 0;
        std::size_t way = 0;
        AgentTag agent = 0;
    };

    /**
     * @p capacity is the number of flows that the table is meant for; a table of capacity 0 stores nothing. @p key must
     * be random and secret, so that an attacker cannot choose flows that map to the same set.
     */
    HintTable(std::size_t capacity, const SipHashKey &key);

    /** Returns the bits of @p agent that an entry stores. */
    static AgentTag tagOf(AgentId agent);

    /**
     * Computes where the hint for @p flow is stored and prefetches that set, so that the caller can do other work
     * first.
     */
    Location locate(const flow::FlowKey &flow) const;

    /** Returns the hint at @p location, or nothing if the table has no hint for the flow. */
    std::optional<Match> find(const Location &location) const;

    /** Makes @p match the most recently used hint of its set. */
    void markUsed(const Match &match);

    /**
     * Stores @p owner as the hint for @p flow. If the set of the flow is full, its least recently used hint is evicted.
     */
    void insert(const flow::FlowKey &flow, AgentId owner);

    /** Number of stored hints. */
    std::size_t size() const;

    /** Allocated memory in bytes. */
    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t s_ways = 8;
    static constexpr std::size_t s_cacheLineBytes = 64;

    /** One cache line of entries, the most recently used entry first. Empty entries are 0 and come last. */
    struct alignas(s_cacheLineBytes) Set
    {
        std::array<std::uint64_t, s_ways> entries {};
    };

    /** Stores @p entry at the front of @p set and shifts the entries before @p way back by one position. */
    static void moveToFront(Set &set, std::size_t way, std::uint64_t entry);

    SipHashKey m_key;
    std::vector<Set> m_sets;
    std::size_t m_size = 0;
};

} // namespace samphireswitch::routing
