#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>

namespace samphireswitch::admission {

/**
 * Decides from the outcomes of requests and feeds whether the agent ejects itself, that is, stops accepting new work
 * because its upstream fails. While ejected, the agent accepts a probe from time to time; a success ends the ejection.
 */
class EjectionPolicy
{
public:
    /**
     * Ejects the agent after @p failuresToEject consecutive failures and probes every @p probeInterval from then on.
     */
    EjectionPolicy(std::uint32_t failuresToEject, std::chrono::nanoseconds probeInterval);

    void recordSuccess();
    void recordFailure(TimePoint now);
    /** Records that a flow was accepted as a probe; the next probe is due one probe interval later. */
    void recordProbe(TimePoint now);

    bool isEjected() const;
    bool isProbeDue(TimePoint now) const;

    /** Largest number of @p members that may be ejected at the same time: a third, rounded down. */
    static std::uint32_t maximumEjected(std::size_t members);

private:
    std::uint32_t m_failuresToEject;
    std::chrono::nanoseconds m_probeInterval;
    std::uint32_t m_failures = 0;
    TimePoint m_nextProbe;
};

} // namespace samphireswitch::admission
