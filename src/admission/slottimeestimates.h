#pragma once

#include "admission/fastanswerdetector.h"
#include "admission/servicetimeestimate.h"

#include <chrono>

namespace samphireswitch::admission {

/** Estimates of the times for which requests occupy slots and of the times for which handshakes last. */
class SlotTimeEstimates
{
public:
    /**
     * @p assumed is the estimate of the service time until the first request is answered. The estimates of slot times
     * extend over @p window requests.
     */
    explicit SlotTimeEstimates(std::chrono::nanoseconds assumed, int window = ServiceTimeEstimate::s_defaultWindow);

    /** Adds the time for which an answered request occupied its slot. */
    void addRequest(std::chrono::nanoseconds slotTime);
    /** Adds the time from the acceptance of a request to the end of its handshake. */
    void addHandshake(std::chrono::nanoseconds time);

    /** Mean time for which requests occupy a slot, stragglers included. */
    std::chrono::nanoseconds mean() const;

    /**
     * Mean time for which requests occupy a slot, with longer times clipped to stragglerThreshold(): the typical
     * service time.
     */
    std::chrono::nanoseconds clippedMean() const;

    /** A request that has run for this time or longer is a straggler. */
    std::chrono::nanoseconds stragglerThreshold() const;

    std::chrono::nanoseconds meanHandshakeTime() const;

    /** Time after which the claim of a half-open flow to a slot ends. */
    std::chrono::nanoseconds claimTimeout() const;

    /**
     * True if the last answers came much faster than usual, as from an upstream that answers every request with an
     * error.
     */
    bool areAnswersTooFast() const;

    /** How long a request whose answer came too fast occupies its slot, counted from its start. */
    std::chrono::nanoseconds fastAnswerHoldTime() const;

private:
    ServiceTimeEstimate m_slotTime;
    ServiceTimeEstimate m_clippedSlotTime;
    ServiceTimeEstimate m_handshakeTime;
    FastAnswerDetector m_fastAnswers;
};

} // namespace samphireswitch::admission
