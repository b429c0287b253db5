#include "admission/slotpool.h"

#include <algorithm>
#include <cassert>

namespace samphireswitch::admission {

void SlotPool::configure(std::uint32_t slots)
{
    m_configured = slots;
}

void SlotPool::claim()
{
    ++m_claims;
}

void SlotPool::dropClaim()
{
    assert(m_claims > 0);
    --m_claims;
}

void SlotPool::start(TimePoint now)
{
    assert(canStart());
    m_starts.push_back(now);
}

void SlotPool::finish(TimePoint start)
{
    const auto found = std::lower_bound(m_starts.begin(), m_starts.end(), start);
    assert(found != m_starts.end() && *found == start);
    m_starts.erase(found);
}

void SlotPool::finishAndHold(TimePoint start, TimePoint end)
{
    finish(start);
    m_holdEnds.push_back(end);
}

void SlotPool::releaseExpiredHolds(TimePoint now)
{
    std::erase_if(m_holdEnds, [now](TimePoint end) { return end <= now; });
}

void SlotPool::reserve()
{
    ++m_reserved;
}

void SlotPool::unreserve()
{
    assert(m_reserved > 0);
    --m_reserved;
}

void SlotPool::grow()
{
    m_effective = std::min(m_effective + 1, std::max(m_configured, 1U));
}

void SlotPool::resetEffective()
{
    m_effective = 1;
}

bool SlotPool::hasUnclaimed(std::uint32_t ahead) const
{
    return busy() + m_claims + m_reserved < effective() + ahead;
}

bool SlotPool::canStart() const
{
    return busy() < effective();
}

std::uint32_t SlotPool::busy() const
{
    return static_cast<std::uint32_t>(m_starts.size() + m_holdEnds.size());
}

std::uint32_t SlotPool::used() const
{
    return std::max(busy(), std::min(busy() + m_claims, effective()));
}

std::uint32_t SlotPool::startedSince(TimePoint start) const
{
    return static_cast<std::uint32_t>(m_starts.end() - std::lower_bound(m_starts.begin(), m_starts.end(), start));
}

std::uint32_t SlotPool::effective() const
{
    return std::min(m_effective, m_configured);
}

std::uint32_t SlotPool::configured() const
{
    return m_configured;
}

std::optional<TimePoint> SlotPool::nextHoldExpiry() const
{
    const auto next = std::min_element(m_holdEnds.begin(), m_holdEnds.end());
    return next == m_holdEnds.end() ? std::nullopt : std::optional(*next);
}

} // namespace samphireswitch::admission
