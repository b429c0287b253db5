#include "telemetry/eventlog.h"

#include <algorithm>

namespace samphireswitch::telemetry {

EventLog::EventLog(std::string process, std::size_t capacity)
    : m_process(std::move(process))
    , m_capacity(capacity)
{
}

void EventLog::record(EventRecord event)
{
    const std::lock_guard lock(m_mutex);
    event.process = m_process;
    event.sequence = m_nextSequence;
    event.wallClock = std::chrono::system_clock::now();
    ++m_logicalTime;
    event.logicalTime = m_logicalTime;
    ++m_nextSequence;
    m_events.push_back(std::move(event));
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
    }
}

void EventLog::observe(std::uint64_t logicalTime)
{
    const std::lock_guard lock(m_mutex);
    m_logicalTime = std::max(m_logicalTime, logicalTime);
}

std::uint64_t EventLog::logicalTime() const
{
    const std::lock_guard lock(m_mutex);
    return m_logicalTime;
}

std::vector<EventRecord> EventLog::eventsSince(std::uint64_t since) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EventRecord> events;
    for (const EventRecord &event : m_events) {
        if (event.sequence <= since) {
            continue;
        }
        events.push_back(event);
    }
    return events;
}

} // namespace samphireswitch::telemetry
