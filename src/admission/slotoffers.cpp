#include "admission/slotoffers.h"

#include <algorithm>

namespace samphireswitch::admission {

void SlotOffers::add(std::uint64_t offer, TimePoint expiry)
{
    m_offers.push_back({offer, expiry});
}

bool SlotOffers::remove(std::uint64_t offer)
{
    return std::erase_if(m_offers, [offer](const Offer &entry) { return entry.offer == offer; }) > 0;
}

bool SlotOffers::removeExpired(TimePoint now)
{
    if (m_offers.empty() || m_offers.front().expiry > now) {
        return false;
    }
    m_offers.erase(m_offers.begin());
    return true;
}

bool SlotOffers::empty() const
{
    return m_offers.empty();
}

std::optional<TimePoint> SlotOffers::nextExpiry() const
{
    return m_offers.empty() ? std::nullopt : std::optional(m_offers.front().expiry);
}

} // namespace samphireswitch::admission
