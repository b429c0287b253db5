#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace samphireswitch::bench {

/** The value below which @p share of @p values lie; 0 without values. */
double percentile(std::vector<double> values, double share);

double mean(std::span<const double> values);

/** Maximum over mean; 1 without values or with a mean of 0. */
double imbalance(std::span<const double> values);

/** Busy slots and held feeds of each host, summed over windows of 10 s. */
class UsageRecorder
{
public:
    explicit UsageRecorder(std::uint32_t hosts = 0);

    /** One slot of @p host was busy from @p from to @p to. */
    void addBusy(std::uint32_t host, TimePoint from, TimePoint to, double slots = 1);
    void addFeed(std::uint32_t host, TimePoint from, TimePoint to, double feeds = 1);

    /** Imbalance of busy slots, or of feeds, in the window that starts at @p start. @p hosts are those that count. */
    double busyImbalance(TimePoint start, std::span<const std::uint32_t> hosts) const;
    double feedImbalance(TimePoint start, std::span<const std::uint32_t> hosts) const;

    static constexpr std::chrono::seconds s_window {10};

private:
    using Windows = std::vector<std::vector<double>>;

    void add(Windows &windows, std::uint32_t host, TimePoint from, TimePoint to, double amount) const;
    static double imbalanceAt(const Windows &windows, TimePoint start, std::span<const std::uint32_t> hosts);

    std::uint32_t m_hosts = 0;
    Windows m_busy;
    Windows m_feeds;
};

} // namespace samphireswitch::bench
