#pragma once

#include "admission/slottimeestimates.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace samphireswitch::passthrough {

/**
 * Estimate of how long a request waits for a slot of an upstream, from the measured time for which requests occupy one.
 *
 * The estimate follows a change of the upstream's speed within some tens of answers. Single answers that take very long
 * or come suspiciously fast, as from an upstream that only answers with errors, hardly change it.
 */
class ExpectedWait
{
public:
    ExpectedWait();

    /**
     * Adds the time from the hand-over of a complete request to the upstream until the first data of its answer. The
     * times in which the request came in and the rest of the answer went out are no part of it, so that a slow
     * connection of a caller does not count as a slow upstream.
     */
    void answered(std::chrono::nanoseconds slotTime);

    /** Whether enough requests were answered for an estimate. */
    bool isKnown() const;

    /** Typical time for which a request occupies a slot; 0 while it is not known. */
    std::chrono::nanoseconds slotTime() const;

    /**
     * Expected time until a request gets one of @p slots slots if all of them are in use and @p ahead requests get a
     * free slot before it; 0 while it is not known. @p slots is not 0.
     */
    std::chrono::nanoseconds behind(std::size_t ahead, std::size_t slots) const;

    /**
     * Comparable figure of a busy upstream: the time in tenths of a millisecond until the requests under way and
     * @p ahead others are through, at least 1. @p load is the share of busy slots in thousandths. An upstream that has
     * answered less than four requests counts as one whose requests occupy a slot for 100 ms; at this slot time and
     * with nobody ahead the figure is @p load, which agents compare that do not estimate waits.
     */
    std::uint32_t comparable(std::uint32_t load, std::size_t ahead, std::size_t slots) const;

private:
    admission::SlotTimeEstimates m_times;
    std::uint64_t m_answers = 0;
};

} // namespace samphireswitch::passthrough
