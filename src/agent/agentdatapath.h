#pragma once

#include "admission/event.h"
#include "admission/flowadmission.h"
#include "base/endpoint.h"
#include "telemetry/eventlog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::agent {

/** Addresses of an agent's packet path. */
struct AgentDataSettings
{
    std::string host;
    std::string service;
    /** Where envelopes and messages of other agents arrive. */
    Endpoint dataAddress;
    /** Where packets to callers are sent. */
    Endpoint fabricAddress;
    /** IPv4 address of the upstream, host byte order; its ports are those of the service. */
    std::uint32_t upstreamAddress = 0;
    admission::AdmissionSettings admission;
    /** File to record the decisions to; empty for none. */
    std::string traceFile;
};

/** What the packet path tells the other threads; published a few times a second. */
struct AgentDataStatus
{
    admission::AdmissionCounters counters;
    std::uint32_t busySlots = 0;
    std::uint32_t effectiveSlots = 0;
    std::uint32_t feedsHeld = 0;
    std::uint32_t connectionsHeld = 0;
    std::uint32_t parkedPackets = 0;
    bool draining = false;
    bool drained = false;
    bool ejected = false;
    std::uint64_t malformedDatagrams = 0;
    /** Datagrams that the socket did not take. */
    std::uint64_t droppedDatagrams = 0;
    /** Events that post() could not hand over because the ring was full. */
    std::uint64_t droppedEvents = 0;
    /** First packets that could not be parked because of their number or size. */
    std::uint64_t droppedParked = 0;
    std::uint64_t packetsIn = 0;
    std::uint64_t packetsOut = 0;
    /** Filled only while draining. */
    std::vector<admission::OwnedFlow> ownedFlows;
};

/**
 * The packet path of an agent: envelopes in, packets to callers out, TCP to the upstream. All work is done in run(),
 * which belongs to one thread; the other functions may be called from one other thread and hand over through rings.
 */
class AgentDataPath
{
public:
    AgentDataPath(const AgentDataSettings &settings, telemetry::EventLog &events);
    ~AgentDataPath();

    AgentDataPath(const AgentDataPath &) = delete;
    AgentDataPath &operator=(const AgentDataPath &) = delete;

    /** Binds the sockets. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Serves until requestStop(). */
    void run();

    /** Ends run(). Flows that still exist are lost; drain first. */
    void requestStop();

    /** Hands an event of the control thread (terms, members, drain) to the decisions. */
    void post(const admission::Event &event);

    /** The newest published status. */
    std::shared_ptr<const AgentDataStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace samphireswitch::agent
