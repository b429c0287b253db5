#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace samphireswitch::balancer {

/** Totals of the packet path since its start, read at one moment. */
struct ForwardingTotals
{
    std::uint64_t packetsIn = 0;
    /** UDP payload that arrived from the fabric and from agents, in bytes. */
    std::uint64_t bytesIn = 0;
    /** UDP payload that was sent, in bytes. */
    std::uint64_t bytesOut = 0;
    std::uint64_t batches = 0;
    /** Packets that the system discarded because the receive buffer was full. */
    std::uint64_t overflows = 0;
    std::uint64_t sendErrors = 0;
    std::chrono::nanoseconds processorTime {0};
    /** Packets of bulk data that were dropped because the link is full. */
    std::uint64_t droppedAtLimit = 0;
    /** Use of the link's rate and of the thread's time in the last tenths of a second, in thousandths. */
    std::uint64_t linkPermille = 0;
    std::uint64_t busyPermille = 0;
};

/** What a balancer forwarded in one interval. */
struct ForwardingLoad
{
    std::chrono::milliseconds interval {0};
    std::uint64_t packetsPerSecond = 0;
    std::uint64_t kilobitsInPerSecond = 0;
    std::uint64_t kilobitsOutPerSecond = 0;
    std::uint64_t batchesPerSecond = 0;
    std::uint64_t overflows = 0;
    std::uint64_t sendErrors = 0;
    /** Processor time in thousandths of the interval. */
    std::uint64_t processorPermille = 0;
    std::uint64_t droppedAtLimit = 0;
    /** At the end of the interval; see ForwardingTotals. */
    std::uint64_t linkPermille = 0;
    std::uint64_t busyPermille = 0;
};

/** Derives the load of an interval from the totals at its ends. Not thread-safe. */
class ForwardingLoadMeter
{
public:
    /** Intervals end at the first observation that is at least @p interval after their start. */
    explicit ForwardingLoadMeter(std::chrono::milliseconds interval);

    /** Whether observe() has a use for totals at @p now: the first interval begins, or one ends. */
    bool isDue(TimePoint now) const;

    /** Returns the load of the interval that ends with @p totals at @p now; nothing if none ends. */
    std::optional<ForwardingLoad> observe(const ForwardingTotals &totals, TimePoint now);

private:
    std::chrono::milliseconds m_interval;
    std::optional<TimePoint> m_start;
    ForwardingTotals m_totals;
};

} // namespace samphireswitch::balancer
