#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::admission {

/**
 * Counts the request slots of a host. After a cold start, one slot is effective, that is, may be used; each answered
 * request adds one, up to the configured number.
 *
 * An accepted request first claims a slot, and occupies a slot when its upstream connection is opened. Requests may
 * have more claims than slots are free, so that their handshakes overlap with running requests.
 */
class SlotPool
{
public:
    /** Sets the configured number. If more slots are occupied, they stay occupied until their requests end. */
    void configure(std::uint32_t slots);

    /** Adds the claim of an accepted request. */
    void claim();
    /** Removes a claim; there must be one. */
    void dropClaim();

    /** Occupies a slot from @p now on. canStart() must be true. */
    void start(TimePoint now);
    /** Frees a slot that has been occupied since exactly @p start; there must be one. */
    void finish(TimePoint start);
    /** Ends a request as finish() does, but holds its slot until @p end, because the request failed or was too fast. */
    void finishAndHold(TimePoint start, TimePoint end);

    /** Frees the slots that finishAndHold() holds until @p now or earlier. */
    void releaseExpiredHolds(TimePoint now);

    /** Reserves a slot for a peer. */
    void reserve();
    /** Ends a reservation; there must be one. */
    void unreserve();

    /** Adds one effective slot, unless the configured number is reached. */
    void grow();

    /** Sets the number of effective slots to one, as after a cold start. */
    void resetEffective();

    /** True if occupied, claimed and reserved slots are together fewer than effective slots plus @p ahead. */
    bool hasUnclaimed(std::uint32_t ahead = 0) const;
    /** True if fewer slots are occupied than are effective. Claims and reservations do not count. */
    bool canStart() const;

    /** Occupied slots: those of running requests and those that finishAndHold() holds. */
    std::uint32_t busy() const;
    /** Occupied slots, plus as many claims as there are further effective slots. */
    std::uint32_t used() const;
    /** Number of running requests that started at @p start or later. */
    std::uint32_t startedSince(TimePoint start) const;
    /** Number of slots that may be used now; at most the configured number. */
    std::uint32_t effective() const;
    std::uint32_t configured() const;
    /** When the next held slot is freed; empty if none is held. */
    std::optional<TimePoint> nextHoldExpiry() const;

private:
    std::uint32_t m_configured = 0;
    /** May exceed the configured number after that has been lowered; effective() returns the smaller one. */
    std::uint32_t m_effective = 1;
    std::uint32_t m_claims = 0;
    std::uint32_t m_reserved = 0;
    /** When the running requests started, in ascending order. */
    std::vector<TimePoint> m_starts;
    /** When the slots that finishAndHold() holds are freed, in any order. At most as many as there are slots. */
    std::vector<TimePoint> m_holdEnds;
};

} // namespace samphireswitch::admission
