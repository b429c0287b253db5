#include "telemetry/recentevents.h"

namespace samphireswitch::telemetry {

RecentEvents::RecentEvents(std::size_t capacity)
    : m_capacity(capacity)
{
}

void RecentEvents::record(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    logEvent(severity, event, fields);
    std::string line = eventLine(severity, event, fields);
    const std::lock_guard lock(m_mutex);
    ++m_total;
    m_lines.push_back(std::move(line));
    if (m_lines.size() > m_capacity) {
        m_lines.pop_front();
    }
}

std::string RecentEvents::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const std::string &line : m_lines) {
        text += line;
        text += '\n';
    }
    return text;
}

std::uint64_t RecentEvents::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

void RecentEvents::writeToLog(std::string_view name) const
{
    const std::lock_guard lock(m_mutex);
    if (m_lines.empty()) {
        return;
    }
    logEvent(Severity::Info, "recent-events", {{"name", name}, {"kept", m_lines.size()}, {"total", m_total}});
    for (const std::string &line : m_lines) {
        logLine(line);
    }
}

} // namespace samphireswitch::telemetry
