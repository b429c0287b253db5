#pragma once

#include "base/latencyhistogram.h"
#include "base/time.h"
#include "flow/flowkey.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphireswitch::routing {

/** Times and size of RecentSearches. */
struct SearchSettings
{
    /**
     * A search without an answer counts as failed after this time. An owner answers within a few milliseconds, and
     * callers retransmit a packet after 200 ms at the earliest.
     */
    std::chrono::milliseconds answerTimeout {150};
    /**
     * If the last search for a flow started longer ago than this, its failed searches are forgotten. The time is longer
     * than the interval between two retransmissions of a caller.
     */
    std::chrono::milliseconds forgetAfter {3000};
    /** Number of entries of 24 bytes. Flows that hash to the same entry replace each other. */
    std::size_t capacity = 2048;
    /** How long further packets of a flow wait for the answer to its search. Most owners answer within this time. */
    std::chrono::milliseconds answerWaitTime {40};
};

/**
 * Remembers unanswered searches for the owners of flows, so that the next search for a flow can ask the agents in
 * another order. The memory is a table of fixed size. If the entry of a flow was replaced, the count of its failed
 * searches starts from 0 again, which does no other harm.
 */
class RecentSearches
{
public:
    explicit RecentSearches(const SearchSettings &settings = {});

    /**
     * Records that a packet of the flow @p key starts a search for the flow's owner. A packet that arrives within the
     * answer timeout counts as part of the search in progress. Returns the number of earlier searches that failed.
     */
    std::uint32_t begin(const flow::FlowKey &key, TimePoint now);

    /** Number of recent searches for the owner of the flow that failed, without the one in progress. */
    std::uint32_t failedSearches(const flow::FlowKey &key, TimePoint now);

    /** Whether a search for the owner of the flow started less than the answer wait time ago. */
    bool isAnswerExpected(const flow::FlowKey &key, TimePoint now);

    /**
     * Forgets the searches for the flow. Used if the chain has one agent only, because a single agent sends no answer,
     * and if a search was given up, because its suspects were not asked.
     */
    void cancel(const flow::FlowKey &key);

    /** Records the time that the search took, and forgets the search, because the owner has answered. */
    void finish(const flow::FlowKey &key, TimePoint now);

    /** Times from the start of a search to the answer of the owner. */
    const LatencyHistogram &searchTimes() const;

private:
    struct Entry
    {
        std::uint64_t flowHash = 0;
        TimePoint startedAt;
        std::uint32_t failedSearches = 0;
    };

    /** Whether @p entry holds the flow with the hash and the last search for it is not forgotten. */
    bool isRecent(const Entry &entry, std::uint64_t flowHash, TimePoint now) const;
    /** Returns the entry for the hash; it may hold another flow with the same position. */
    Entry &entryOf(std::uint64_t flowHash);

    SearchSettings m_settings;
    std::vector<Entry> m_entries;
    LatencyHistogram m_searchTimes;
};

} // namespace samphireswitch::routing
