#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>

namespace samphireswitch::passthrough {

/** Latency target, deadline and priority of the requests to an address, from the configuration. */
struct RequestTerms
{
    /** Time from the start of a request within which its answer is in time; 0 if there is no target. */
    std::chrono::milliseconds latencyTarget {0};
    /** Time from the start of a request after which its answer is useless; 0 if there is no deadline. */
    std::chrono::milliseconds deadline {0};
    /** 0 is the highest priority. */
    std::uint8_t priority = 0;

    /** Whether a request that started at @p startedAt can still be answered in time. */
    bool isOnTime(TimePoint startedAt, TimePoint now) const
    {
        return latencyTarget.count() == 0 || now - startedAt < latencyTarget;
    }

    /** Whether the deadline of a request that started at @p startedAt has passed. */
    bool isPastDeadline(TimePoint startedAt, TimePoint now) const
    {
        return deadline.count() != 0 && now - startedAt >= deadline;
    }

    bool operator==(const RequestTerms &) const = default;
};

} // namespace samphireswitch::passthrough
