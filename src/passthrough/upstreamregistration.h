#pragma once

#include "base/time.h"
#include "passthrough/upstreamreport.h"

#include <chrono>
#include <optional>
#include <string>

namespace samphireswitch::passthrough {

struct RegistrationSettings
{
    /** Silence after which an upstream gets no new flows. */
    std::chrono::milliseconds reportTimeout {3600};
};

/** What a message of an upstream did. */
enum class RegistrationOutcome {
    /** Nothing but the time of the last report changed. */
    Refreshed,
    /** State, service or slots of the known run changed. */
    Changed,
    /** A new run of the upstream; it holds no flow of the one before. */
    NewRun,
    /** A newer report of this run was applied before. */
    Late,
    /** The message is from a run that another one has replaced, or that has left. */
    Superseded,
};

/**
 * The upstream beside an agent, as its own reports describe it. A run that started later replaces an earlier one, and
 * within a run the highest sequence counts, so that a report that was held up changes nothing.
 */
class UpstreamRegistration
{
public:
    explicit UpstreamRegistration(const RegistrationSettings &settings = {});

    RegistrationOutcome apply(const UpstreamMessage &message, TimePoint now);

    /** The report in force; nothing before the first one. */
    const std::optional<UpstreamReport> &report() const;

    /** The upstream says that it is ready, has not left, and was heard from lately. */
    bool isReady(TimePoint now) const;

    bool hasLeft() const;

private:
    RegistrationOutcome on(const UpstreamReport &report, TimePoint now);
    RegistrationOutcome on(const UpstreamDeparture &departure, TimePoint now);
    bool isSameRun(const std::string &id, std::chrono::milliseconds startedSinceEpoch) const;

    RegistrationSettings m_settings;
    std::optional<UpstreamReport> m_report;
    bool m_left = false;
    TimePoint m_lastHeard;
};

} // namespace samphireswitch::passthrough
