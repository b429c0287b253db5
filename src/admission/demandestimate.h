#pragma once

#include "base/time.h"

#include <chrono>

namespace samphireswitch::admission {

/** Estimates the rate at which first packets of requests arrive, from a count that decays exponentially. */
class DemandEstimate
{
public:
    void recordArrival(TimePoint now);

    /** Estimated arrivals per second at @p now, which must not be before the last recorded arrival. */
    double rate(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double m_count = 0;
    TimePoint m_last;
};

} // namespace samphireswitch::admission
