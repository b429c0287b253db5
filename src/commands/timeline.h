#pragma once

#include "telemetry/eventlog.h"

#include <string>
#include <vector>

namespace samphireswitch::commands {

/** Which events a time line shows. Empty fields and 0 admit all. */
struct TimelineFilter
{
    /** A part of the flow's text. */
    std::string flow;
    /** A part of the flow's text or of the detail. */
    std::string request;
    std::string service;
    std::string host;
    Generation generation = 0;

    bool admits(const telemetry::EventRecord &event) const;
};

/**
 * The events of several processes in one order: by logical time, then by process and sequence. An event that depends
 * on another one comes after it, also when the clocks of the processes differ.
 */
class Timeline
{
public:
    explicit Timeline(TimelineFilter filter);

    void add(const std::vector<telemetry::EventRecord> &events);

    std::vector<telemetry::EventRecord> ordered() const;

    /** One line of text. The wall-clock time is that of the event's process. */
    static std::string toText(const telemetry::EventRecord &event);

private:
    TimelineFilter m_filter;
    std::vector<telemetry::EventRecord> m_events;
};

} // namespace samphireswitch::commands
