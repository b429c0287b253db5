#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "routing/recentsearches.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace samphireswitch::routing {

/** Limits of PacketsAwaitingOwner. */
struct AwaitingOwnerSettings
{
    /** A flow whose first waiting packet is older than this stops waiting; takeExpired() returns its packets. */
    std::chrono::milliseconds maximumAge = SearchSettings().answerWaitTime;
    /** Maximum number of packets of all flows. A caller has up to 16 packets of at most 1,232 bytes in flight. */
    std::size_t capacity = 512;
};

/**
 * Queues packets of flows while a search for the owner of the flow is in progress.
 *
 * When a balancer joins or leaves, the fabric moves most flows to other balancers, even in the middle of an upload.
 * Without this queue, each packet in flight would be sent from agent to agent to find the owner. That traffic saturates
 * slow links and delays the first packets of other callers. One search per flow is enough.
 */
class PacketsAwaitingOwner
{
public:
    using Packet = std::vector<std::byte>;

    explicit PacketsAwaitingOwner(const AwaitingOwnerSettings &settings = {});

    /** Queues a copy of @p packet. Returns false, and queues nothing, if the queue has reached its capacity. */
    bool keep(const flow::FlowKey &key, std::span<const std::byte> packet, TimePoint now);

    bool empty() const;

    /** Removes and returns the packets of the flow @p key in order of arrival; called when its owner becomes known. */
    std::vector<Packet> take(const flow::FlowKey &key);

    /**
     * Removes and returns all packets of each flow whose first packet has waited at least the maximum age. The packets
     * of a flow are in order of arrival.
     */
    std::vector<Packet> takeExpired(TimePoint now);

private:
    /** The queued packets of one flow, and when the first of them arrived. */
    struct Waiting
    {
        TimePoint since;
        std::vector<Packet> packets;
    };

    AwaitingOwnerSettings m_settings;
    std::map<flow::FlowKey, Waiting> m_flows;
    std::size_t m_packets = 0;
};

} // namespace samphireswitch::routing
