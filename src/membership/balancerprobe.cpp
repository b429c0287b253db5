#include "membership/balancerprobe.h"

#include <algorithm>

namespace samphireswitch::membership {

BalancerProbe::BalancerProbe(const ProbeSettings &settings)
    : m_settings(settings)
{
}

std::optional<std::uint64_t> BalancerProbe::startRound(std::span<const std::uint64_t> candidates,
                                                       std::mt19937_64 &random)
{
    ++m_rounds;
    m_silent.reset();
    if (m_target && std::ranges::find(candidates, *m_target) == candidates.end()) {
        m_target.reset();
    }
    if (m_target && m_attempts == m_settings.attempts) {
        m_silent = m_target;
        m_target.reset();
    }
    // Balancers often fail together, so that the next one is probed at once after a silent one.
    const bool isDue = m_silent || m_rounds % m_settings.roundsBetweenProbes == 0;
    if (!m_target && !candidates.empty() && isDue) {
        m_target = candidates[random() % candidates.size()];
        m_attempts = 0;
    }
    if (m_target == m_silent) {
        m_target.reset();
    }
    m_attempts += m_target ? 1 : 0;
    return m_target;
}

const std::optional<std::uint64_t> &BalancerProbe::target() const
{
    return m_target;
}

void BalancerProbe::answered()
{
    m_target.reset();
}

const std::optional<std::uint64_t> &BalancerProbe::silentBalancer() const
{
    return m_silent;
}

} // namespace samphireswitch::membership
