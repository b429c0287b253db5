#include "passthrough/upstreamregistration.h"

namespace samphireswitch::passthrough {

namespace {

bool isSameRun(const UpstreamReport &left, const UpstreamReport &right)
{
    return left.run() == right.run();
}

} // namespace

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
    return m_report && !m_left && m_report->state == ReportedState::Ready && !isOverdue(now);
}

bool UpstreamRegistration::isContinuedAfterDeparture(const UpstreamReport &report) const
{
    return m_left && isSameRun(*m_report, report) && report.sequence > m_report->sequence;
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
    if (!m_report || !isSameRun(*m_report, report)) {
        const bool startedEarlier = m_report && report.startedSinceEpoch < m_report->startedSinceEpoch;
        if (startedEarlier && !succeedsSilentRun(report, now)) {
            return RegistrationOutcome::Superseded;
        }
        m_report = report;
        m_earlierStart.reset();
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
    m_earlierStart.reset();
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

bool UpstreamRegistration::succeedsSilentRun(const UpstreamReport &report, TimePoint now)
{
    if (!m_left && !isOverdue(now)) {
        return false;
    }
    if (!m_earlierStart || !isSameRun(*m_earlierStart, report)) {
        m_earlierStart = report;
        return false;
    }
    return report.sequence > m_earlierStart->sequence;
}

bool UpstreamRegistration::isOverdue(TimePoint now) const
{
    return now - m_lastHeard >= m_settings.reportTimeout;
}

} // namespace samphireswitch::passthrough
