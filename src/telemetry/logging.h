#pragma once

#include <string>
#include <string_view>

namespace samphireswitch::telemetry {

enum class Severity { Debug, Info, Warning, Error };

/**
 * Writes log records as JSON lines to standard error: time, severity, process, message.
 * Call once, before the first log record. Records below @p threshold are discarded.
 */
void startLogging(std::string_view processName, Severity threshold);

/** Writes one record. Safe from every thread. */
void log(Severity severity, std::string_view message);

/** Parses `debug`, `info`, `warning` or `error`; returns false for any other text. */
bool parseSeverity(std::string_view text, Severity &severity);

} // namespace samphireswitch::telemetry
