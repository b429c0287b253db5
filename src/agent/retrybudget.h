#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphireswitch::agent {

/**
 * Limits retries to a tenth (rounded up) of the requests counted in the last 10 s, so that retries do not multiply the
 * load on a failing upstream. Times are counted in whole seconds.
 */
class RetryBudget
{
public:
    void countRequest(TimePoint now);

    /** Consumes one retry of the budget. Returns false if the budget is exhausted. */
    bool tryConsumeRetry(TimePoint now);

private:
    /** Number of requests and retries within one second of the clock. */
    struct Interval
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    static constexpr std::size_t s_intervalCount = 10;

    /** Interval of the second that contains @p now. Resets the array element if it holds an older second. */
    Interval &currentInterval(TimePoint now);

    std::array<Interval, s_intervalCount> m_intervals;
};

} // namespace samphireswitch::agent
