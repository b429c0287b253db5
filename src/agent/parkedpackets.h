#pragma once

#include "flow/flowkey.h"

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphireswitch::agent {

/** Copies of the first packets that wait for a slot. Bounded in number and size. */
class ParkedPackets
{
public:
    /** Keeps a copy of @p packet under @p key. Returns false, and keeps nothing, if the limits are reached. */
    bool store(const flow::FlowKey &key, std::span<const std::byte> packet);

    /** Removes and returns the packet of @p key; empty if there is none. */
    std::vector<std::byte> take(const flow::FlowKey &key);

private:
    std::unordered_map<flow::FlowKey, std::vector<std::byte>> m_packets;
};

} // namespace samphireswitch::agent
