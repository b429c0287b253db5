#include "agent/passthroughstatus.h"

namespace samphireswitch::agent {

PassthroughDataStatus statusOf(const passthrough::PassthroughAdmission &admission, TimePoint now)
{
    PassthroughDataStatus status;
    const auto &report = admission.registration().report();
    status.counters = admission.counters();
    status.accepting = admission.acceptsNewFlows(now);
    status.upstreamLeft = admission.hasUpstreamLeft();
    status.upstreamAbsent = admission.isUpstreamAbsent();
    status.upstreamDown = admission.isUpstreamDown();
    status.service = report ? report->service : std::string();
    status.slots = report ? report->slots : 0;
    status.requestsWaiting = admission.tracker().requestsWaiting();
    status.flows = admission.tracker().size();
    status.firstPacketsHeld = admission.held().size();
    status.answerTimes = admission.tracker().answerTimes();
    status.firstPacketsHeldByPriority = admission.held().sizeByPriority();
    status.firstPacketsDisplaced = admission.held().displaced();
    status.waitingTimes = admission.held().waitingTimes();
    status.slotTime = admission.tracker().expectedWait().slotTime();
    const passthrough::UpstreamLimits &limits = admission.newFlows().limits();
    status.concurrencyLimit = limits.pace().limit().value_or(status.slots);
    status.paceChanges = limits.pace().changes();
    status.coldLimitInForce = limits.cold().isLimiting(now);
    status.knowsAllFlows = admission.knowledge().isComplete();
    status.locationRecords = admission.locations().size();
    return status;
}

} // namespace samphireswitch::agent
