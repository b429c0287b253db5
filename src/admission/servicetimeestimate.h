#pragma once

#include <chrono>

namespace samphireswitch::admission {

/** Exponentially weighted moving mean of durations, such as the time for which requests occupy a slot. */
class ServiceTimeEstimate
{
public:
    /**
     * Number of samples over which the mean extends. If 2% of the requests take 50 times longer than the others, the
     * mean of 64 samples varies by 45% and that of 512 samples by 16%. The latter is exact enough to distinguish a load
     * of 0.8 from a surge.
     */
    static constexpr int s_defaultWindow = 512;

    /** @p initial is the estimate until the first sample; the mean extends over @p window samples. */
    explicit ServiceTimeEstimate(std::chrono::nanoseconds initial, int window = s_defaultWindow);

    void addSample(std::chrono::nanoseconds sample);
    std::chrono::nanoseconds mean() const;

private:
    std::chrono::nanoseconds m_mean;
    int m_window;
    int m_samples = 0;
};

} // namespace samphireswitch::admission
