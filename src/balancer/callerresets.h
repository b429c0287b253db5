#pragma once

#include "balancer/packetpathcounters.h"
#include "balancer/storeconfirmation.h"
#include "base/time.h"
#include "flow/flowkey.h"
#include "flow/segment.h"
#include "protocol/messages.h"
#include "routing/flowrouter.h"
#include "routing/openingflows.h"
#include "routing/routingtable.h"
#include "routing/unservedflows.h"
#include "telemetry/eventlog.h"

#include <cstdint>
#include <functional>

namespace samphireswitch::balancer {

/**
 * Decides which callers are reset because nobody serves their packets, logs each decision, and counts it. A caller is
 * reset only if that is true and remains so; others repeat their packets. Not thread-safe.
 */
class CallerResets
{
public:
    /** Sends a reset with a sequence number to the caller of a flow. */
    using Send = std::function<void(const flow::FlowKey &flow, std::uint32_t sequenceNumber)>;

    /** The resets are recorded in @p events. */
    CallerResets(PacketPathCounters &counters, telemetry::EventLog &events, Send send);

    /** Notes a first packet that arrived at @p notBefore or later, and whether it was forwarded. */
    void firstPacketArrived(const flow::Segment &packet, TimePoint notBefore, bool isForwarded);

    /**
     * Handles a packet that has no destination by @p table, which is null before the first one: resets its caller if
     * @p confirmed makes it certain that there is none.
     */
    void handleDropped(const flow::Segment &packet,
                       routing::DropReason reason,
                       const routing::RoutingTable *table,
                       const TimedConfirmation &confirmed);

    /** Handles the refusal of a first packet: resets the caller if no copy of the packet can open the flow any more. */
    void handleRefused(const protocol::FirstPacketRefused &refused);

private:
    /** Whether the caller of a packet without a service may be reset, which is certain by @p confirmed. */
    bool mayResetUnserved(const flow::Segment &packet, const StoreConfirmation &confirmed, TimePoint now);

    PacketPathCounters &m_counters;
    telemetry::EventLog &m_events;
    Send m_send;
    routing::UnservedFlows m_unserved;
    routing::OpeningFlows m_opening;
};

} // namespace samphireswitch::balancer
