#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphireswitch::admission {

/** Offers of slots to peers that were neither used nor declined. Each has a reserved slot. */
class SlotOffers
{
public:
    void add(std::uint64_t offer, TimePoint expiry);
    /** Removes the offer and returns whether it was open. */
    bool remove(std::uint64_t offer);
    /** Removes an offer that has expired and returns whether there was one. */
    bool removeExpired(TimePoint now);
    bool empty() const;
    std::optional<TimePoint> nextExpiry() const;

private:
    struct Offer
    {
        std::uint64_t offer = 0;
        TimePoint expiry;
    };

    /** In order of expiry, because all offers have the same validity. */
    std::vector<Offer> m_offers;
};

} // namespace samphireswitch::admission
