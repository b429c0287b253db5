#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace samphireswitch::routing {

/** Times and size of UnacknowledgedSearches. */
struct AcknowledgementSettings
{
    /** How long to wait for a receipt. A running agent acknowledges within a few milliseconds. */
    std::chrono::milliseconds timeout {10};
    /**
     * How long an agent that did not acknowledge a packet is skipped without waiting. A restart takes several times as
     * long.
     */
    std::chrono::milliseconds silenceDuration {100};
    /** Maximum number of stored packets. A further packet is sent without a request for a receipt. */
    std::size_t capacity = 512;
};

/**
 * Stores packets of searches that were sent to an agent and are not acknowledged yet. Each agent acknowledges a packet
 * to the process that sent it, so an agent that is down delays the search by a few milliseconds and does not end it.
 */
class UnacknowledgedSearches
{
public:
    /** A packet, with the envelope header of the search for its flow's owner. */
    struct Search
    {
        protocol::EnvelopeHeader header;
        std::vector<std::byte> packet;
    };

    explicit UnacknowledgedSearches(const AcknowledgementSettings &settings = {});

    /** Stores a packet that is about to be sent. Returns the number of its receipt, or 0 if the capacity is reached. */
    std::uint32_t keep(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet, TimePoint now);

    /**
     * Handles the receipt @p number, which ends the wait for its packet. A late receipt ends the silence of its agent.
     */
    void acknowledge(std::uint32_t number);

    bool empty() const;

    /** Whether the current agent of @p header recently failed to acknowledge another packet and should be skipped. */
    bool isCurrentAgentSilent(const protocol::EnvelopeHeader &header, TimePoint now) const;

    /** Returns the time until the next stored packet expires, at most @p limit. */
    std::chrono::milliseconds timeUntilNextExpiry(TimePoint now, std::chrono::milliseconds limit) const;

    /** Removes and returns the packets whose receipt did not arrive in time, and marks their agents as silent. */
    std::vector<Search> takeExpired(TimePoint now);

private:
    struct Entry
    {
        TimePoint sentAt;
        Search search;
    };

    AcknowledgementSettings m_settings;
    /** Sorted by receipt number, which is the order of sending until the numbers wrap around. */
    std::map<std::uint32_t, Entry> m_entries;
    /** State of an agent that did not acknowledge a packet. */
    struct Silence
    {
        TimePoint until;
        /** Number of the receipt that did not arrive in time. */
        std::uint32_t number = 0;
    };

    /** Agents that did not acknowledge a packet and are skipped for a while. */
    std::map<AgentId, Silence> m_silent;
    std::uint32_t m_lastNumber = 0;
};

} // namespace samphireswitch::routing
