#include "routing/incompletesearches.h"

#include <utility>

namespace samphireswitch::routing {

IncompleteSearches::IncompleteSearches(const IncompleteSearchSettings &settings)
    : m_settings(settings)
{
}

void IncompleteSearches::keep(const flow::FlowKey &key, std::span<const std::byte> packet, TimePoint now)
{
    if (m_entries.size() >= m_settings.capacity && !m_entries.contains(key)) {
        std::erase_if(m_entries, [&](const auto &entry) { return now - entry.second.keptAt >= m_settings.maximumAge; });
    }
    if (m_entries.size() < m_settings.capacity || m_entries.contains(key)) {
        m_entries[key] = {now, {packet.begin(), packet.end()}};
    }
}

bool IncompleteSearches::empty() const
{
    return m_entries.empty();
}

std::vector<std::vector<std::byte>> IncompleteSearches::takeAll(TimePoint now)
{
    std::vector<std::vector<std::byte>> packets;
    for (auto &[key, entry] : m_entries) {
        if (now - entry.keptAt < m_settings.maximumAge) {
            packets.push_back(std::move(entry.packet));
        }
    }
    m_entries.clear();
    return packets;
}

} // namespace samphireswitch::routing
