#include "balancer/linkqueue.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::balancer {

namespace {

// Headers of UDP and IPv4, which the link carries beside the payload.
constexpr std::size_t s_headerBytes = 28;
constexpr std::uint64_t s_bitsPerByte = 8;
// Part of the link's rate that is used; other traffic of the machine takes the rest.
constexpr std::uint64_t s_usedPercent = 90;
constexpr std::uint64_t s_percent = 100;
// What the link may still have to carry when bulk data is sent, so that it does not run idle between two wake-ups.
constexpr std::chrono::milliseconds s_allowance {6};
// What is handed to the link beyond this counts as lost.
constexpr std::chrono::milliseconds s_longestBacklog {50};
// Time in which the link carries a full queue. Senders repeat after 200 ms.
constexpr std::chrono::milliseconds s_queueTime {100};
// Bulk data gets at least one part of so many.
constexpr int s_leastPart = 8;

} // namespace

LinkQueue::LinkQueue(std::uint32_t linkRate)
    : m_linkRate(linkRate)
{
}

void LinkQueue::advance(TimePoint now)
{
    m_now = now;
}

void LinkQueue::sent(std::size_t bytes)
{
    if (m_linkRate != 0) {
        m_free = std::min(std::max(m_free, m_now) + linkTime(bytes), m_now + s_longestBacklog);
    }
}

bool LinkQueue::mustWait() const
{
    return m_linkRate != 0 && (!m_waiting.empty() || m_now < dueAt());
}

bool LinkQueue::keep(const Endpoint &destination, std::span<const std::byte> bytes)
{
    if (linkTime(m_waitingBytes + bytes.size()) > s_queueTime) {
        return false;
    }
    m_waitingBytes += bytes.size();
    m_waiting.push_back({destination, {bytes.begin(), bytes.end()}});
    return true;
}

std::optional<LinkQueue::Datagram> LinkQueue::takeDue()
{
    if (m_waiting.empty() || m_now < dueAt()) {
        return std::nullopt;
    }
    Datagram next = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_waitingBytes -= next.bytes.size();
    m_shareDue = m_now + s_leastPart * linkTime(next.bytes.size());
    return next;
}

std::optional<std::chrono::nanoseconds> LinkQueue::untilDue() const
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return std::max(dueAt() - m_now, std::chrono::nanoseconds(0));
}

std::size_t LinkQueue::size() const
{
    return m_waiting.size();
}

std::chrono::nanoseconds LinkQueue::linkTime(std::size_t bytes) const
{
    // Kilobits a second are bits a millisecond.
    constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
    const std::uint64_t bits = (bytes + s_headerBytes) * s_bitsPerByte;
    return std::chrono::nanoseconds(bits * nanosecondsPerMillisecond * s_percent / (m_linkRate * s_usedPercent));
}

TimePoint LinkQueue::dueAt() const
{
    const TimePoint byLink = m_free - s_allowance;
    // Without a datagram that was sent before, no share is due.
    return m_waiting.empty() ? byLink : std::min(byLink, m_shareDue);
}

} // namespace samphireswitch::balancer
