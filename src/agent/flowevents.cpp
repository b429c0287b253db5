#include "agent/flowevents.h"

#include <utility>

namespace samphireswitch::agent {

FlowEvents::FlowEvents(telemetry::EventLog &log, std::string service, std::string host)
    : m_log(log)
    , m_service(std::move(service))
    , m_host(std::move(host))
{
}

void FlowEvents::setGeneration(Generation generation)
{
    m_generation = generation;
}

void FlowEvents::record(std::string_view kind, const flow::FlowKey &key, std::string_view detail)
{
    telemetry::EventRecord event = makeRecord(kind);
    event.flow = flow::toString(key);
    event.detail = detail;
    m_log.record(std::move(event));
}

void FlowEvents::record(std::string_view kind)
{
    m_log.record(makeRecord(kind));
}

telemetry::EventRecord FlowEvents::makeRecord(std::string_view kind) const
{
    telemetry::EventRecord event;
    event.kind = kind;
    event.service = m_service;
    event.host = m_host;
    event.generation = m_generation;
    return event;
}

} // namespace samphireswitch::agent
