#include "routing/searchrepeats.h"

#include <utility>

namespace samphireswitch::routing {

SearchRepeats::SearchRepeats(const SearchRepeatSettings &settings)
    : m_settings(settings)
{
}

bool SearchRepeats::keep(const flow::FlowKey &key, Search search, TimePoint now)
{
    const std::uint8_t repeats = search.header.repeats;
    if (repeats >= m_settings.maximumRepeats || m_entries.size() >= m_settings.capacity) {
        return false;
    }
    return m_entries.try_emplace(key, Entry {now + m_settings.firstDelay * (1U << repeats), std::move(search)}).second;
}

bool SearchRepeats::empty() const
{
    return m_entries.empty();
}

std::vector<SearchRepeats::Search> SearchRepeats::takeDue(TimePoint now)
{
    std::vector<Search> due;
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        const auto current = position++;
        if (current->second.dueAt > now) {
            continue;
        }
        due.push_back(std::move(current->second.search));
        ++due.back().header.repeats;
        m_entries.erase(current);
    }
    return due;
}

} // namespace samphireswitch::routing
