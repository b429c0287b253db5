#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphireswitch::admission {

/**
 * Chooses which peers are told of the packets that are parked here, and when. Peers are told one after another, with a
 * short interval between two of them, because one free slot is enough for one packet. A budget bounds the number of
 * messages in a surge.
 */
class WaitingAnnouncements
{
public:
    /** When all peers have been told, the next message is sent after @p repetition. */
    explicit WaitingAnnouncements(std::chrono::nanoseconds repetition);

    /** Replaces the peers. Messages go to them in this order, in a cycle. */
    void setPeers(std::vector<protocol::Candidate> peers);

    /** Whether there are peers and the next one may be told at @p now. */
    bool isDue(TimePoint now) const;
    /** Earliest time at which the next peer may be told. */
    TimePoint nextTime() const;

    /** Returns the peer to tell now and records that it is told of @p count parked packets. There must be a peer. */
    protocol::Candidate takeNext(std::uint32_t count, TimePoint now);

    /** Records that the peer offered a slot, so that it expects one parked packet less. */
    void countOffer(AgentId peer);

    /**
     * Returns the peers that still expect parked packets, so that they can be told that there are none, and
     * forgets the messages to them.
     */
    std::vector<protocol::Candidate> takeOutdatedPeers(TimePoint now);

    /** True if a peer still expects parked packets. */
    bool hasOutdatedPeers() const;

private:
    /** Last message to a peer. */
    struct Announcement
    {
        protocol::Candidate peer;
        /** Parked packets that the peer still expects here. */
        std::uint32_t count = 0;
        TimePoint at;
    };

    /** Charges the budget with one message. */
    void consumeBudget(TimePoint now);

    std::chrono::nanoseconds m_repetition;
    std::vector<protocol::Candidate> m_peers;
    std::size_t m_next = 0;
    std::vector<Announcement> m_announced;
    TimePoint m_earliest;
    /** When the budget is full again. Each message moves this time one budget interval further into the future. */
    TimePoint m_budgetFull;
};

} // namespace samphireswitch::admission
