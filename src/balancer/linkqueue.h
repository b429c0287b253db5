#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace samphireswitch::balancer {

/**
 * Datagrams of bulk data that wait while the link of the machine is full, so that all others are sent before them. A
 * link that is handed more than it carries delays or loses datagrams of every flow; bulk flows have the most, and
 * their senders wait for acknowledgements. The queue holds what the link carries in a tenth of a second, because
 * senders repeat what is not acknowledged for longer; further datagrams are dropped. Bulk data gets an eighth of the
 * link in any case. Not thread-safe.
 */
class LinkQueue
{
public:
    struct Datagram
    {
        Endpoint destination;
        std::vector<std::byte> bytes;
    };

    /** @p linkRate is in kilobits a second. With 0 it is not known, and nothing waits. */
    explicit LinkQueue(std::uint32_t linkRate);

    /** Sets the time of all that follows. */
    void advance(TimePoint now);

    /** Notes that a datagram with a payload of @p bytes is handed to the link. */
    void sent(std::size_t bytes);

    /** Whether a datagram of bulk data has to wait now, because the link is full or others of them wait. */
    bool mustWait() const;

    /** Queues a datagram of bulk data. Returns false if the queue is full. */
    bool keep(const Endpoint &destination, std::span<const std::byte> bytes);

    /** Removes and returns the next datagram that the link has room for. It has to be sent, and noted with sent(). */
    std::optional<Datagram> takeDue();

    /** How long until takeDue() may return a datagram; nothing while none waits. */
    std::optional<std::chrono::nanoseconds> untilDue() const;

    /** Number of datagrams that wait. */
    std::size_t size() const;

private:
    /** How long the link takes for a datagram. */
    std::chrono::nanoseconds linkTime(std::size_t bytes) const;
    /** When the next datagram of bulk data may be sent. */
    TimePoint dueAt() const;

    std::uint32_t m_linkRate;
    TimePoint m_now;
    /** When the link has carried all that it was handed. */
    TimePoint m_free;
    /** When bulk data may be sent although the link is not free. */
    TimePoint m_shareDue;
    std::deque<Datagram> m_waiting;
    std::size_t m_waitingBytes = 0;
};

} // namespace samphireswitch::balancer
