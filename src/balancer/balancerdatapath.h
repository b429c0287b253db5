#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "base/latencyhistogram.h"
#include "base/resultcode.h"
#include "routing/coverage.h"
#include "routing/routingtable.h"
#include "settings/settings.h"
#include "telemetry/eventlog.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace samphireswitch::balancer {

struct BalancerDataSettings
{
    /** Where the fabric's packets and the agents' hints arrive. */
    Endpoint dataAddress;
    /** Number of flows for which a hint is kept. */
    std::size_t hintCapacity = 0;
    settings::Delivery delivery = settings::Delivery::Terminated;
    /** Where agents send hints. Port 0: to the data address. */
    Endpoint hintAddress {};
};

/** What the packet path tells the other threads. */
struct BalancerDataStatus
{
    /** Well-formed packets from the fabric. */
    std::uint64_t packetsIn = 0;
    std::uint64_t packetsForwarded = 0;
    std::uint64_t firstPackets = 0;
    std::uint64_t hintsLearned = 0;
    std::uint64_t hintsUsed = 0;
    /** Datagrams that are neither a whole IPv4/TCP packet nor a hint. */
    std::uint64_t droppedMalformed = 0;
    std::uint64_t droppedNoService = 0;
    std::uint64_t droppedNoMember = 0;
    /** Includes refusals of closed ports that the system reports. */
    std::uint64_t sendErrors = 0;
    /** Hints for an address and port that no service has. */
    std::uint64_t hintsRejected = 0;
    /** Number of hints in the table now. */
    std::uint64_t hintsHeld = 0;
    /** First packets without a `flow-routed` event because of its limited rate. */
    std::uint64_t eventsSuppressed = 0;
    /** First packets that callers repeated, because nobody had answered the earlier one. */
    std::uint64_t repeatedFirstPackets = 0;
    /** Times that an agent began to count as silent. */
    std::uint64_t agentsSilenced = 0;
    /** Searches for the owner of a flow, and those that followed one that nobody had answered. */
    std::uint64_t searches = 0;
    std::uint64_t searchesRepeated = 0;
    /** Searched packets that the agent they were sent to did not acknowledge. */
    std::uint64_t agentsUnanswered = 0;
    /** Searched packets that were not sent again because their number is limited. */
    std::uint64_t resendsSuppressed = 0;
    /** Packets that waited for the answer to a search that an earlier packet of their flow began. */
    std::uint64_t packetsAwaitingOwner = 0;
    /** Resets of flows to addresses that no service has. */
    std::uint64_t resetsNoService = 0;
    /** From the first packet of a search for a flow's owner to its answer. */
    LatencyHistogram searchTimes {};
};

/**
 * The packet path of a balancer. All work is done in run(), which belongs to one thread; the other functions may be
 * called from one other thread and hand over through rings.
 */
class BalancerDataPath
{
public:
    BalancerDataPath(const BalancerDataSettings &settings, telemetry::EventLog &events);
    ~BalancerDataPath();

    BalancerDataPath(const BalancerDataPath &) = delete;
    BalancerDataPath &operator=(const BalancerDataPath &) = delete;

    /** Binds the socket. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Forwards until requestStop(). Before the first table was published every packet is dropped. */
    void run();

    void requestStop();

    /** Replaces the services and agents that new decisions use; @p generation is stamped on envelopes. */
    void publish(Generation generation,
                 const std::vector<routing::RoutedService> &services,
                 const std::vector<routing::RoutedPool> &pools = {});

    BalancerDataStatus status() const;

    /**
     * Whether it is certain which addresses have a service, so that callers of others are told at once. In doubt their
     * packets are dropped, and their next copy may find the service. Only for passthrough delivery.
     */
    void setConfigurationCertain(bool certain);

    /** How far the published agents are all that there are. */
    void setCoverage(routing::Coverage coverage);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::balancer
