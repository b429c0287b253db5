#include "admission/slotpool.h"

#include <algorithm>
#include <cassert>

namespace samphireswitch::admission {

void SlotPool::configure(std::uint32_t slots)
{
    m_configured = slots;
}

void SlotPool::take()
{
    assert(hasFree());
    ++m_held;
}

void SlotPool::release()
{
    assert(m_held > 0);
    --m_held;
}

void SlotPool::releaseAt(TimePoint end)
{
    release();
    m_penalties.push_back(end);
}

void SlotPool::releaseDue(TimePoint now)
{
    std::erase_if(m_penalties, [now](TimePoint end) { return end <= now; });
}

void SlotPool::reserve()
{
    assert(hasFree());
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

void SlotPool::restart()
{
    m_effective = 1;
}

bool SlotPool::hasFree() const
{
    return busy() + m_reserved < effective();
}

std::uint32_t SlotPool::busy() const
{
    return m_held + static_cast<std::uint32_t>(m_penalties.size());
}

std::uint32_t SlotPool::effective() const
{
    return std::min(m_effective, m_configured);
}

std::uint32_t SlotPool::configured() const
{
    return m_configured;
}

std::optional<TimePoint> SlotPool::nextRelease() const
{
    const auto next = std::min_element(m_penalties.begin(), m_penalties.end());
    return next == m_penalties.end() ? std::nullopt : std::optional(*next);
}

} // namespace samphireswitch::admission
