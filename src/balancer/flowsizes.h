#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace samphireswitch::balancer {

/**
 * Learns how many bytes of callers a flow to each address of a service brings, from the packets that passed in the last
 * seconds. Not thread-safe.
 */
class FlowSizes
{
public:
    /** Notes a packet of @p bytes to @p destination, which opens a flow if @p opensFlow is set. */
    void passed(const Endpoint &destination, std::size_t bytes, bool opensFlow, TimePoint now);

    /**
     * Whether flows to @p destination bring many packets each, and are among the largest, which together bring half of
     * all bytes. False while few flows to it were seen.
     */
    bool isBulk(const Endpoint &destination) const;

private:
    struct Entry
    {
        Endpoint destination;
        double bytes = 0;
        double flows = 0;
    };

    /** Reduces what was counted before the last seconds. */
    void age(TimePoint now);

    std::vector<Entry> m_entries;
    std::optional<TimePoint> m_agedAt;
};

} // namespace samphireswitch::balancer
