#pragma once

#include "base/time.h"

#include <chrono>

namespace samphireswitch::soak {

/**
 * Processor time of a process that gets a share of a core: it runs at full speed until the allotment of a period is
 * used up, and not at all for the rest of the period. DEPLOY.md, section "How these days are played".
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
