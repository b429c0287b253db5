#pragma once

#include "base/time.h"

#include <chrono>
#include <optional>

namespace samphireswitch {

/**
 * Notices that a thread which has to run at regular intervals stood still, because its process was paused or got no
 * processor time. What the thread knew before is old then, and so is what waited for it meanwhile. Belongs to one
 * thread.
 */
class StandstillDetector
{
public:
    /** An interval longer than @p limit between two calls of observe() is a standstill. */
    explicit StandstillDetector(std::chrono::milliseconds limit)
        : m_limit(limit)
    {
    }

    /** Returns whether the thread stood still between the previous call and this one, at @p now. */
    bool observe(TimePoint now)
    {
        const bool stoodStill = m_last && now - *m_last > m_limit;
        m_last = now;
        return stoodStill;
    }

private:
    std::chrono::milliseconds m_limit;
    std::optional<TimePoint> m_last;
};

} // namespace samphireswitch
