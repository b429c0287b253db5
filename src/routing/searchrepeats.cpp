#include "routing/searchrepeats.h"

#include <utility>

namespace samphireswitch::routing {

SearchRepeats::SearchRepeats(const SearchRepeatSettings &settings)
    : m_settings(settings)
{
}

bool SearchRepeats::keep(Search search, TimePoint now)
{
    const std::uint8_t repeats = search.header.repeats;
    if (repeats >= m_settings.mostRepeats || m_entries.size() >= m_settings.capacity) {
        return false;
    }
    m_entries.push_back({now + m_settings.firstPause * (1U << repeats), std::move(search)});
    return true;
}

bool SearchRepeats::empty() const
{
    return m_entries.empty();
}

std::vector<SearchRepeats::Search> SearchRepeats::takeDue(TimePoint now)
{
    std::vector<Search> due;
    std::vector<Entry> waiting;
    for (Entry &entry : m_entries) {
        if (entry.dueAt > now) {
            waiting.push_back(std::move(entry));
            continue;
        }
        due.push_back(std::move(entry.search));
    }
    m_entries = std::move(waiting);
    return due;
}

} // namespace samphireswitch::routing
