#pragma once

#include "base/identifiers.h"
#include "flow/flowkey.h"
#include "telemetry/eventlog.h"

#include <string>
#include <string_view>

namespace samphireswitch::agent {

/**
 * Records events of an agent and its flows in the EventLog, with the service, host and configuration generation filled
 * in.
 */
class FlowEvents
{
public:
    FlowEvents(telemetry::EventLog &log, std::string service, std::string host);

    /** Sets the configuration generation that later events are recorded with. */
    void setGeneration(Generation generation);

    /** Records an event of flow @p key; @p detail is an optional explanation. */
    void record(std::string_view kind, const flow::FlowKey &key, std::string_view detail = {});

    /** Records an event that concerns the whole host rather than a flow. */
    void record(std::string_view kind);

private:
    telemetry::EventRecord makeRecord(std::string_view kind) const;

    telemetry::EventLog &m_log;
    std::string m_service;
    std::string m_host;
    Generation m_generation = 0;
};

} // namespace samphireswitch::agent
