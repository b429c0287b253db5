#pragma once

#include "balancer/storeconfirmation.h"
#include "base/endpoint.h"
#include "base/identifiers.h"
#include "base/latencyhistogram.h"
#include "base/resultcode.h"
#include "base/time.h"
#include "routing/absenceproof.h"
#include "routing/coverage.h"
#include "routing/openingflows.h"
#include "routing/routingtable.h"
#include "settings/settings.h"
#include "telemetry/eventlog.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::balancer {

/** Sockets, packet format and table size of a BalancerDataPath. */
struct BalancerDataSettings
{
    /** UDP address for packets of the fabric and, if hintAddress has port 0, for messages of the agents. */
    Endpoint dataAddress;
    /** Maximum number of flows for which the owner is remembered. */
    std::size_t hintCapacity = 0;
    /** Selects the packet format; only passthrough delivery resets callers and requests receipts for searches. */
    settings::Delivery delivery = settings::Delivery::Terminated;
    /** UDP address for hints, receipts and searches that agents return. With port 0 they arrive on dataAddress. */
    Endpoint hintAddress {};
    /**
     * Rate of the machine's network link in kilobits a second; 0 if it is not known. Bulk data waits for the link only
     * where hints have an address of their own.
     */
    std::uint32_t linkRate = 0;
};

/** What the coverage that is in force rests on, for the records of resets. */
struct CoverageGrounds
{
    TimePoint startedAt;
    /** When a peer last had the same members; the epoch of the clock if none had. */
    TimePoint agreedAt;
    /** When the process last noticed that it had stood still; the epoch of the clock if it never did. */
    TimePoint resumedAt;
    /** Agents that stopped, do not respond or died lately, as names with their states. */
    std::string absentAgents;
};

/**
 * Counters and measurements of the packet path since its construction. Each counter is read separately while packets
 * are forwarded, so that the counters of one status may not add up exactly.
 */
struct BalancerDataStatus
{
    /** Well-formed packets received from the fabric. */
    std::uint64_t packetsIn = 0;
    std::uint64_t packetsForwarded = 0;
    /** UDP payload that arrived from the fabric and from agents, in bytes. */
    std::uint64_t bytesIn = 0;
    /** UDP payload that was sent, in bytes. */
    std::uint64_t bytesOut = 0;
    /** Receive calls that returned datagrams. */
    std::uint64_t batches = 0;
    /** Datagrams that the system discarded because a receive buffer was full, where the system tells. */
    std::uint64_t receiveOverflows = 0;
    std::uint64_t firstPackets = 0;
    std::uint64_t hintsLearned = 0;
    std::uint64_t hintsUsed = 0;
    /**
     * Datagrams that are neither a complete packet of the configured format nor a message that agents send, and packets
     * that do not fit into an envelope.
     */
    std::uint64_t droppedMalformed = 0;
    std::uint64_t droppedNoService = 0;
    std::uint64_t droppedNoMember = 0;
    /** Datagrams that the system did not send, and receive errors, by which it reports closed ports of receivers. */
    std::uint64_t sendErrors = 0;
    /** Hints that name an address and port without a service. */
    std::uint64_t hintsRejected = 0;
    /** Number of hints that are stored now. */
    std::uint64_t hintsHeld = 0;
    /** First packets for which the rate limit of events suppressed the `flow-routed` event. */
    std::uint64_t eventsSuppressed = 0;
    /** First packets that a caller retransmitted because its earlier one was not answered. */
    std::uint64_t repeatedFirstPackets = 0;
    /** Number of times that an agent was newly classified as silent. */
    std::uint64_t agentsSilenced = 0;
    /** Packets that were sent through the agents because the owner of their flow was not known. */
    std::uint64_t searches = 0;
    /** Searches that followed an unanswered search for the same flow. */
    std::uint64_t searchesRepeated = 0;
    /** Packets of searches that the addressed agent did not acknowledge in time, or that bypassed a silent agent. */
    std::uint64_t agentsUnanswered = 0;
    /** Packets of searches whose retransmission was suppressed by the rate limit. */
    std::uint64_t resendsSuppressed = 0;
    /** Packets that were queued until a search that an earlier packet of their flow started was answered. */
    std::uint64_t packetsAwaitingOwner = 0;
    /** Packets of flows that every agent which responds has denied, while the one that may own them is away. */
    std::uint64_t packetsOfAbsentOwners = 0;
    /** TCP resets sent to callers whose destination address and port have no service. */
    std::uint64_t resetsNoService = 0;
    /** Packets of bulk data that were dropped because the link is full; see LinkQueue. */
    std::uint64_t droppedAtLimit = 0;
    /** Share of the link's rate that the sent datagrams use now, in thousandths; 0 if the rate is not known. */
    std::uint64_t linkPermille = 0;
    /** Share of the time that the packet path does not wait for datagrams now, in thousandths. */
    std::uint64_t busyPermille = 0;
    /** Searches that ended without an owner, by verdict; the index is the value of routing::AbsenceVerdict. */
    std::array<std::uint64_t, routing::s_absenceVerdictCount> endedSearches {};
    /** First packets that nobody accepted, by verdict; the index is the value of routing::RefusalVerdict. */
    std::array<std::uint64_t, routing::s_refusalVerdictCount> refusedFirstPackets {};
    /** Time from the first packet of a search for a flow's owner to the answer. Updated at most once a second. */
    LatencyHistogram searchTimes {};
};

