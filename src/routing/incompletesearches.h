#pragma once

#include "base/time.h"
#include "flow/flowkey.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace samphireswitch::routing {

/** Limits of IncompleteSearches. */
struct IncompleteSearchSettings
{
    /** Packets older than this are discarded, because the caller has retransmitted them by then. */
    std::chrono::milliseconds maximumAge {1000};
    /** Maximum number of flows for which a packet is kept. */
    std::size_t capacity = 512;
};

/**
 * Keeps packets whose search for the flow's owner started while coverage was partial, so that an unknown agent may have
 * been missed. When coverage is no longer partial, the balancer repeats these searches. A caller whose flow was lost
 * then gets a reset at once instead of after its next retransmission.
 */
class IncompleteSearches
{
public:
    explicit IncompleteSearches(const IncompleteSearchSettings &settings = {});

    /**
     * Stores @p packet in place of an earlier packet of the same flow. Does nothing for a further flow if the capacity
     * is reached and no stored packet is older than the maximum age.
     */
    void keep(const flow::FlowKey &key, std::span<const std::byte> packet, TimePoint now);

    bool empty() const;

    /** Removes all packets and returns those that are younger than the maximum age. */
    std::vector<std::vector<std::byte>> takeAll(TimePoint now);

private:
    struct Entry
    {
        TimePoint keptAt;
        std::vector<std::byte> packet;
    };

    IncompleteSearchSettings m_settings;
    std::map<flow::FlowKey, Entry> m_entries;
};

} // namespace samphireswitch::routing
