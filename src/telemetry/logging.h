#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace samphireswitch::telemetry {

enum class Severity { Debug, Info, Warning, Error };

/** A named value of a log line. Refers to texts that must live until the call returns. */
struct LogField
{
    using Value = std::variant<bool, std::int64_t, std::uint64_t, std::string_view>;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }

    LogField(std::string_view fieldName, const std::string &text)
        : LogField(fieldName, std::string_view(text))
    {
    }

    LogField(std::string_view fieldName, const char *text)
        : LogField(fieldName, std::string_view(text))
    {
    }

    template<typename Number, typename = std::enable_if_t<std::is_integral_v<Number>>>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName)
    {
        if constexpr (std::is_same_v<Number, bool>) {
            value = number;
        } else if constexpr (std::is_signed_v<Number>) {
            value = static_cast<std::int64_t>(number);
        } else {
            value = static_cast<std::uint64_t>(number);
        }
    }

    std::string_view name;
    Value value;
};

/** A duration in whole milliseconds, the unit of every log field whose name ends in `_ms`. */
template<typename Rep, typename Period>
std::int64_t toMilliseconds(std::chrono::duration<Rep, Period> duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/**
 * Writes log records as JSON lines to standard output: time, severity, process, then the event and its fields, or a
 * message. A thread of its own writes them; when its queue is full, records are dropped and counted, so that logging
 * never blocks. Call once, before the first log record. Records below @p threshold are discarded.
 */
void startLogging(std::string_view processName, Severity threshold);

/** Writes the last records and ends the thread. */
void stopLogging();

/** Changes the threshold of a running log. */
void setLogThreshold(Severity threshold);

/** Writes one record. Safe from every thread. */
void log(Severity severity, std::string_view message);

/**
 * Writes one record of a decision or of a change in what the process believes. The number of lines of each kind of
 * event is bounded; the next line that is written tells how many were not. Safe from every thread.
 */
void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields);

/** The JSON line, without a line end, that logEvent() would write now. */
std::string eventLine(Severity severity, std::string_view event, std::initializer_list<LogField> fields);

/** Writes a line that eventLine() has made, whatever the threshold and the bounds of its kind of event are. */
void logLine(const std::string &line);

/** What was not written since the start. */
struct LogCounters
{
    /** Because there were too many lines of one kind of event. */
    std::uint64_t suppressed = 0;
    /** Because the reader of standard output was too slow. */
    std::uint64_t dropped = 0;
};

LogCounters logCounters();

/** Parses `debug`, `info`, `warning` or `error`; returns false for any other text. */
bool parseSeverity(std::string_view text, Severity &severity);

} // namespace samphireswitch::telemetry
