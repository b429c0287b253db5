#pragma once

#include "admission/flowtable.h"
#include "base/time.h"
#include "protocol/messages.h"

#include <list>
#include <unordered_map>

namespace samphireswitch::admission {

/** A first packet of a request that waits for a slot. */
struct ParkedPacket
{
    flow::FlowKey key;
    /** Sequence number of the first packet. */
    std::uint32_t sequence = 0;
    /** Header of the envelope in which the packet arrived. */
    protocol::EnvelopeHeader header;
    /** When the packet was parked. */
    TimePoint since;
    /** When the packet is refused, because the request could not be served within its deadline any more. */
    TimePoint deadline;
};

/** Parked first packets in order of arrival. */
class WaitingQueue
{
public:
    explicit WaitingQueue(std::uint64_t hashSeed);

    /** Null if no packet with this key is parked. */
    const ParkedPacket *find(const flow::FlowKey &key) const;
    /** The oldest packet; the queue must not be empty. */
    const ParkedPacket &front() const;

    /** Adds a packet whose key is not in the queue. */
    void push(const ParkedPacket &packet);
    /** Removes the packet, if it is parked. */
    void remove(const flow::FlowKey &key);

    bool empty() const;
    std::size_t size() const;

private:
    std::list<ParkedPacket> m_packets;
    std::unordered_map<flow::FlowKey, std::list<ParkedPacket>::iterator, SeededFlowHash> m_positions;
};

} // namespace samphireswitch::admission
