#include "passthrough/upstreamlimits.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

namespace {

// Number of flows accepted beyond the slots, so that no slot is idle during the handshake of the next caller.
constexpr std::size_t s_handshakeMargin = 2;
// Factor on the load of a cold upstream at its limit. A slot of another upstream becomes free much earlier.
constexpr std::uint32_t s_coldLoadFactor = 8;

std::size_t slotsOf(const UpstreamState &upstream)
{
    return upstream.registration.report() ? upstream.registration.report()->slots : 0;
}

} // namespace

UpstreamLimits::UpstreamLimits(const UpstreamPaceSettings &pace)
    : m_pace(pace)
{
}

void UpstreamLimits::observe(UpstreamState &upstream, const ServedDestinations &served, bool isSilent, TimePoint now)
{
    const UpstreamTerms &terms = served.upstreamTerms();
    if (std::exchange(m_wasEvacuated, terms.isEvacuated) && !terms.isEvacuated) {
        m_pace.restart(PaceChange::Recovered);
    }
    m_cold.setTerms(terms, now);
    if (m_pace.isEnabled()) {
        observeOutcomes(upstream, served);
    }
    upstream.tracker.clearOutcomes();
    const bool isUnavailable = isSilent || upstream.isDown;
    if (m_wasUnavailable && !isUnavailable) {
        m_pace.restart(PaceChange::Recovered);
    }
    m_wasUnavailable = isUnavailable;
    observeReport(upstream, now);
    // The missing requests may have ended since they were counted, for instance with the run of the upstream.
    m_missing = std::min(m_missing, upstream.tracker.requestsWaiting());
}

void UpstreamLimits::observeOutcomes(const UpstreamState &upstream, const ServedDestinations &served)
{
    for (const RequestOutcome &outcome : upstream.tracker.outcomes()) {
        const bool hasCounted = m_missingSince.erase(outcome.callerKey) > 0;
        if (hasCounted && !outcome.wasReset) {
            m_pace.missingOneAnswered(outcome.slotTime);
        }
        if (hasCounted) {
            continue;
        }
        if (outcome.wasReset) {
            m_pace.failed(PaceChange::Reset);
            continue;
        }
        const auto latencyTarget = served.termsOf(outcome.callerKey.destination).latencyTarget;
        m_pace.answered(outcome.slotTime, latencyTarget, slotsOf(upstream));
    }
}

void UpstreamLimits::observeReport(UpstreamState &upstream, TimePoint now)
{
    const auto &report = upstream.registration.report();
    const TimePoint heard = upstream.registration.lastHeard();
    if (!report || upstream.registration.hasLeft() || (m_run && heard == m_lastHeard)) {
        return;
    }
    const bool isSameRun = m_run == report->run();
    // The first report that this agent gets after its own start may be of a run that has been warm for long.
    const bool hasJustBegun = !isSameRun && (m_run || report->sequence <= s_firstReportSequence);
    upstream.tracker.setSlots(report->slots);
    m_cold.reported(report->slowStart, heard);
    if (hasJustBegun) {
        m_cold.runBegan(now);
    }
    if (hasJustBegun || (!isSameRun && report->slowStart.count() > 0)) {
        m_pace.restart(PaceChange::Started);
    }
    m_run = report->run();
    m_lastHeard = heard;
}

void UpstreamLimits::detectMissingAnswers(const UpstreamState &upstream,
                                          const ServedDestinations &served,
                                          TimePoint now)
{
    if (!m_pace.isEnabled()) {
        return;
    }
    std::size_t newlyMissing = 0;
    const auto counted = std::exchange(m_missingSince, {});
    const auto isMissing = [&](const flow::FlowKey &key, std::chrono::nanoseconds waited) {
        const std::chrono::milliseconds target = served.termsOf(key.destination).latencyTarget;
        const TimePoint since = now - waited;
        const auto found = counted.find(key);
        const bool hasCounted = found != counted.end() && found->second == since;
        if (!hasCounted && !m_pace.isMissing(waited, target)) {
            return false;
        }
        m_missingSince.emplace(key, since);
        newlyMissing += hasCounted ? 0 : 1;
        return true;
    };
    m_missing = upstream.tracker.countWaiting(isMissing, now);
    for (std::size_t index = 0; index < newlyMissing; ++index) {
        m_pace.failed(PaceChange::MissingAnswer);
    }
}

void UpstreamLimits::delivered(TimePoint now)
{
    m_cold.delivered(now);
}

std::uint32_t UpstreamLimits::load(UpstreamState &upstream, TimePoint now) const
{
    const std::size_t busy = upstream.tracker.busy(now);
    const std::size_t slots = std::max<std::size_t>(1, slotsOf(upstream));
    std::size_t share = busy * s_fullLoad / slots;
    if (const auto limit = m_pace.limit()) {
        // A request that will never be answered must not keep the upstream from showing that it answers others.
        const std::size_t paced = (busy - std::min(busy, m_missing)) * s_fullLoad / *limit;
        // Above its limit, an upstream with free slots is still a better choice than one without.
        share = std::max<std::size_t>(share, std::min<std::size_t>(paced, s_fullLoad));
    }
    const auto load = static_cast<std::uint32_t>(share);
    return m_cold.allows(now) ? load : std::max(load, s_fullLoad) * s_coldLoadFactor;
}

Cause UpstreamLimits::causeOfLoad(UpstreamState &upstream, TimePoint now) const
{
    if (!m_cold.allows(now)) {
        return Cause::ColdLimit;
    }
    return upstream.tracker.busy(now) < slotsOf(upstream) ? Cause::Paced : Cause::Busy;
}

bool UpstreamLimits::hasRoom(UpstreamState &upstream, TimePoint now) const
{
    if (!upstream.registration.report() || !m_cold.allows(now)) {
        return false;
    }
    const std::size_t margin = m_pace.limit() ? 0 : s_handshakeMargin;
    return upstream.tracker.busy(now) < slotsOf(upstream) + margin;
}

const ColdRequestLimit &UpstreamLimits::cold() const
{
    return m_cold;
}

const UpstreamPace &UpstreamLimits::pace() const
{
    return m_pace;
}

} // namespace samphireswitch::passthrough
