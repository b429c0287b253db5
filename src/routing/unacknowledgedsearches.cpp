#include "routing/unacknowledgedsearches.h"

#include "routing/searchchain.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::routing {

UnacknowledgedSearches::UnacknowledgedSearches(const AcknowledgementSettings &settings)
    : m_settings(settings)
{
}

std::uint32_t
UnacknowledgedSearches::keep(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet, TimePoint now)
{
    if (m_entries.size() >= m_settings.capacity) {
        return 0;
    }
    ++m_lastNumber;
    if (m_lastNumber == 0) {
        // 0 means that no receipt is requested.
        ++m_lastNumber;
    }
    m_entries[m_lastNumber] = {now, {header, {packet.begin(), packet.end()}}};
    return m_lastNumber;
}

void UnacknowledgedSearches::acknowledge(std::uint32_t number)
{
    if (m_entries.erase(number) == 0) {
        // The packet has expired already. Its late receipt shows that the agent responds.
        std::erase_if(m_silent, [number](const auto &agent) { return agent.second.number == number; });
    }
}

bool UnacknowledgedSearches::empty() const
{
    return m_entries.empty();
}

bool UnacknowledgedSearches::isCurrentAgentSilent(const protocol::EnvelopeHeader &header, TimePoint now) const
{
    if (isDeferred(header)) {
        // A deferred agent acknowledged this packet when it was asked first, so it responds again.
        return false;
    }
    const auto found = m_silent.find(header.chain[header.hop].agent);
    return found != m_silent.end() && now < found->second.until;
}

std::chrono::milliseconds UnacknowledgedSearches::timeUntilNextExpiry(TimePoint now,
                                                                      std::chrono::milliseconds limit) const
{
    using std::chrono::milliseconds;
    if (m_entries.empty()) {
        return limit;
    }
    const auto left = m_entries.begin()->second.sentAt + m_settings.timeout - now;
    return std::clamp(std::chrono::ceil<milliseconds>(left), milliseconds(0), limit);
}

std::vector<UnacknowledgedSearches::Search> UnacknowledgedSearches::takeExpired(TimePoint now)
{
    std::erase_if(m_silent, [now](const auto &agent) { return now >= agent.second.until; });
    std::vector<Search> expired;
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        const auto current = position++;
        if (now - current->second.sentAt < m_settings.timeout) {
            break;
        }
        Search &search = current->second.search;
        m_silent[search.header.chain[search.header.hop].agent] = {now + m_settings.silenceDuration, current->first};
        expired.push_back(std::move(search));
        m_entries.erase(current);
    }
    return expired;
}

} // namespace samphireswitch::routing
