#pragma once

#include "base/time.h"

#include <algorithm>

namespace samphireswitch::balancer {

/** Token bucket that allows a sustained rate and bursts of as many operations as the rate allows in one second. */
class RateLimiter
{
public:
    explicit RateLimiter(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {
    }

    /** Consumes a token; returns false if none is left at @p now. */
    bool tryAcquire(TimePoint now)
    {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_last = now;
        m_tokens = std::min(m_perSecond, m_tokens + std::max(0.0, elapsed.count()) * m_perSecond);
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_perSecond;
    double m_tokens;
    TimePoint m_last;
};

} // namespace samphireswitch::balancer
