#include "balancer/forwardingload.h"

#include <utility>

namespace samphireswitch::balancer {

namespace {

constexpr std::uint64_t s_bitsPerByte = 8;

/** Returns an amount for each second of @p interval, which must not be empty. */
std::uint64_t perSecond(std::uint64_t amount, std::chrono::milliseconds interval)
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    return amount * millisecondsPerSecond / static_cast<std::uint64_t>(interval.count());
}

/** Converts @p bytes in @p interval, which must not be empty. Bits per millisecond equal kilobits per second. */
std::uint64_t kilobitsPerSecond(std::uint64_t bytes, std::chrono::milliseconds interval)
{
    return bytes * s_bitsPerByte / static_cast<std::uint64_t>(interval.count());
}

} // namespace

ForwardingLoadMeter::ForwardingLoadMeter(std::chrono::milliseconds interval)
    : m_interval(interval)
{
}

bool ForwardingLoadMeter::isDue(TimePoint now) const
{
    return !m_start || now - *m_start >= m_interval;
}

std::optional<ForwardingLoad> ForwardingLoadMeter::observe(const ForwardingTotals &totals, TimePoint now)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    const auto start = std::exchange(m_start, now);
    const ForwardingTotals before = std::exchange(m_totals, totals);
    if (!start) {
        return std::nullopt;
    }
    ForwardingLoad load;
    load.interval = std::chrono::duration_cast<std::chrono::milliseconds>(now - *start);
    load.packetsPerSecond = perSecond(totals.packetsIn - before.packetsIn, load.interval);
    load.kilobitsInPerSecond = kilobitsPerSecond(totals.bytesIn - before.bytesIn, load.interval);
    load.kilobitsOutPerSecond = kilobitsPerSecond(totals.bytesOut - before.bytesOut, load.interval);
    load.batchesPerSecond = perSecond(totals.batches - before.batches, load.interval);
    load.overflows = totals.overflows - before.overflows;
    load.sendErrors = totals.sendErrors - before.sendErrors;
    const auto processorTime =
        std::chrono::duration_cast<std::chrono::microseconds>(totals.processorTime - before.processorTime);
    load.processorPermille =
        static_cast<std::uint64_t>(processorTime.count()) / static_cast<std::uint64_t>(load.interval.count());
    load.droppedAtLimit = totals.droppedAtLimit - before.droppedAtLimit;
    load.linkPermille = totals.linkPermille;
    load.busyPermille = totals.busyPermille;
    return load;
}

} // namespace samphireswitch::balancer
