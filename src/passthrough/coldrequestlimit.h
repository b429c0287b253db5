#pragma once

#include "base/time.h"
#include "passthrough/serveddestinations.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace samphireswitch::passthrough {

/**
 * Limits the first packets that a cold upstream gets. Within any second, no more of them are handed to it than the
 * configuration allows; a rate below 1 allows one packet in a longer time. The agent beside the upstream sees the
 * packets of all balancers, so that the limit holds for all of them together.
 *
 * An upstream is cold while its reports say so, and for the slow start of the configuration after the start of a run
 * and after the end of an evacuation. In the last case the upstream may have become cold unnoticed; its next report
 * tells whether it has.
 */
class ColdRequestLimit
{
public:
    /** Applies the terms of the latest configuration. */
    void setTerms(const UpstreamTerms &terms, TimePoint now);

    /** A run of the upstream began. */
    void runBegan(TimePoint now);

    /** The upstream has reported that it stays cold for @p remaining from now on. */
    void reported(std::chrono::milliseconds remaining, TimePoint now);

    /** Records that the upstream got a first packet, or another copy of one. */
    void delivered(TimePoint now);

    /** Whether a limit is configured and the upstream is cold. */
    bool isLimiting(TimePoint now) const;

    /** Whether the upstream may get a first packet. */
    bool allows(TimePoint now) const;

    /** Time until the upstream may get a first packet before which @p ahead others are handed over. */
    std::chrono::nanoseconds timeUntilAllowed(std::size_t ahead, TimePoint now) const;

private:
    /** End of the time for which the upstream counts as cold. */
    TimePoint coldUntil() const;
    /** Number of first packets that the upstream may get within window(). */
    std::size_t perWindow() const;
    /** One second, or the time between two first packets if the rate is below 1. */
    std::chrono::nanoseconds window() const;

    UpstreamTerms m_terms;
    std::optional<TimePoint> m_runBegan;
    /** When an evacuation ended that no report has followed. */
    std::optional<TimePoint> m_evacuationEnded;
    TimePoint m_reportedUntil;
    /** Times of the latest first packets, the oldest first. */
    std::deque<TimePoint> m_delivered;
};

} // namespace samphireswitch::passthrough
