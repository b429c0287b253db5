#include "admission/fastanswerdetector.h"

#include <algorithm>

namespace samphireswitch::admission {

namespace {

/** Number of samples over which the mean of recent service times extends. */
constexpr int s_window = 16;

/**
 * Answers are too fast if their recent mean is shorter than the usual service time by more than this factor. If service
 * times are exponentially distributed, that happens by chance once in ten million samples.
 */
constexpr int s_tooFastFactor = 4;

/** Of the samples that are too fast, one in this number is learned as usual. */
constexpr int s_learnedInterval = 16;

} // namespace

void FastAnswerDetector::addSample(std::chrono::nanoseconds sample, std::chrono::nanoseconds usual)
{
    m_samples = std::min(m_samples + 1, s_window);
    m_recent += (sample - m_recent) / m_samples;
    m_tooFast = m_samples == s_window && m_recent < usual / s_tooFastFactor;
    m_fastSamples = m_tooFast ? m_fastSamples + 1 : 0;
}

bool FastAnswerDetector::areAnswersTooFast() const
{
    return m_tooFast;
}

bool FastAnswerDetector::shouldLearnSample() const
{
    return !m_tooFast || m_fastSamples % s_learnedInterval == 0;
}

} // namespace samphireswitch::admission
