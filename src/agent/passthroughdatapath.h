#pragma once

#include "base/endpoint.h"
#include "passthrough/passthroughadmission.h"
#include "passthrough/upstreamreport.h"
#include "telemetry/eventlog.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::agent {

/** Settings of the packet path of an agent with passthrough delivery. */
struct PassthroughDataSettings
{
    passthrough::PassthroughSettings admission;
    std::string host;
    /** Address at which the upstream receives packets. */
    Endpoint upstreamAddress;
    /** Address of the agent to which the upstream sends its packets. */
    Endpoint outboundAddress;
};

/**
 * Snapshot of the packet path for the other threads, published about every 100 ms and after each report of the
 * upstream. Counts of packets, datagrams and reports start at zero with the process.
 */
struct PassthroughDataStatus
{
    passthrough::PassthroughCounters counters;
    /** Whether the agent accepts new flows while the upstream has a free slot. */
    bool accepting = false;
    /** Whether the current run of the upstream has reported that it is about to exit. */
    bool upstreamLeft = false;
    /** Whether the upstream does not run and has sent no report since the agent started. */
    bool upstreamAbsent = false;
    /** As in PassthroughAdmission::isUpstreamDown(). */
    bool upstreamDown = false;
    /** Pool that the upstream reported; empty before the first report. */
    std::string service;
    /** Slots that the upstream reported; 0 before the first report. */
    std::uint32_t slots = 0;
    /** Requests that the upstream has not answered yet. */
    std::size_t requestsWaiting = 0;
    /** Flows in the agent's flow table. */
    std::size_t flows = 0;
    /** First packets of new flows that are held until a slot is free. */
    std::size_t firstPacketsHeld = 0;
    /** The same by priority, without the priorities of which none is held. */
    std::map<std::uint8_t, std::size_t> firstPacketsHeldByPriority {};
    /** First packets that were refused because they gave way to requests of a higher priority in a full queue. */
    std::uint64_t firstPacketsDisplaced = 0;
    /** Typical time for which a request occupies a slot; 0 while it is not known. */
    std::chrono::nanoseconds slotTime {0};
    /** Times from the last new data of a request to the first data of its answer. */
    LatencyHistogram answerTimes {};
    /** Times for which first packets were held until a slot was free. */
    LatencyHistogram waitingTimes {};
    /** Number of requests that the upstream should have at most: its slots unless its pace allows fewer. */
    std::size_t concurrencyLimit = 0;
    /** As in UpstreamPace::changes(). */
    std::array<std::uint64_t, passthrough::s_paceChangeCount> paceChanges {};
    /** Whether the upstream is cold and its requests per second are limited. */
    bool coldLimitInForce = false;
    /** Whether every flow that the upstream holds is in the agent's flow table. */
    bool knowsAllFlows = false;
    /** Flows of other agents, and of this one from before its start, whose owners are recorded here. */
    std::size_t locationRecords = 0;
    /** Packets of callers that arrived in envelopes, from balancers or from other agents. */
    std::uint64_t packetsFromBalancers = 0;
    /** Packets that the upstream sent or returned. */
    std::uint64_t packetsFromUpstream = 0;
    /** Datagrams that could not be decoded or held too large a packet, and envelopes that could not be encoded. */
    std::uint64_t malformedDatagrams = 0;
    /** Datagrams to callers, balancers and other agents that the socket rejected. */
    std::uint64_t droppedDatagrams = 0;
    /** Reports of the upstream that were dropped because the queue to the packet path was full. */
    std::uint64_t droppedReports = 0;
};

/**
 * The packet path of an agent with passthrough delivery, whose upstream terminates the callers' connections itself.
 * The packet path receives callers' packets in envelopes and delivers them to the upstream, and forwards the upstream's
 * packets to the callers. All packets are processed in run(), which must be called by one thread only. report() must be
 * called only by the thread that receives the upstream's reports, setPeers() and setServed() only by the control
 * thread; the other functions may be called by any thread.
 */
class PassthroughDataPath
{
public:
    PassthroughDataPath(const PassthroughDataSettings &settings, telemetry::EventLog &events);
    ~PassthroughDataPath();

    PassthroughDataPath(const PassthroughDataPath &) = delete;
    PassthroughDataPath &operator=(const PassthroughDataPath &) = delete;

    /**
     * Binds the sockets and connects one to the upstream's address. Fails with ResultCode::SocketError if the system
     * refuses a socket, an address or an event descriptor. Must succeed before run() is called.
     */
    Result<void> open();

    /** Processes packets until requestStop() is called. */
    void run();
    /** Makes run() return after its current iteration. */
    void requestStop();

    /** Queues a report of the upstream for run(). Returns false if the queue is full and the report was dropped. */
    bool report(const passthrough::UpstreamMessage &message);

    /**
     * Replaces the list of agents of the upstream's pool, which a search for a flow's owner may ask and which record
     * the owners of each other's flows.
     */
    void setPeers(std::vector<passthrough::Peer> peers);

    /** Replaces the addresses that the upstream may serve by the newest configuration that the agent knows. */
    void setServed(passthrough::ServedDestinations served);

    /** Tells that the upstream had announced its exit before the start of this process. */
    void upstreamHadLeft();

    /** Makes the agent accept no new flow from now on; packets of open flows still pass. */
    void stopAccepting();

    /** Returns the most recently published status. */
    std::shared_ptr<const PassthroughDataStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::agent
