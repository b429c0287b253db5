#pragma once

#include <chrono>

namespace samphireswitch::admission {

/**
 * Detects that the upstream of this host suddenly answers much faster than it used to, as it does if it answers every
 * request with an error. Such a host has free slots sooner than the others and would attract most of the work.
 */
class FastAnswerDetector
{
public:
    /**
     * Adds the service time of a request. @p usual is the typical service time that was learned from earlier requests.
     */
    void addSample(std::chrono::nanoseconds sample, std::chrono::nanoseconds usual);

    /** True if the mean of the recent samples is far below the usual service time. */
    bool areAnswersTooFast() const;

    /**
     * True if the estimates of the usual service time may learn from the last sample. Only a few of the samples that
     * are too fast are learned, so that a short fault does not change the estimates but a lasting change of the service
     * is adopted within some thousand requests.
     */
    bool shouldLearnSample() const;

private:
    std::chrono::nanoseconds m_recent {0};
    int m_samples = 0;
    int m_fastSamples = 0;
    bool m_tooFast = false;
};

} // namespace samphireswitch::admission
