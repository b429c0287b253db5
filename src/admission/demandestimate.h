#pragma once

#include "base/time.h"

#include <chrono>

namespace samphireswitch::admission {

/** Rate at which first packets of requests arrive, as an exponentially decaying count. */
class DemandEstimate
{
public:
    void recordArrival(TimePoint now);

    /** Arrivals per second. */
    double rate(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double m_count = 0;
    TimePoint m_last;
};

} // namespace samphireswitch::admission
