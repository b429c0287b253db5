#include "admission/servicetimeestimate.h"

#include <algorithm>

namespace samphireswitch::admission {

namespace {

/**
 * Samples over which the mean extends. With 2% of the requests 50 times longer, the mean of 64 samples varies by 45%,
 * of 512 by 16%, which tells a load of 0.8 from a surge.
 */
constexpr int s_window = 512;

} // namespace

ServiceTimeEstimate::ServiceTimeEstimate(std::chrono::nanoseconds initial)
    : m_mean(initial)
{
}

void ServiceTimeEstimate::addSample(std::chrono::nanoseconds sample)
{
    // The first samples have equal weights, so that a wrong initial value is forgotten at once.
    m_samples = std::min(m_samples + 1, s_window);
    m_mean += (sample - m_mean) / m_samples;
}

std::chrono::nanoseconds ServiceTimeEstimate::mean() const
{
    return m_mean;
}

} // namespace samphireswitch::admission
