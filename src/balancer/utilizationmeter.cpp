#include "balancer/utilizationmeter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphireswitch::balancer {

namespace {

using Seconds = std::chrono::duration<double>;

// Time that one sample covers.
constexpr std::chrono::milliseconds s_sampleTime {50};
// Samples of this time are averaged. Longer than a burst of one flow, shorter than a crowd.
constexpr std::chrono::milliseconds s_averageTime {400};
// Headers of UDP and IPv4, which the link carries beside the payload.
constexpr double s_headerBytes = 28;
constexpr double s_bitsPerByte = 8;
constexpr double s_bitsPerKilobit = 1000;

} // namespace

double Utilization::highest() const
{
    return std::max(link, busy);
}

std::uint64_t toPermille(double share)
{
    constexpr double permille = 1000;
    return static_cast<std::uint64_t>(std::lround(share * permille));
}

UtilizationMeter::UtilizationMeter(std::uint32_t linkRate)
    : m_linkRate(linkRate)
{
}

void UtilizationMeter::waited(std::chrono::nanoseconds duration)
{
    m_measuresWaits = true;
    m_waited += duration;
}

void UtilizationMeter::sent(std::uint64_t datagrams, std::uint64_t bytes, TimePoint now)
{
    const TimePoint start = m_start.value_or(now);
    if (m_start && now - start < s_sampleTime) {
        return;
    }
    m_start = now;
    const auto newDatagrams = static_cast<double>(datagrams - std::exchange(m_datagrams, datagrams));
    const auto newBytes = static_cast<double>(bytes - std::exchange(m_bytes, bytes));
    const std::chrono::nanoseconds waited = std::exchange(m_waited, std::chrono::nanoseconds(0));
    if (now <= start) {
        return;
    }
    const double elapsed = Seconds(now - start).count();
    Utilization sample;
    if (m_linkRate != 0) {
        const double bits = (newBytes + newDatagrams * s_headerBytes) * s_bitsPerByte;
        sample.link = bits / (elapsed * m_linkRate * s_bitsPerKilobit);
    }
    if (m_measuresWaits) {
        sample.busy = std::clamp(1 - Seconds(waited).count() / elapsed, 0.0, 1.0);
    }
    const double weight = std::min(1.0, elapsed / Seconds(s_averageTime).count());
    m_utilization.link += (sample.link - m_utilization.link) * weight;
    m_utilization.busy += (sample.busy - m_utilization.busy) * weight;
}

const Utilization &UtilizationMeter::utilization() const
{
    return m_utilization;
}

} // namespace samphireswitch::balancer
