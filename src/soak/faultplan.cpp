#include "soak/faultplan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace samphireswitch::soak {

namespace {

constexpr unsigned s_kinds = static_cast<unsigned>(FaultKind::PowerLost) + 1;
// A loss of power hides what other faults do, so that only one of so many draws of it counts.
constexpr unsigned s_powerLossShare = 3;
constexpr std::uint64_t s_agentRestartSeed = 0x72657374617274ULL;
constexpr std::uint64_t s_balancerRestartSeed = 0x62616c616e6365ULL;
constexpr std::uint64_t s_rollingRestartSeed = 0x726f6c6c696e67ULL;
constexpr std::uint64_t s_processKillSeed = 0x6b696c6c616c6cULL;
constexpr std::uint64_t s_machineSeed = 0x6d616368696e65ULL;
constexpr std::uint64_t s_lengthSeed = 0x6c656e67746873ULL;
constexpr std::uint64_t s_routeChangeSeed = 0x726f75746573ULL;

struct FaultTraits
{
    std::string_view name;
    /** What the number of the target counts. */
    std::string_view role;
    bool isPlanned = false;
};

/** By the value of FaultKind. */
constexpr std::array<FaultTraits, s_faultKindCount> s_traits {{{"balancer-killed", "balancer"},
                                                               {"balancer-frozen", "balancer"},
                                                               {"balancer-cut", "balancer"},
                                                               {"packets-disturbed", "balancer"},
                                                               {"balancer-restarted", "balancer", true},
                                                               {"agent-killed", "agent"},
                                                               {"agent-frozen", "agent"},
                                                               {"upstream-crashed", "upstream"},
                                                               {"upstream-frozen", "upstream"},
                                                               {"upstream-replaced", "upstream", true},
                                                               {"store-down", "balancer"},
                                                               {"store-slow", "balancer"},
                                                               {"store-cut", "balancer"},
                                                               {"store-answers-lost", "balancer"},
                                                               {"history-lost", "balancer"},
                                                               {"route-changed", "balancer", true},
                                                               {"settings-reloaded", "balancer", true},
                                                               {"power-lost", "balancer"},
                                                               {"agent-restarted", "agent", true},
                                                               {"processes-killed", "balancer"},
                                                               {"upstream-added", "upstream", true},
                                                               {"upstream-removed", "upstream", true},
                                                               {"upstream-moved", "upstream", true},
                                                               {"address-reused", "upstream", true},
                                                               {"balancer-added", "balancer", true},
                                                               {"balancer-removed", "balancer", true},
                                                               {"agent-ended", "agent"},
                                                               {"balancer-ended", "balancer"},
                                                               {"domain-evacuated", "domain", true},
                                                               {"domain-returned", "domain"},
                                                               {"configuration-published", "balancer", true},
                                                               {"agent-store-cut", "agent"}}};

const FaultTraits &traitsOf(FaultKind kind)
{
    return s_traits[static_cast<std::size_t>(kind)];
}

/** Planned restarts of the machines 1 to @c targets of one role. */
struct RestartSeries
{
    FaultKind kind = FaultKind::AgentRestarted;
    unsigned count = 0;
    unsigned targets = 1;
    std::uint64_t seed = 0;
};

void appendRestarts(const RestartSeries &series, const FaultPlanSettings &settings, std::vector<PlannedFault> &faults)
{
    std::mt19937_64 random(settings.seed ^ series.seed);
    for (unsigned number = 0; number < series.count; ++number) {
        PlannedFault fault;
        fault.kind = series.kind;
        fault.target = 1 + static_cast<unsigned>(random() % series.targets);
        fault.begin = std::chrono::milliseconds(random() % static_cast<std::uint64_t>(settings.period.count()));
        fault.end = fault.begin + settings.shortest;
        faults.push_back(fault);
    }
}

/** Restarts of all machines in an order that is drawn for each series; the series follow one another. */
void appendRollingRestarts(const FaultPlanSettings &settings, std::vector<PlannedFault> &faults)
{
    std::mt19937_64 random(settings.seed ^ s_rollingRestartSeed);
    std::vector<PlannedFault> machines;
    for (unsigned number = 1; number <= settings.balancers; ++number) {
        machines.push_back({FaultKind::BalancerRestarted, number, {}, {}});
    }
    for (unsigned number = 1; number <= settings.upstreams; ++number) {
        machines.push_back({FaultKind::AgentRestarted, number, {}, {}});
    }
    std::chrono::milliseconds begin {0};
    for (unsigned series = 0; series < settings.rollingRestarts; ++series) {
        std::ranges::shuffle(machines, random);
        for (PlannedFault fault : machines) {
            begin += settings.rollingGap;
            fault.begin = begin;
            fault.end = begin + settings.shortest;
            faults.push_back(fault);
        }
    }
}

/** Machines that come and go. */
void appendMachines(const FaultPlanSettings &settings, std::vector<PlannedFault> &faults)
{
    const std::array<std::pair<FaultKind, unsigned>, 8> counts {
        {{FaultKind::UpstreamAdded, settings.addedUpstreams},
         {FaultKind::UpstreamRemoved, settings.removedUpstreams},
         {FaultKind::UpstreamMoved, settings.movedUpstreams},
         {FaultKind::AddressReused, settings.reusedAddresses},
         {FaultKind::BalancerAdded, settings.addedBalancers},
         {FaultKind::BalancerRemoved, settings.removedBalancers},
         {FaultKind::AgentEnded, settings.endedAgents},
         {FaultKind::BalancerEnded, settings.endedBalancers}}};
    for (const auto &[kind, count] : counts) {
        const unsigned targets = targetRole(kind) == "balancer" ? settings.balancers : settings.upstreams;
        const std::uint64_t seed = s_machineSeed + static_cast<std::uint64_t>(kind);
        appendRestarts({kind, count, targets, seed}, settings, faults);
    }
}

/** Evacuations and what may come beside them; each lasts for a time of its own. */
void appendEvacuations(const FaultPlanSettings &settings, std::vector<PlannedFault> &faults)
{
    std::vector<PlannedFault> drawn;
    const std::array<RestartSeries, 4> series {
        {{FaultKind::DomainEvacuated, settings.evacuations, settings.failureDomains, 0},
         {FaultKind::DomainReturned, settings.returnedDomains, settings.failureDomains, 0},
         {FaultKind::StoreCut, settings.storeCuts, settings.balancers, 0},
         {FaultKind::AgentStoreCut, settings.agentStoreCuts, settings.upstreams, 0}}};
    for (RestartSeries one : series) {
        one.seed = s_machineSeed + static_cast<std::uint64_t>(one.kind);
        appendRestarts(one, settings, drawn);
    }
    std::mt19937_64 random(settings.seed ^ s_lengthSeed);
    for (PlannedFault &fault : drawn) {
        const auto spread = static_cast<std::uint64_t>((settings.longest - settings.shortest).count());
        fault.end += std::chrono::milliseconds(random() % spread);
        if (fault.kind == FaultKind::DomainEvacuated) {
            fault.end += settings.shortestEvacuation;
        }
    }
    faults.insert(faults.end(), drawn.begin(), drawn.end());
}

void appendRouteChanges(const FaultPlanSettings &settings, std::vector<PlannedFault> &faults)
{
    std::mt19937_64 random(settings.seed ^ s_routeChangeSeed);
    std::chrono::milliseconds begin(random() % static_cast<std::uint64_t>(settings.period.count()));
    for (unsigned number = 0; number < settings.routeChanges; ++number) {
        const unsigned target = 1 + static_cast<unsigned>(random() % settings.balancers);
        faults.push_back({FaultKind::RouteChanged, target, begin, begin + settings.shortest});
        begin += settings.routeChangeGap;
    }
}

} // namespace

