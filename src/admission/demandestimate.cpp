#include "admission/demandestimate.h"

#include <cmath>

namespace samphireswitch::admission {

namespace {

/** Time constant of the decay, short enough to detect the start and the end of a surge within half a second. */
constexpr std::chrono::duration<double> s_timeConstant {0.5};

} // namespace

void DemandEstimate::recordArrival(TimePoint now)
{
    m_count = decayed(now) + 1;
    m_last = now;
}

double DemandEstimate::rate(TimePoint now) const
{
    return decayed(now) / s_timeConstant.count();
}

double DemandEstimate::decayed(TimePoint now) const
{
    return m_count * std::exp(-std::chrono::duration<double>(now - m_last) / s_timeConstant);
}

} // namespace samphireswitch::admission
