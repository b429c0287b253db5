#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace samphireswitch::balancer {

/** How much of what a machine has a packet path uses, as shares of 1. */
struct Utilization
{
    /** Of the rate of the link, by what is sent; 0 if the rate is not known. */
    double link = 0;
    /** Of the time, by what the thread of the packet path does not spend waiting for datagrams. */
    double busy = 0;

    /** The scarcer of both. */
    double highest() const;
};

/** @p share in thousandths, for logs and metrics. */
std::uint64_t toPermille(double share);

/**
 * Measures how much of its link and of its processor a packet path uses, over the last tenths of a second. The time
 * that its thread does not wait includes the time that the system withholds the processor, and needs no clock of
 * processor time. Not thread-safe.
 */
class UtilizationMeter
{
public:
    /** @p linkRate is in kilobits a second; 0 if it is not known. */
    explicit UtilizationMeter(std::uint32_t linkRate);

    /** Notes that the thread waited for datagrams for @p duration. Without a call, it counts as idle. */
    void waited(std::chrono::nanoseconds duration);

    /** Notes at @p now the number of datagrams that were sent since the start, and their payload in bytes. */
    void sent(std::uint64_t datagrams, std::uint64_t bytes, TimePoint now);

    const Utilization &utilization() const;

private:
    std::uint32_t m_linkRate;
    std::optional<TimePoint> m_start;
    std::uint64_t m_datagrams = 0;
    std::uint64_t m_bytes = 0;
    std::chrono::nanoseconds m_waited {0};
    bool m_measuresWaits = false;
    Utilization m_utilization;
};

} // namespace samphireswitch::balancer
