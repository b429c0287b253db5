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

/** Settings of an agent's packet path: names, addresses, admission limits and the trace file. */
struct AgentDataSettings
{
    std::string host;
    std::string service;
    /** UDP address that receives envelopes from balancers and agents, and messages from other agents. */
    Endpoint dataAddress;
    /** UDP address that packets to callers are sent to. */
    Endpoint fabricAddress;
    /** IPv4 address of the upstream in host byte order. The upstream listens on the ports of the service. */
    std::uint32_t upstreamAddress = 0;
    admission::AdmissionSettings admission;
    /** File that the decisions of admission are recorded in; empty to record none. */
    std::string traceFile;
};

/** Snapshot of the packet path for other threads, published a few times a second. */
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
    /** Datagrams that could not be sent because the socket did not accept them. */
    std::uint64_t droppedDatagrams = 0;
    /** Events that post() dropped because the queue to the data thread was full. */
    std::uint64_t droppedEvents = 0;
    /** First packets that were not parked because too many were parked already or the packet was too large. */
    std::uint64_t droppedParked = 0;
    std::uint64_t packetsIn = 0;
    std::uint64_t packetsOut = 0;
    /** Flows that this agent owns; filled in only while the agent is draining. */
    std::vector<admission::OwnedFlow> ownedFlows;
};

/**
 * Packet path of an agent: receives envelopes with callers' packets, terminates the callers' TCP connections, relays
 * their bytes to the upstream, and sends packets to callers. run() does all of this work on the thread that calls
 * run(), the data thread. The other functions may be called from one other thread, the control thread.
 */
class AgentDataPath
{
public:
    AgentDataPath(const AgentDataSettings &settings, telemetry::EventLog &events);
    ~AgentDataPath();

    AgentDataPath(const AgentDataPath &) = delete;
    AgentDataPath &operator=(const AgentDataPath &) = delete;

    /**
     * Opens and binds the sockets. Fails with ResultCode::SocketError if that is not possible. Must succeed before
     * run().
     */
    Result<void> open();

    /** Processes packets until requestStop() is called. */
    void run();

    /** Makes run() return. Flows that still exist are dropped, so that the agent should be drained first. */
    void requestStop();

    /**
     * Queues an event of the control thread (service terms, members, drain) for admission on the data thread. If the
     * queue is full, the event is dropped and counted in AgentDataStatus::droppedEvents.
     */
    void post(const admission::Event &event);

    /** The most recently published status. */
    std::shared_ptr<const AgentDataStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace samphireswitch::agent
