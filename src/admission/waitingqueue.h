#pragma once

#include "admission/flowtable.h"
#include "base/time.h"
#include "protocol/messages.h"

#include <list>
#include <unordered_map>

namespace samphireswitch::admission {

/** A first packet that waits for a slot. */
struct ParkedPacket
{
    flow::FlowKey key;
    /** Sequence number of the first packet. */
    std::uint32_t sequence = 0;
    /** The envelope that brought it. */
    protocol::EnvelopeHeader header;
    TimePoint since;
    /** When waiting longer is of no use to the caller. */
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
    void remove(const flow::FlowKey &key);

    bool empty() const;
    std::size_t size() const;

private:
    std::list<ParkedPacket> m_packets;
    std::unordered_map<flow::FlowKey, std::list<ParkedPacket>::iterator, SeededFlowHash> m_positions;
};

} // namespace samphireswitch::admission
