#include "passthrough/upstreamregistration.h"

namespace samphireswitch::passthrough {

UpstreamRegistration::UpstreamRegistration(const RegistrationSettings &settings)
    : m_settings(settings)
{
}

RegistrationOutcome UpstreamRegistration::apply(const UpstreamMessage &message, TimePoint now)
{
    return std::visit([this, now](const auto &kind) { return on(kind, now); }, message);
}

const std::optional<UpstreamReport> &UpstreamRegistration::report() const
{
    return m_report;
}

bool UpstreamRegistration::isReady(TimePoint now) const
{
    return m_report && !m_left && m_report->state == ReportedState::Ready
        && now - m_lastHeard < m_settings.reportTimeout;
}

bool UpstreamRegistration::hasLeft() const
{
    return m_left;
}

TimePoint UpstreamRegistration::lastHeard() const
{
    return m_lastHeard;
}

RegistrationOutcome UpstreamRegistration::on(const UpstreamReport &report, TimePoint now)
{
    if (!m_report || !isSameRun(report.id, report.startedSinceEpoch)) {
        if (m_report && report.startedSinceEpoch < m_report->startedSinceEpoch) {
            return RegistrationOutcome::Superseded;
        }
        m_report = report;
        m_left = false;
        m_lastHeard = now;
        return RegistrationOutcome::NewRun;
    }
    if (m_left) {
        return RegistrationOutcome::Superseded;
    }
    if (report.sequence <= m_report->sequence) {
        return RegistrationOutcome::Late;
    }
    const bool changed =
        report.state != m_report->state || report.service != m_report->service || report.slots != m_report->slots;
    m_report = report;
    m_lastHeard = now;
    return changed ? RegistrationOutcome::Changed : RegistrationOutcome::Refreshed;
}

RegistrationOutcome UpstreamRegistration::on(const UpstreamDeparture &departure, TimePoint now)
{
    const bool namesRun = m_report && m_report->id == departure.id;
    const bool isOlder = m_report && departure.startedSinceEpoch.count() != 0
        && departure.startedSinceEpoch < m_report->startedSinceEpoch;
    if (!namesRun || isOlder || m_left) {
        return RegistrationOutcome::Superseded;
    }
    m_left = true;
    m_lastHeard = now;
    return RegistrationOutcome::Changed;
}

bool UpstreamRegistration::isSameRun(const std::string &id, std::chrono::milliseconds startedSinceEpoch) const
{
    return m_report->id == id && m_report->startedSinceEpoch == startedSinceEpoch;
}

} // namespace samphireswitch::passthrough
