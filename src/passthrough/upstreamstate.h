#pragma once

#include "passthrough/flowtracker.h"
#include "passthrough/returnablepackets.h"
#include "passthrough/runledger.h"
#include "passthrough/upstreamregistration.h"

namespace samphireswitch::passthrough {

/** What an agent knows of its upstream and of the flows there. */
struct UpstreamState
{
    UpstreamState(const RegistrationSettings &registrationSettings,
                  const TrackerSettings &trackerSettings,
                  bool recordsServedRuns = false)
        : registration(registrationSettings)
        , runs(recordsServedRuns)
        , tracker(trackerSettings)
    {
    }

    /** Whether the upstream runs and is ready, its run may get new flows, and the agent was not stopped. */
    bool acceptsNewFlows(TimePoint now) const
    {
        return !isStopped && !isDown && registration.isReady(now) && runs.mayGetNewFlows(registration.report()->run());
    }

    UpstreamRegistration registration;
    /** Which runs of the upstream may hold flows of earlier processes of the agent. */
    RunLedger runs;
    FlowTracker tracker;
    /** Headers of packets that were handed to the upstream and may come back. */
    ReturnablePackets returnable;
    /** No process listens at the upstream's address. */
    bool isDown = false;
    /** The agent stops and accepts no new flows. */
    bool isStopped = false;
};

} // namespace samphireswitch::passthrough