/**
 * The packet path of a balancer: receives packets from the fabric and forwards each to the agent that owns its flow, or
 * searches the agents for the owner.
 *
 * One thread executes run(). publish() may be called from one other thread at a time; requestStop(), status(),
 * setConfirmation(), setAbsentAgents() and setCoverage() may be called from any thread.
 */
class BalancerDataPath
{
public:
    BalancerDataPath(const BalancerDataSettings &settings, telemetry::EventLog &events);
    ~BalancerDataPath();

    BalancerDataPath(const BalancerDataPath &) = delete;
    BalancerDataPath &operator=(const BalancerDataPath &) = delete;

    /** Binds the data socket and, if one is configured, the hint socket. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Forwards packets until requestStop() is called. Drops every packet until the first call of publish(). */
    void run();

    /** Makes run() return. It notices the request within 50 ms while no packet arrives. */
    void requestStop();

    /**
     * Replaces the services and agents that are used for routing and discards a table that run() has not adopted yet.
     * Envelopes carry @p generation, the generation of the configuration that the table was built from. @p contentHash
     * is the hash of its content.
     */
    void publish(Generation generation,
                 const std::vector<routing::RoutedService> &services,
                 const std::vector<routing::RoutedPool> &pools = {},
                 std::uint64_t contentHash = 0);

    BalancerDataStatus status() const;

    /**
     * Sets the newest confirmation of the configuration, which counts until @p end and if the published services are
     * of the same content or newer. While it counts, a first packet to an address without a service is answered with a
     * TCP reset, and so are packets of an open flow of which a packet arrived here before the confirmation. Others are
     * dropped, because a retransmission may find a service that was added meanwhile. Resets are never answered. Has an
     * effect only with passthrough delivery.
     */
    void setConfirmation(const StoreConfirmation &confirmation, TimePoint end);

    /** Sets what is known of the agents that do not respond. It counts as long as the coverage that is set next does.
     */
    void setAbsentAgents(routing::AbsentAgents agents);

    /**
     * Sets how far the published agents include every agent that may own a flow. When the coverage rises,
     * searches that may have missed the owner are repeated. From @p end on the coverage is partial
     * again, so that a process which was paused does not act on what it knew before. @p grounds is recorded with
     * resets.
     */
    void setCoverage(routing::Coverage coverage, TimePoint end, CoverageGrounds grounds = {});

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::balancer
