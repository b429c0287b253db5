#include "telemetry/distribution.h"

namespace samphireswitch::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr double s_percentile = 0.99;

std::chrono::microseconds toMicroseconds(double value)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(value));
}

} // namespace

Distribution::Distribution()
    : m_microseconds(acc::quantile_probability = s_percentile)
{
}

void Distribution::add(std::chrono::nanoseconds duration)
{
    const std::lock_guard lock(m_mutex);
    m_microseconds(std::chrono::duration<double, std::micro>(duration).count());
    m_histogram.record(duration);
}

LatencyHistogram Distribution::histogram() const
{
    const std::lock_guard lock(m_mutex);
    return m_histogram;
}

Distribution::Summary Distribution::summary() const
{
    const std::lock_guard lock(m_mutex);
    Summary summary;
    summary.count = acc::count(m_microseconds);
    if (summary.count == 0) {
        return summary;
    }
    summary.mean = toMicroseconds(acc::mean(m_microseconds));
    summary.maximum = toMicroseconds(acc::max(m_microseconds));
    summary.percentile99 = toMicroseconds(acc::p_square_quantile(m_microseconds));
    return summary;
}

} // namespace samphireswitch::telemetry
