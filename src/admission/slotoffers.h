#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::admission {

/** Slot offers to peers that are open: neither used, declined nor expired. One slot is reserved for each offer. */
class SlotOffers
{
public:
    /** Adds an offer, which must not expire before those that were added earlier. */
    void add(std::uint64_t offer, TimePoint expiry);
    /** Removes the offer; returns false if it was not open. */
    bool remove(std::uint64_t offer);
    /** Removes at most one offer that has expired at @p now; returns false if there is none. */
    bool removeExpired(TimePoint now);
    bool empty() const;
    /** When the next offer expires; empty if no offer is open. */
    std::optional<TimePoint> nextExpiry() const;

private:
    struct Offer
    {
        std::uint64_t offer = 0;
        TimePoint expiry;
    };

    /** In order of expiry: all offers are valid for the same time, so that each is added at the end. */
    std::vector<Offer> m_offers;
};

} // namespace samphireswitch::admission
