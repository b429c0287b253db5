#include "admission/servicetimeestimate.h"

#include <algorithm>

namespace samphireswitch::admission {

ServiceTimeEstimate::ServiceTimeEstimate(std::chrono::nanoseconds initial, int window)
    : m_mean(initial)
    , m_window(window)
{
}

void ServiceTimeEstimate::addSample(std::chrono::nanoseconds sample)
{
    // The first sample replaces the initial value, which may be wrong, and the first samples have equal weights.
    m_samples = std::min(m_samples + 1, m_window);
    m_mean += (sample - m_mean) / m_samples;
}

std::chrono::nanoseconds ServiceTimeEstimate::mean() const
{
    return m_mean;
}

} // namespace samphireswitch::admission
