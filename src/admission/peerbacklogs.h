#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace samphireswitch::admission {

/** The numbers of packets that are parked at the other agents of the service, as these agents announced them. */
class PeerBacklogs
{
public:
    /** An announcement is valid for @p validity; removeExpired() removes a peer that has not repeated it by then. */
    explicit PeerBacklogs(std::chrono::nanoseconds validity);

    /**
     * Replaces the count of the sender. A message with the count 0, or from a peer beyond the limit, removes the
     * sender.
     */
    void update(const protocol::Waiting &message, TimePoint now);
    /** Subtracts the oldest packet of the peer, for which a slot was offered. */
    void countOffer(AgentId peer);
    /** Removes the peer, which has no packet parked any more. */
    void clear(AgentId peer);
    /** Removes the peers whose last announcement is no longer valid at @p now. */
    void removeExpired(TimePoint now);

    struct Peer
    {
        protocol::Candidate agent;
        /** Parked packets, without those for which slots were offered. */
        std::uint32_t count = 0;
        /** Estimated time at which the oldest of these packets was parked. */
        TimePoint oldestSince;
        /** When the last announcement arrived. */
        TimePoint lastUpdate;
    };

    /** The peer whose packet has waited longest; null if no packet is parked at a peer. Valid until the next change. */
    const Peer *oldest() const;
    /** Number of packets parked at all peers together. */
    std::uint32_t total() const;

private:
    std::chrono::nanoseconds m_validity;
    std::vector<Peer> m_peers;
};

} // namespace samphireswitch::admission
