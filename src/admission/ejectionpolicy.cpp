#include "admission/ejectionpolicy.h"

#include <algorithm>

namespace samphireswitch::admission {

namespace {

/** The product requires that ejection never removes more than a third of a service: one in this number of members. */
constexpr std::size_t s_ejectableDivisor = 3;

} // namespace

EjectionPolicy::EjectionPolicy(std::uint32_t failuresToEject, std::chrono::nanoseconds probeInterval)
    : m_failuresToEject(failuresToEject)
    , m_probeInterval(probeInterval)
{
}

void EjectionPolicy::recordSuccess()
{
    m_failures = 0;
}

void EjectionPolicy::recordFailure(TimePoint now)
{
    const bool wasEjected = isEjected();
    m_failures = std::min(m_failures + 1, m_failuresToEject);
    if (isEjected() && !wasEjected) {
        m_nextProbe = now + m_probeInterval;
    }
}

void EjectionPolicy::recordProbe(TimePoint now)
{
    m_nextProbe = now + m_probeInterval;
}

bool EjectionPolicy::isEjected() const
{
    return m_failures >= m_failuresToEject;
}

bool EjectionPolicy::isProbeDue(TimePoint now) const
{
    return isEjected() && now >= m_nextProbe;
}

std::uint32_t EjectionPolicy::maximumEjected(std::size_t members)
{
    return static_cast<std::uint32_t>(members / s_ejectableDivisor);
}

} // namespace samphireswitch::admission
