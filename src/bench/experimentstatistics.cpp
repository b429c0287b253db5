#include "bench/experimentstatistics.h"

#include "bench/experimentworkload.h"

#include <algorithm>
#include <numeric>

namespace samphireswitch::bench {

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

double mean(std::span<const double> values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double imbalance(std::span<const double> values)
{
    const double average = mean(values);
    return average == 0 ? 1 : *std::max_element(values.begin(), values.end()) / average;
}

UsageRecorder::UsageRecorder(std::uint32_t hosts)
    : m_hosts(hosts)
{
}

void UsageRecorder::addBusy(std::uint32_t host, TimePoint from, TimePoint to, double slots)
{
    add(m_busy, host, from, to, slots);
}

void UsageRecorder::addFeed(std::uint32_t host, TimePoint from, TimePoint to, double feeds)
{
    add(m_feeds, host, from, to, feeds);
}

double UsageRecorder::busyImbalance(TimePoint start, std::span<const std::uint32_t> hosts) const
{
    return imbalanceAt(m_busy, start, hosts);
}

double UsageRecorder::feedImbalance(TimePoint start, std::span<const std::uint32_t> hosts) const
{
    return imbalanceAt(m_feeds, start, hosts);
}

void UsageRecorder::add(Windows &windows, std::uint32_t host, TimePoint from, TimePoint to, double amount) const
{
    // A feed may outlive the run by hours; later windows are not read.
    const TimePoint end = std::min(to, s_start + 100 * s_window);
    while (from < end) {
        const auto window = static_cast<std::size_t>((from - s_start) / s_window);
        const TimePoint windowEnd = s_start + (window + 1) * s_window;
        const TimePoint until = std::min(end, windowEnd);
        if (windows.size() <= window) {
            windows.resize(window + 1, std::vector<double>(m_hosts));
        }
        windows[window][host] += amount * std::chrono::duration<double>(until - from).count();
        from = until;
    }
}

double UsageRecorder::imbalanceAt(const Windows &windows, TimePoint start, std::span<const std::uint32_t> hosts)
{
    const auto window = static_cast<std::size_t>((start - s_start) / s_window);
    if (window >= windows.size()) {
        return 1;
    }
    std::vector<double> values;
    for (const std::uint32_t host : hosts) {
        values.push_back(windows[window][host]);
    }
    return imbalance(values);
}

} // namespace samphireswitch::bench
