#pragma once

#include "admission/flowtable.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <list>
#include <unordered_map>

namespace samphireswitch::admission {

/** Remembers, in bounded memory, since when flows have been known to have no owner. */
class UnownedFlows
{
public:
    /**
     * @p grace is the time after which hasGraceExpired() is true for a flow. If @p capacity flows are recorded, a new
     * one replaces that whose last packet is oldest.
     */
    UnownedFlows(std::chrono::nanoseconds grace, std::size_t capacity, std::uint64_t hashSeed);

    /** Records a packet of the flow @p key, which no agent owns. */
    void record(const flow::FlowKey &key, TimePoint now);
    /** True if the flow is recorded and its grace period has ended. */
    bool hasGraceExpired(const flow::FlowKey &key, TimePoint now) const;
    /** Removes the flow, if it is recorded. */
    void remove(const flow::FlowKey &key);
    std::size_t size() const;

private:
    struct Entry
    {
        flow::FlowKey key;
        TimePoint first;
        TimePoint last;
    };

    std::chrono::nanoseconds m_grace;
    std::size_t m_capacity;
    /** In the order of the last packet, oldest first. */
    std::list<Entry> m_entries;
    std::unordered_map<flow::FlowKey, std::list<Entry>::iterator, SeededFlowHash> m_positions;
};

} // namespace samphireswitch::admission
