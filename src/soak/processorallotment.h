#pragma once

#include "base/time.h"

#include <chrono>

namespace samphireswitch::soak {

/**
 * Models a processor quota: a process runs at full speed until its processor time for a period is used up, and stands
 * still for the rest of the period.
 */
class ProcessorAllotment
{
public:
    ProcessorAllotment(double share, TimePoint now);

    /** Whether a process that has used the processor time @p used since its start may run at @p now. */
    bool mayRun(std::chrono::nanoseconds used, TimePoint now);

private:
    std::chrono::nanoseconds m_allotment;
    TimePoint m_periodBegan;
    std::chrono::nanoseconds m_usedBefore {0};
};

} // namespace samphireswitch::soak
