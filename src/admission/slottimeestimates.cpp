#include "admission/slottimeestimates.h"

#include <algorithm>

namespace samphireswitch::admission {

namespace {

/** A half-open flow claims a slot for a multiple of the mean handshake time, within these bounds. */
constexpr std::chrono::milliseconds s_minimumClaimTime {50};
constexpr std::chrono::milliseconds s_maximumClaimTime {500};
constexpr int s_claimTimeFactor = 4;

/**
 * A request that has run for this multiple of the typical service time is a straggler. 5% of exponentially distributed
 * times are longer.
 */
constexpr int s_stragglerFactor = 3;

/** Shorter times are never clipped, so that the clipped mean can grow again after answers that took almost no time. */
constexpr std::chrono::milliseconds s_minimumClip {1};

/**
 * How long a request whose answer came too fast occupies its slot, in percent of the mean service time. With 100%, the
 * host gets up to 1.14 times its fair share of the requests (orders desk), because all its slots are occupied for equal
 * times.
 */
constexpr int s_tooFastHoldPercent = 120;

/** Handshake time that is assumed until the first handshake has completed. */
constexpr std::chrono::milliseconds s_assumedHandshakeTime {10};

} // namespace

SlotTimeEstimates::SlotTimeEstimates(std::chrono::nanoseconds assumed, int window)
    : m_slotTime(assumed, window)
    , m_clippedSlotTime(assumed, window)
    , m_handshakeTime(s_assumedHandshakeTime)
{
}

void SlotTimeEstimates::addRequest(std::chrono::nanoseconds slotTime)
{
    m_fastAnswers.addSample(slotTime, clippedMean());
    if (!m_fastAnswers.shouldLearnSample()) {
        return;
    }
    m_slotTime.addSample(slotTime);
    const std::chrono::nanoseconds longest = std::max<std::chrono::nanoseconds>(stragglerThreshold(), s_minimumClip);
    m_clippedSlotTime.addSample(std::min(slotTime, longest));
}

void SlotTimeEstimates::addHandshake(std::chrono::nanoseconds time)
{
    m_handshakeTime.addSample(std::min<std::chrono::nanoseconds>(time, s_maximumClaimTime));
}

std::chrono::nanoseconds SlotTimeEstimates::mean() const
{
    return m_slotTime.mean();
}

std::chrono::nanoseconds SlotTimeEstimates::clippedMean() const
{
    return m_clippedSlotTime.mean();
}

std::chrono::nanoseconds SlotTimeEstimates::stragglerThreshold() const
{
    return s_stragglerFactor * clippedMean();
}

std::chrono::nanoseconds SlotTimeEstimates::meanHandshakeTime() const
{
    return m_handshakeTime.mean();
}

std::chrono::nanoseconds SlotTimeEstimates::claimTimeout() const
{
    return std::clamp<std::chrono::nanoseconds>(
        s_claimTimeFactor * meanHandshakeTime(), s_minimumClaimTime, s_maximumClaimTime);
}

bool SlotTimeEstimates::areAnswersTooFast() const
{
    return m_fastAnswers.areAnswersTooFast();
}

std::chrono::nanoseconds SlotTimeEstimates::fastAnswerHoldTime() const
{
    return mean() * s_tooFastHoldPercent / 100;
}

} // namespace samphireswitch::admission
