#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::soak {

enum class FaultKind : std::uint8_t {
    BalancerKilled,
    BalancerFrozen,
    /** Packets of the fabric do not arrive. */
    BalancerCut,
    /** Packets of the fabric are lost, repeated and delayed. */
    PacketsDisturbed,
    /** Planned: stopped by SIGTERM and started again. */
    BalancerRestarted,
    AgentKilled,
    AgentFrozen,
    UpstreamCrashed,
    UpstreamFrozen,
    /** Planned: the upstream leaves, and its agent is stopped and started with the next run. */
    UpstreamReplaced,
    /** No process reaches the store. */
    StoreDown,
    /** Answers of the store take long. */
    StoreSlow,
    /** One balancer does not reach the store. */
    StoreCut,
    /** The store's next answers to one balancer are lost, with their connections. */
    StoreAnswersLost,
    /** The store discards its history. */
    HistoryLost,
    /** Planned: the operator adds a route, or removes it. */
    RouteChanged,
    /** Planned: all processes are told that their settings changed. */
    SettingsReloaded,
    /** All machines lose power and come back. */
    PowerLost,
    /** Planned: stopped by SIGTERM and started again while its upstream runs on. */
    AgentRestarted,
    /** Balancers and agents are killed and started again, while the upstreams run on. */
    ProcessesKilled,
    /** Planned: a machine with an agent and an upstream is added. */
    UpstreamAdded,
    /** Planned: an upstream leaves, and its machine is taken away for good. */
    UpstreamRemoved,
    /** Planned: a machine with an upstream is added, and another one taken away for good. */
    UpstreamMoved,
    /** Planned: a machine is taken away, and another one with an upstream of the other pool gets its address. */
    AddressReused,
    /** Planned: a machine with a balancer is added. */
    BalancerAdded,
    /** Planned: a balancer is stopped and its machine taken away for good. */
    BalancerRemoved,
    /** An agent ends by itself and is started again, which is no disturbance in the rules. */
    AgentEnded,
    /** The same for a balancer. */
    BalancerEnded,
    /** Planned: a failure domain is evacuated for a while. */
    DomainEvacuated,
    /** All upstreams of a failure domain end and come back at once. */
    DomainReturned,
    /** Planned: the operator publishes the same routes as a new version of the configuration. */
    ConfigurationPublished,
    /** One agent does not reach the store. */
    AgentStoreCut,
};

/** Number of values of FaultKind. */
constexpr std::size_t s_faultKindCount = static_cast<std::size_t>(FaultKind::AgentStoreCut) + 1;

/** For logs. */
std::string_view faultName(FaultKind kind);

/** `balancer`, `agent`, `upstream` or `domain`: what the number of a fault's target counts. */
std::string_view targetRole(FaultKind kind);

/** Whether the operator or the platform plans a fault of this kind, so that open flows have to survive it. */
bool isPlanned(FaultKind kind);

/** A fault from @c begin to @c end; times are from the start of the load. */
struct PlannedFault
{
    FaultKind kind = FaultKind::BalancerKilled;
    /** Number of the balancer, upstream or failure domain, from 1. */
    unsigned target = 1;
    std::chrono::milliseconds begin {0};
    std::chrono::milliseconds end {0};
    /** Share of the processes that are killed together, in hundredths; nothing: that of all such faults of the run. */
    std::optional<unsigned> killedShare {};
};

struct FaultPlanSettings
{
    std::uint64_t seed = 1;
    unsigned faults = 12;
    /** Draw only faults of which isPlanned() is true. */
    bool plannedOnly = false;
    /** Restarts of agents besides, drawn apart from the faults, so that a seed keeps its faults whatever their number.
     */
    unsigned agentRestarts = 0;
    /** Restarts of balancers besides, drawn apart like those of agents. */
    unsigned balancerRestarts = 0;
    /** How often all machines are restarted in turn, as when a new version is rolled out. */
    unsigned rollingRestarts = 0;
    /** From one restart of such a series to the next; the next one does not wait for the end of the one before. */
    std::chrono::milliseconds rollingGap {700};
    /** How often processes are killed besides, drawn apart as well. */
    unsigned processKills = 0;
    /** Machines that come and go, drawn apart as well; see FaultKind. */
    unsigned addedUpstreams = 0;
    unsigned removedUpstreams = 0;
    unsigned movedUpstreams = 0;
    unsigned reusedAddresses = 0;
    unsigned addedBalancers = 0;
    unsigned removedBalancers = 0;
    /** Processes that end by themselves, drawn apart as well. */
    unsigned endedAgents = 0;
    unsigned endedBalancers = 0;
    /** Changes of routes in quick succession, from a time that is drawn apart as well. */
    unsigned routeChanges = 0;
    std::chrono::milliseconds routeChangeGap {200};
    /** Evacuations of failure domains, and domains whose upstreams come back at once; drawn apart as well. */
    unsigned evacuations = 0;
    unsigned returnedDomains = 0;
    /** Longer than the bound of an evacuation, so that it is checked. */
    std::chrono::milliseconds shortestEvacuation {6500};
    /** Balancers and agents that the store turns away while it serves the others, drawn apart as well. */
    unsigned storeCuts = 0;
    unsigned agentStoreCuts = 0;
    unsigned balancers = 3;
    unsigned upstreams = 6;
    unsigned failureDomains = 2;
    /** Faults begin within this time. */
    std::chrono::milliseconds period {18000};
    /** A fault lasts at least and at most so long. */
    std::chrono::milliseconds shortest {200};
    std::chrono::milliseconds longest {3500};
};

/** Draws the faults of a run, in order of their begin. Faults of different machines overlap. */
std::vector<PlannedFault> drawFaults(const FaultPlanSettings &settings);

} // namespace samphireswitch::soak
