#pragma once

#include "base/time.h"
#include "flow/flowkey.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::soak {

/** The promises of RULES.md and our own. */
enum class Promise : std::uint8_t {
    /** A caller gets packets and answers as the upstream of its flow wrote them. */
    Mixed,
    /** An upstream gets packets as callers wrote them. */
    Unasked,
    /** A request runs at most once. */
    RunsOnce,
    /** A flow opens at an upstream of a pool that some configuration allowed. */
    Route,
    /** An upstream that said that it leaves gets no new flows. */
    Drain,
    /** A confirmed configuration is in force in time. */
    Configuration,
    /** An upstream in an evacuated failure domain gets no new flows. */
    Evacuation,
    /** A cold upstream gets few new flows. */
    SlowStart,
    /** An open flow is neither reset nor kept from its upstream. */
    Flow,
    /** A request that begins after all faults have ended is answered. */
    Recovery,
    /** A process ends only when it is told to, and then in time. */
    Process,
};

std::string_view promiseName(Promise promise);

/** A promise that was broken. */
struct Violation
{
    Promise promise = Promise::Mixed;
    TimePoint at;
    std::string text;
};

/** The bounds of the promises, as RULES.md names them. */
struct Bounds
{
    /** Time without a disturbance after which bounds hold for a machine. */
    std::chrono::milliseconds contact {4000};
    std::chrono::milliseconds drain {3000};
    std::chrono::milliseconds configurationApply {3000};
    std::chrono::milliseconds evacuation {5000};
    /** Time for which packets of an open flow may go astray. */
    std::chrono::milliseconds flow {2000};
    /** Longest time for which a packet waits at its upstream until the upstream reads it. */
    std::chrono::milliseconds reading {500};
    /** New flows of a cold upstream in any second: its limit times the factor, and so many more. */
    double coldFactor = 1.5;
    double coldSlack = 5;
};

/** A run of an upstream, as far as it decides what the upstream may get. */
struct UpstreamRun
{
    std::string failureDomain;
    TimePoint coldUntil;
    /** New flows per second while it is cold; 0 if there is no limit. */
    double coldRequestsPerSecond = 0;
};

/** Route addresses and the pools that serve them in one version of the configuration. */
using RoutePools = std::map<Endpoint, std::string>;

/**
 * Compares what callers and upstreams saw with the promises. Machines are named as in the soak: `balancer-1`,
 * `agent-3`, `upstream-3`, `store`. Has no socket, clock or process.
 */
class PromiseCheck
{
public:
    explicit PromiseCheck(const Bounds &bounds = {});

    /** An unplanned disturbance of a machine or its links begins or ends. They may overlap. */
    void disturbanceBegan(const std::string &machine);
    void disturbanceEnded(const std::string &machine, TimePoint now);
    /** A planned stop of a machine begins or ends: flows must survive it, and time bounds do not hold. */
    void stopBegan(const std::string &machine);
    void stopEnded(const std::string &machine, TimePoint now);

    void configurationConfirmed(const RoutePools &routes, TimePoint now);
    /** The store has confirmed that a failure domain is evacuated. */
    void evacuationConfirmed(const std::string &failureDomain, TimePoint now);
    void evacuationTakenBack(const std::string &failureDomain);
    /** A run of an upstream begins. */
    void upstreamStarted(const std::string &upstream, const UpstreamRun &run);
    /** The agent of an upstream has acknowledged that the upstream leaves. */
    void drainAcknowledged(const std::string &upstream, TimePoint now);
    /** A run of an upstream has ended, and all flows that it held. */
    void upstreamEnded(const std::string &upstream);

