#pragma once

#include "base/identifiers.h"
#include "flow/flowkey.h"
#include "telemetry/eventlog.h"

#include <string>
#include <string_view>

namespace samphireswitch::agent {

/** Writes the events of an agent's flows to the time line. */
class FlowEvents
{
public:
    FlowEvents(telemetry::EventLog &log, std::string service, std::string host);

    /** Configuration generation of the events that follow. */
    void setGeneration(Generation generation);

    void record(std::string_view kind, const flow::FlowKey &key, std::string_view detail = {});

    /** An event of the whole host. */
    void record(std::string_view kind);

private:
    telemetry::EventRecord makeRecord(std::string_view kind) const;

    telemetry::EventLog &m_log;
    std::string m_service;
    std::string m_host;
    Generation m_generation = 0;
};

} // namespace samphireswitch::agent
