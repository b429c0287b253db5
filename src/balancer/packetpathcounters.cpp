#include "balancer/packetpathcounters.h"

#include "balancer/balancerdatapath.h"

#include <algorithm>

namespace samphireswitch::balancer {

void copyCounters(const PacketPathCounters &counters, BalancerDataStatus &status)
{
    status.packetsIn = counters.packetsIn.value();
    status.packetsForwarded = counters.packetsForwarded.value();
    status.bytesIn = counters.bytesIn.value();
    status.bytesOut = counters.bytesOut.value();
    status.batches = counters.batches.value();
    status.firstPackets = counters.firstPackets.value();
    status.hintsLearned = counters.hintsLearned.value();
    status.hintsUsed = counters.hintsUsed.value();
    status.hintsRejected = counters.hintsRejected.value();
    status.hintsHeld = counters.hintsHeld.value();
    status.droppedMalformed = counters.droppedMalformed.value();
    status.droppedNoService = counters.droppedNoService.value();
    status.droppedNoMember = counters.droppedNoMember.value();
    status.sendErrors = counters.sendErrors.value();
    status.eventsSuppressed = counters.eventsSuppressed.value();
    status.repeatedFirstPackets = counters.repeatedFirstPackets.value();
    status.agentsSilenced = counters.agentsSilenced.value();
    status.searches = counters.searches.value();
    status.searchesRepeated = counters.searchesRepeated.value();
    status.agentsUnanswered = counters.agentsUnanswered.value();
    status.resendsSuppressed = counters.resendsSuppressed.value();
    status.packetsAwaitingOwner = counters.packetsAwaitingOwner.value();
    status.packetsOfAbsentOwners = counters.packetsOfAbsentOwners.value();
    status.resetsNoService = counters.resetsNoService.value();
    status.droppedAtLimit = counters.droppedAtLimit.value();
    status.linkPermille = counters.linkPermille.value();
    status.busyPermille = counters.busyPermille.value();
    std::ranges::transform(counters.endedSearches, status.endedSearches.begin(), &Counter::value);
    std::ranges::transform(counters.refusedFirstPackets, status.refusedFirstPackets.begin(), &Counter::value);
}

} // namespace samphireswitch::balancer
