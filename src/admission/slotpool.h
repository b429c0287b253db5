#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::admission {

/**
 * Counts a host's request slots. A cold host starts with one effective slot; delivered responses add more, up to the
 * configured number.
 */
class SlotPool
{
public:
    /** Sets the configured number. Slots in use stay in use when the number falls below them. */
    void configure(std::uint32_t slots);

    /** Takes a free slot for a flow. */
    void take();

    /** Frees the slot of a flow. */
    void release();

    /** Keeps the slot of a flow that failed occupied until @p end. */
    void releaseAt(TimePoint end);

    /** Frees the slots whose time from releaseAt() has come. */
    void releaseDue(TimePoint now);

    /** Keeps a free slot for a peer, and gives it back. */
    void reserve();
    void unreserve();

    /** Adds an effective slot, up to the configured number. */
    void grow();

    /** Returns to one effective slot, as after a cold start. */
    void restart();

    bool hasFree() const;
    /** Slots that flows hold and slots that failures keep occupied. Reserved slots are not included. */
    std::uint32_t busy() const;
    std::uint32_t effective() const;
    std::uint32_t configured() const;
    std::optional<TimePoint> nextRelease() const;

private:
    std::uint32_t m_configured = 0;
    std::uint32_t m_effective = 1;
    std::uint32_t m_held = 0;
    std::uint32_t m_reserved = 0;
    /** Ends of the occupation by failed flows. At most as many as slots were held. */
    std::vector<TimePoint> m_penalties;
};

} // namespace samphireswitch::admission
