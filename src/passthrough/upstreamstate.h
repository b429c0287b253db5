#pragma once

#include "passthrough/flowtracker.h"
#include "passthrough/returnablepackets.h"
#include "passthrough/upstreamregistration.h"

namespace samphireswitch::passthrough {

/** What an agent knows of its upstream and of the flows there. */
struct UpstreamState
{
    UpstreamState(const RegistrationSettings &registrationSettings, const TrackerSettings &trackerSettings)
        : registration(registrationSettings)
        , tracker(trackerSettings)
    {
    }

    /** Whether the upstream runs and is ready, and the agent was not stopped. */
    bool acceptsNewFlows(TimePoint now) const
    {
        return !isStopped && !isDown && registration.isReady(now);
    }

    UpstreamRegistration registration;
    FlowTracker tracker;
    /** Headers of packets that were handed to the upstream and may come back. */
    ReturnablePackets returnable;
    /** No process listens at the upstream's address. */
    bool isDown = false;
    /** The agent stops and accepts no new flows. */
    bool isStopped = false;
};

} // namespace samphireswitch::passthrough
