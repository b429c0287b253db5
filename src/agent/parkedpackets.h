#pragma once

#include "flow/flowkey.h"

#include <cstddef>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphireswitch::agent {

/**
 * Stores copies of the first packets of flows that wait for a slot. The number of packets and the size of each are
 * limited.
 */
class ParkedPackets
{
public:
    /**
     * Stores a copy of @p packet under @p key. Returns false, and stores nothing, if the packet is too large or too
     * many packets are stored.
     */
    bool store(const flow::FlowKey &key, std::span<const std::byte> packet);

    /** Removes and returns the packet stored under @p key. Returns an empty vector if there is none. */
    std::vector<std::byte> take(const flow::FlowKey &key);

    /** Removes the packets whose keys do not satisfy @p isNeeded. */
    void retain(const std::function<bool(const flow::FlowKey &)> &isNeeded);

    std::size_t size() const;

private:
    std::unordered_map<flow::FlowKey, std::vector<std::byte>> m_packets;
};

} // namespace samphireswitch::agent
