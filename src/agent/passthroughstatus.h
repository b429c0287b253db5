#pragma once

#include "base/latencyhistogram.h"
#include "base/time.h"
#include "passthrough/passthroughadmission.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace samphireswitch::agent {

/**
 * Snapshot of the packet path for the other threads, published about every 100 ms and after each report of the
 * upstream. Counts of packets, datagrams and reports start at zero with the process.
 */
struct PassthroughDataStatus
{
    passthrough::PassthroughCounters counters;
    /** Whether the agent accepts new flows while the upstream has a free slot. */
    bool accepting = false;
    /** As in PassthroughAdmission::hasUpstreamLeft(). */
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

/** The status of the packet path as far as @p admission knows it; the counts of the sockets are 0. */
PassthroughDataStatus statusOf(const passthrough::PassthroughAdmission &admission, TimePoint now);

} // namespace samphireswitch::agent
