#pragma once

#include "base/time.h"
#include "passthrough/upstreamreport.h"

#include <chrono>
#include <optional>
#include <string>

namespace samphireswitch::passthrough {

struct RegistrationSettings
{
    /** An upstream that has not reported for this long gets no new flows. */
    std::chrono::milliseconds reportTimeout {3600};
};

/** Effect of a message of the upstream on its registration. */
enum class RegistrationOutcome {
    /** The report was applied, but neither state, service nor slots changed. */
    Refreshed,
    /** The state, service or slots of the current run changed, or the run has left. */
    Changed,
    /** The report is from a new run of the upstream, which holds no flow of the previous run. */
    NewRun,
    /** The report was ignored, because a report of this run with the same or a higher sequence was already applied. */
    Late,
    /** The message was ignored, because it is not from the current run, or because the current run has left. */
    Superseded,
};

/**
 * State of the upstream on the agent's host, according to the upstream's own reports. A run that started later replaces
 * an earlier run, and within a run only a report with a higher sequence is applied. Delayed reports therefore change
 * nothing. Starts are in the upstream's time of day, which may be set back: a run with an earlier start replaces one
 * that has left or is overdue, once it has reported twice since.
 */
class UpstreamRegistration
{
public:
    explicit UpstreamRegistration(const RegistrationSettings &settings = {});

    /** Applies a report or a departure that was received at @p now, unless it is outdated. */
    RegistrationOutcome apply(const UpstreamMessage &message, TimePoint now);

    /** The latest applied report; empty before the first one. */
    const std::optional<UpstreamReport> &report() const;

    /**
     * Whether the upstream has reported that it is ready, has not left since, and its latest report is more recent than
     * RegistrationSettings::reportTimeout.
     */
    bool isReady(TimePoint now) const;

    /** Whether @p report is a later one of the current run than all before, although that has announced its exit. */
    bool isContinuedAfterDeparture(const UpstreamReport &report) const;

    /** Whether the current run has announced its exit. */
    bool hasLeft() const;

    /** When the latest message of the current run was applied. Only valid if there is a report. */
    TimePoint lastHeard() const;

private:
    RegistrationOutcome on(const UpstreamReport &report, TimePoint now);
    RegistrationOutcome on(const UpstreamDeparture &departure, TimePoint now);
    /** Whether @p report, with an earlier start than the current run, is nevertheless from the run that goes on. */
    bool succeedsSilentRun(const UpstreamReport &report, TimePoint now);
    bool isOverdue(TimePoint now) const;

    RegistrationSettings m_settings;
    std::optional<UpstreamReport> m_report;
    /** The latest report with an earlier start that has arrived since the current run left or became overdue. */
    std::optional<UpstreamReport> m_earlierStart;
    bool m_left = false;
    TimePoint m_lastHeard;
};

} // namespace samphireswitch::passthrough
