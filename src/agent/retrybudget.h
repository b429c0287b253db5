#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphireswitch::agent {

/** Allows as many retries as a tenth of the requests of the last 10 s, rounded up. */
class RetryBudget
{
public:
    void countRequest(TimePoint now);

    /** Takes one retry from the budget; returns false if none is left. */
    bool takeRetry(TimePoint now);

private:
    /** Counts of one second. */
    struct Interval
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    static constexpr std::size_t s_intervalCount = 10;

    Interval &currentInterval(TimePoint now);

    std::array<Interval, s_intervalCount> m_intervals;
};

} // namespace samphireswitch::agent