    /** A caller's packet was handed to a balancer. */
    void packetSent(const flow::FlowKey &key, const std::string &balancer, bool isFirst, TimePoint now);
    /** An upstream took a first packet. */
    void
    firstPacketTaken(const flow::FlowKey &key, const std::string &upstream, const std::string &pool, TimePoint now);
    /** An upstream holds the flow from now on. */
    void flowOpened(const flow::FlowKey &key, const std::string &upstream);
    /** A packet of a caller, other than a first one, arrived at an upstream. */
    void packetArrived(const flow::FlowKey &key, const std::string &upstream, TimePoint now);
    /** Finds the flows that are kept from their upstreams while their callers send. Called several times a second. */
    void timePassed(TimePoint now);
    /** One of the ends is done with the flow. */
    void flowEnded(const flow::FlowKey &key);
    /** The caller of the flow got a reset that no upstream wrote, from a process of @p sender. */
    void resetArrived(const flow::FlowKey &key, const std::string &sender, TimePoint now);
    /** The caller of the flow got a reset that the upstream beside @p agent wrote; it may not be that of the flow. */
    void upstreamResetArrived(const flow::FlowKey &key, const std::string &agent, TimePoint now);

    void requestSent(std::uint64_t request);
    void requestRan(std::uint64_t request, const std::string &upstream, TimePoint now);

    void violated(Promise promise, TimePoint now, std::string text);

    const std::vector<Violation> &violations() const;

private:
    struct Machine
    {
        unsigned disturbances = 0;
        unsigned stops = 0;
        std::optional<TimePoint> disturbedUntil;
        std::optional<TimePoint> stoppedUntil;
    };

    struct Flow
    {
        TimePoint firstPacketAt;
        TimePoint lastPacketAt;
        /** Balancers that got packets of the flow, and when the last. */
        std::map<std::string, TimePoint> balancers;
        /** Empty until the flow is open. */
        std::string upstream;
        /** Packets in a row that reached other upstreams, when the first, and where the last. */
        unsigned astray = 0;
        TimePoint astraySince;
        std::string astrayAt;
        /** A configuration has dropped the route, so that the flow may be reset. */
        bool isRouteDropped = false;
    };

    struct RunningUpstream
    {
        UpstreamRun run;
        /** When the callers sent the first packets that it took last. */
        std::deque<TimePoint> newFlows;
    };

    struct Version
    {
        RoutePools routes;
        TimePoint confirmedAt;
    };

    bool isUndisturbed(const std::string &machine, TimePoint now) const;
    /** Neither disturbed nor stopped lately. */
    bool isInTouch(const std::string &machine, TimePoint now) const;
    bool isAnyDisturbed(TimePoint now) const;
    bool balancersAreInTouch(const Flow &flow, TimePoint now) const;
    /**
     * Whether a loss of the flow to @p culprit breaks the promise, as RULES.md, section Flows, says: the upstream and
     * its links were not disturbed, and if other machines were, those that took packets since @p since, the flow's
     * agent and the culprit are in touch.
     */
    bool isFlowProtected(const Flow &flow, const std::string &culprit, TimePoint since, TimePoint now) const;
    /** The flow is kept from its upstream if its packets have gone astray for @p limit. */
    void checkStray(const flow::FlowKey &key, Flow &flow, std::chrono::milliseconds limit, TimePoint now);
    /** Whether the newest configuration has a route to the address. */
    bool isRouted(const Endpoint &address) const;
    void checkRoute(const flow::FlowKey &key, const Flow &flow, const std::string &pool, TimePoint now);
    void checkEvacuation(const flow::FlowKey &key, const Flow &flow, const std::string &upstream, TimePoint now);
    void checkCold(const Flow &flow, const std::string &upstream, TimePoint now);

    Bounds m_bounds;
    std::map<std::string, Machine> m_machines;
    std::vector<Version> m_versions;
    std::map<std::string, TimePoint> m_draining;
    /** By failure domain, when its evacuation was confirmed. */
    std::map<std::string, TimePoint> m_evacuated;
    std::map<std::string, RunningUpstream> m_running;
    std::map<flow::FlowKey, Flow> m_flows;
    std::set<std::uint64_t> m_sent;
    std::map<std::uint64_t, std::string> m_ran;
    std::vector<Violation> m_violations;
};

/** The name of the agent beside an upstream. */
std::string agentOf(const std::string &upstream);

} // namespace samphireswitch::soak
