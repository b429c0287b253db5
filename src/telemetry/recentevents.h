#pragma once

#include "telemetry/logging.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

namespace samphireswitch::telemetry {

/**
 * The last events of one kind with all their fields, also those whose lines the log suppressed or whose log nobody
 * kept. Safe from every thread.
 */
class RecentEvents
{
public:
    /** Keeps at most @p capacity events. */
    explicit RecentEvents(std::size_t capacity);

    /** Writes the event to the log, as logEvent() does, and keeps its line. */
    void record(Severity severity, std::string_view event, std::initializer_list<LogField> fields);

    /** The events that are kept as JSON lines, the oldest first. */
    std::string text() const;

    /** Number of events since the construction, also of those that are not kept any more. */
    std::uint64_t total() const;

    /** Writes the events that are kept to the log, after a line `recent-events` with @p name and their number. */
    void writeToLog(std::string_view name) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
    std::uint64_t m_total = 0;
};

} // namespace samphireswitch::telemetry