std::string_view faultName(FaultKind kind)
{
    return traitsOf(kind).name;
}

std::string_view targetRole(FaultKind kind)
{
    return traitsOf(kind).role;
}

bool isPlanned(FaultKind kind)
{
    return traitsOf(kind).isPlanned;
}

std::vector<PlannedFault> drawFaults(const FaultPlanSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::vector<PlannedFault> faults;
    while (faults.size() < settings.faults) {
        PlannedFault fault;
        fault.kind = static_cast<FaultKind>(random() % s_kinds);
        // Each upstream has an agent.
        const unsigned targets = targetRole(fault.kind) == "balancer" ? settings.balancers : settings.upstreams;
        fault.target = 1 + static_cast<unsigned>(random() % targets);
        fault.begin = std::chrono::milliseconds(random() % static_cast<std::uint64_t>(settings.period.count()));
        const auto spread = static_cast<std::uint64_t>((settings.longest - settings.shortest).count());
        fault.end = fault.begin + settings.shortest + std::chrono::milliseconds(random() % spread);
        if (fault.kind == FaultKind::PowerLost && random() % s_powerLossShare != 0) {
            continue;
        }
        if (settings.plannedOnly && !isPlanned(fault.kind)) {
            continue;
        }
        faults.push_back(fault);
    }
    appendRestarts(
        {FaultKind::AgentRestarted, settings.agentRestarts, settings.upstreams, s_agentRestartSeed}, settings, faults);
    appendRestarts({FaultKind::BalancerRestarted, settings.balancerRestarts, settings.balancers, s_balancerRestartSeed},
                   settings,
                   faults);
    appendRollingRestarts(settings, faults);
    appendRestarts({FaultKind::ProcessesKilled, settings.processKills, 1, s_processKillSeed}, settings, faults);
    appendMachines(settings, faults);
    appendEvacuations(settings, faults);
    appendRouteChanges(settings, faults);
    std::ranges::stable_sort(faults, {}, &PlannedFault::begin);
    return faults;
}

} // namespace samphireswitch::soak
