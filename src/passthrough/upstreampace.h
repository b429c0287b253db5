#pragma once

#include "base/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace samphireswitch::passthrough {

/** Why the concurrency limit of an upstream began, was reduced or ended. */
enum class PaceChange : std::uint8_t {
    /** A run of the upstream began. */
    Started,
    /** The upstream answers again after it refused packets or was silent, or its evacuation has ended. */
    Recovered,
    /** The upstream reset a flow whose request it had not answered. */
    Reset,
    /** An answer came late. */
    LateAnswer,
    /** A request has no answer long after its usual time. */
    MissingAnswer,
    /** The limit has grown up to all slots and has ended. */
    Regained,
};

/** Number of values of PaceChange. */
constexpr std::size_t s_paceChangeCount = static_cast<std::size_t>(PaceChange::Regained) + 1;

/** The name of @p change in logs and metrics, such as "late-answer". */
std::string_view paceChangeName(PaceChange change);

struct UpstreamPaceSettings
{
    /** Without it there is never a limit. */
    bool isEnabled = false;
    /** Limit at the start of a run and after a recovery. */
    double initialLimit = 2;
    /** An answer is late if it takes this many times the usual time, and longer than the latency target. */
    double lateFactor = 3;
    /** An answer within this time is never late. Replaces the latency target of requests without one. */
    std::chrono::milliseconds leastLateTime {250};
    /** An answer counts as missing only after this time, in which a caller repeats a lost packet more than once. */
    std::chrono::milliseconds leastMissingTime {1000};
    /** Share of requests that fail or are late from which on an upstream without a limit gets one. */
    double troubledShare = 0.25;
};

/**
 * Adaptive concurrency limit of an upstream (additive increase, multiplicative decrease): how many requests it may have
 * under way, found from how it answers. The limit begins low when the upstream starts or recovers, and when a large
 * share of its requests fails. It grows with each answer in time, by one while no answer has been late since the limit
 * began and by one for each round of requests later, and is halved by each that is late or missing. It is never below
 * 1, so that the upstream gets requests by which it can recover, and ends when it reaches all slots. An upstream that
 * never had a problem has no limit.
 */
class UpstreamPace
{
public:
    explicit UpstreamPace(const UpstreamPaceSettings &settings = {});

    bool isEnabled() const;

    /** The upstream starts or recovers, so that its limit begins low; @p change is the reason. */
    void restart(PaceChange change);

    /**
     * A request was answered @p serviceTime after its last data was handed to the upstream, which has @p slots.
     * @p latencyTarget is that of the request; 0 if it has none.
     */
    void answered(std::chrono::nanoseconds serviceTime, std::chrono::milliseconds latencyTarget, std::size_t slots);

    /**
     * As answered(), for a request that has already counted as one with PaceChange::MissingAnswer. Only its time
     * counts, so that the usual time follows an upstream that has become slow.
     */
    void missingOneAnswered(std::chrono::nanoseconds serviceTime);

    /** A request failed for the reason @p change. */
    void failed(PaceChange change);

    /** Whether a request that was handed over @p waited ago should have been answered long ago. */
    bool isMissing(std::chrono::nanoseconds waited, std::chrono::milliseconds latencyTarget) const;

    /** Number of requests that the upstream may have under way; empty if there is no limit. */
    std::optional<std::size_t> limit() const;

    /** Number of changes since the construction; the index is the value of PaceChange. */
    const std::array<std::uint64_t, s_paceChangeCount> &changes() const;

    /** The latest of the changes that changes() counts; PaceChange::Regained before the first one. */
    PaceChange latestChange() const;

private:
    bool isLate(std::chrono::nanoseconds serviceTime, std::chrono::milliseconds latencyTarget) const;
    void recordServiceTime(std::chrono::nanoseconds serviceTime);
    void recordResult(bool isGood);
    void grow(std::size_t slots);
    void changed(PaceChange change);

    UpstreamPaceSettings m_settings;
    std::optional<double> m_limit;
    /** No request has been late or failed since the limit began. */
    bool m_growsFast = false;
    /** Moving estimate of the median service time; 0 before the first answer. */
    std::chrono::nanoseconds m_usualTime {0};
    /** Moving average of the share of requests that were late or failed. */
    double m_badShare = 0;
    PaceChange m_latestChange = PaceChange::Regained;
    std::array<std::uint64_t, s_paceChangeCount> m_changes {};
};

} // namespace samphireswitch::passthrough
