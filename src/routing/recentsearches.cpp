#include "routing/recentsearches.h"

#include <algorithm>

namespace samphireswitch::routing {

namespace {

// Differs from the seeds in candidatechain.cpp, so that the entry of a flow does not depend on its first candidate.
constexpr std::uint64_t s_searchSeed = 0x7365617263686573ULL;

} // namespace

RecentSearches::RecentSearches(const SearchSettings &settings)
    : m_settings(settings)
    , m_entries(std::max<std::size_t>(1, settings.capacity))
{
}

std::uint32_t RecentSearches::begin(const flow::FlowKey &key, TimePoint now)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_searchSeed);
    Entry &entry = entryOf(flowHash);
    if (!isRecent(entry, flowHash, now)) {
        entry = {flowHash, now, 0};
    } else if (now - entry.startedAt >= m_settings.answerTimeout) {
        ++entry.failedSearches;
        entry.startedAt = now;
    }
    return entry.failedSearches;
}

std::uint32_t RecentSearches::failedSearches(const flow::FlowKey &key, TimePoint now)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_searchSeed);
    const Entry &entry = entryOf(flowHash);
    return isRecent(entry, flowHash, now) ? entry.failedSearches : 0;
}

bool RecentSearches::isAnswerExpected(const flow::FlowKey &key, TimePoint now)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_searchSeed);
    const Entry &entry = entryOf(flowHash);
    return entry.flowHash == flowHash && now - entry.startedAt < m_settings.answerWaitTime;
}

void RecentSearches::cancel(const flow::FlowKey &key)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_searchSeed);
    Entry &entry = entryOf(flowHash);
    if (entry.flowHash == flowHash) {
        entry = {};
    }
}

void RecentSearches::finish(const flow::FlowKey &key, TimePoint now)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_searchSeed);
    Entry &entry = entryOf(flowHash);
    if (entry.flowHash == flowHash) {
        m_searchTimes.record(now - entry.startedAt);
        entry = {};
    }
}

const LatencyHistogram &RecentSearches::searchTimes() const
{
    return m_searchTimes;
}

bool RecentSearches::isRecent(const Entry &entry, std::uint64_t flowHash, TimePoint now) const
{
    return entry.flowHash == flowHash && now - entry.startedAt < m_settings.forgetAfter;
}

RecentSearches::Entry &RecentSearches::entryOf(std::uint64_t flowHash)
{
    return m_entries[flowHash % m_entries.size()];
}

} // namespace samphireswitch::routing
