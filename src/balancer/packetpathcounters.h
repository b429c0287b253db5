#pragma once

#include "routing/absenceproof.h"
#include "routing/openingflows.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace samphireswitch::balancer {

/** Counter that only one thread modifies, without atomic read-modify-write operations, and any thread reads. */
class Counter
{
public:
    void set(std::uint64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(std::uint64_t amount)
    {
        set(value() + amount);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value {0};
};

/** Counters of the packet path of a balancer; the fields of BalancerDataStatus tell what they count. */
struct PacketPathCounters
{
    Counter packetsIn;
    Counter packetsForwarded;
    Counter bytesIn;
    Counter bytesOut;
    Counter batches;
    Counter firstPackets;
    Counter hintsLearned;
    Counter hintsUsed;
    Counter hintsRejected;
    Counter hintsHeld;
    Counter droppedMalformed;
    Counter droppedNoService;
    Counter droppedNoMember;
    Counter sendErrors;
    Counter eventsSuppressed;
    Counter repeatedFirstPackets;
    Counter agentsSilenced;
    Counter searches;
    Counter searchesRepeated;
    Counter agentsUnanswered;
    Counter resendsSuppressed;
    Counter packetsAwaitingOwner;
    Counter packetsOfAbsentOwners;
    Counter resetsNoService;
    Counter droppedAtLimit;
    Counter linkPermille;
    Counter busyPermille;
    std::array<Counter, routing::s_absenceVerdictCount> endedSearches;
    std::array<Counter, routing::s_refusalVerdictCount> refusedFirstPackets;
};

struct BalancerDataStatus;

/** Copies the values of @p counters into the fields of the same names in @p status. */
void copyCounters(const PacketPathCounters &counters, BalancerDataStatus &status);

} // namespace samphireswitch::balancer
