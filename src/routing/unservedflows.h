#pragma once

#include "base/time.h"
#include "flow/flowkey.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace samphireswitch::routing {

/**
 * Open flows whose destination has no service, and when their first packet arrived. A configuration that lacks the
 * service proves that it was removed only if the store confirmed the configuration later than that: the service may
 * have been added since an earlier confirmation, and the flow opened at a balancer that knows it.
 */
class UnservedFlows
{
public:
    /** Number of flows that are remembered. A flow that is forgotten counts as new with its next packet. */
    static constexpr std::size_t s_defaultCapacity = 8192;

    explicit UnservedFlows(std::size_t capacity = s_defaultCapacity);

    /**
     * Records that a packet of the flow arrived at @p now. Returns when the first packet of the flow arrived; @p now,
     * if this is the first one, or if the previous one arrived so long ago that this is another flow.
     */
    TimePoint firstPacketAt(const flow::FlowKey &key, TimePoint now);

private:
    struct Packets
    {
        TimePoint first;
        TimePoint last;
    };

    std::size_t m_capacity;
    std::unordered_map<flow::FlowKey, Packets> m_packets;
    /** The flows in order of arrival. */
    std::deque<flow::FlowKey> m_order;
};

} // namespace samphireswitch::routing
