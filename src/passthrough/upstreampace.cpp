#include "passthrough/upstreampace.h"

#include <algorithm>

namespace samphireswitch::passthrough {

namespace {

constexpr double s_leastLimit = 1;
constexpr double s_cutFactor = 0.5;
// Weight of the latest request in the share of bad ones, so that about the last 16 requests decide.
constexpr double s_resultWeight = 1.0 / 16;
// Part by which each answer moves the usual time towards its own. Small, so that a period of late answers hardly does.
constexpr double s_usualTimeStep = 0.02;

} // namespace

std::string_view paceChangeName(PaceChange change)
{
    switch (change) {
    case PaceChange::Started:
        return "started";
    case PaceChange::Recovered:
        return "recovered";
    case PaceChange::Reset:
        return "reset";
    case PaceChange::LateAnswer:
        return "late-answer";
    case PaceChange::MissingAnswer:
        return "missing-answer";
    case PaceChange::Regained:
        return "regained";
    }
    return "unknown";
}

UpstreamPace::UpstreamPace(const UpstreamPaceSettings &settings)
    : m_settings(settings)
{
}

bool UpstreamPace::isEnabled() const
{
    return m_settings.isEnabled;
}

void UpstreamPace::restart(PaceChange change)
{
    if (!m_settings.isEnabled) {
        return;
    }
    m_limit = std::min(m_limit.value_or(m_settings.initialLimit), m_settings.initialLimit);
    m_growsFast = true;
    m_badShare = 0;
    changed(change);
}

void UpstreamPace::answered(std::chrono::nanoseconds serviceTime,
                            std::chrono::milliseconds latencyTarget,
                            std::size_t slots)
{
    if (!m_settings.isEnabled) {
        return;
    }
    const bool wasLate = isLate(serviceTime, latencyTarget);
    recordServiceTime(serviceTime);
    if (wasLate) {
        failed(PaceChange::LateAnswer);
        return;
    }
    recordResult(true);
    grow(slots);
}

void UpstreamPace::missingOneAnswered(std::chrono::nanoseconds serviceTime)
{
    if (m_settings.isEnabled) {
        recordServiceTime(serviceTime);
    }
}

void UpstreamPace::failed(PaceChange change)
{
    if (!m_settings.isEnabled) {
        return;
    }
    recordResult(false);
    if (m_limit) {
        m_growsFast = false;
        m_limit = std::max(s_leastLimit, *m_limit * s_cutFactor);
        changed(change);
        return;
    }
    // Single requests may be long, or their callers' packets lost: only a large share of them is the upstream's doing.
    if (m_badShare >= m_settings.troubledShare) {
        m_growsFast = false;
        m_limit = s_leastLimit;
        changed(change);
    }
}

bool UpstreamPace::isMissing(std::chrono::nanoseconds waited, std::chrono::milliseconds latencyTarget) const
{
    return waited >= m_settings.leastMissingTime && isLate(waited, latencyTarget);
}

std::optional<std::size_t> UpstreamPace::limit() const
{
    return m_limit ? std::optional(static_cast<std::size_t>(*m_limit)) : std::nullopt;
}

const std::array<std::uint64_t, s_paceChangeCount> &UpstreamPace::changes() const
{
    return m_changes;
}

PaceChange UpstreamPace::latestChange() const
{
    return m_latestChange;
}

bool UpstreamPace::isLate(std::chrono::nanoseconds serviceTime, std::chrono::milliseconds latencyTarget) const
{
    const auto inTime = latencyTarget.count() == 0 ? m_settings.leastLateTime : latencyTarget;
    return serviceTime > inTime && serviceTime > m_settings.lateFactor * m_usualTime;
}

void UpstreamPace::recordServiceTime(std::chrono::nanoseconds serviceTime)
{
    if (m_usualTime.count() == 0) {
        m_usualTime = serviceTime;
        return;
    }
    const double factor = serviceTime > m_usualTime ? 1 + s_usualTimeStep : 1 - s_usualTimeStep;
    m_usualTime = std::chrono::duration_cast<std::chrono::nanoseconds>(m_usualTime * factor);
}

void UpstreamPace::recordResult(bool isGood)
{
    m_badShare += ((isGood ? 0.0 : 1.0) - m_badShare) * s_resultWeight;
}

void UpstreamPace::grow(std::size_t slots)
{
    if (!m_limit) {
        return;
    }
    *m_limit += m_growsFast ? 1 : 1 / *m_limit;
    if (*m_limit < static_cast<double>(std::max<std::size_t>(slots, 1)) + 1) {
        return;
    }
    m_limit.reset();
    changed(PaceChange::Regained);
}

void UpstreamPace::changed(PaceChange change)
{
    m_latestChange = change;
    ++m_changes[static_cast<std::size_t>(change)];
}

} // namespace samphireswitch::passthrough
