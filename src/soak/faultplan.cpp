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
    const std::array<RestartSeries, 3> series {
        {{FaultKind::DomainEvacuated, settings.evacuations, settings.failureDomains, 0},
         {FaultKind::DomainReturned, settings.returnedDomains, settings.failureDomains, 0},
         {FaultKind::StoreCut, settings.storeCuts, settings.balancers, 0}}};
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
    switch (kind) {
    case FaultKind::BalancerKilled:
        return "balancer-killed";
    case FaultKind::BalancerFrozen:
        return "balancer-frozen";
    case FaultKind::BalancerCut:
        return "balancer-cut";
    case FaultKind::PacketsDisturbed:
        return "packets-disturbed";
    case FaultKind::BalancerRestarted:
        return "balancer-restarted";
    case FaultKind::AgentKilled:
        return "agent-killed";
    case FaultKind::AgentFrozen:
        return "agent-frozen";
    case FaultKind::UpstreamCrashed:
        return "upstream-crashed";
    case FaultKind::UpstreamFrozen:
        return "upstream-frozen";
    case FaultKind::UpstreamReplaced:
        return "upstream-replaced";
    case FaultKind::StoreDown:
        return "store-down";
    case FaultKind::StoreSlow:
        return "store-slow";
    case FaultKind::StoreCut:
        return "store-cut";
    case FaultKind::StoreAnswersLost:
        return "store-answers-lost";
    case FaultKind::HistoryLost:
        return "history-lost";
    case FaultKind::RouteChanged:
        return "route-changed";
    case FaultKind::SettingsReloaded:
        return "settings-reloaded";
    case FaultKind::PowerLost:
        return "power-lost";
    case FaultKind::AgentRestarted:
        return "agent-restarted";
    case FaultKind::ProcessesKilled:
        return "processes-killed";
    case FaultKind::UpstreamAdded:
        return "upstream-added";
    case FaultKind::UpstreamRemoved:
        return "upstream-removed";
    case FaultKind::UpstreamMoved:
        return "upstream-moved";
    case FaultKind::AddressReused:
        return "address-reused";
    case FaultKind::BalancerAdded:
        return "balancer-added";
    case FaultKind::BalancerRemoved:
        return "balancer-removed";
    case FaultKind::AgentEnded:
        return "agent-ended";
    case FaultKind::BalancerEnded:
        return "balancer-ended";
    case FaultKind::DomainEvacuated:
        return "domain-evacuated";
    case FaultKind::DomainReturned:
        return "domain-returned";
    }
    return "unknown";
}

std::string_view targetRole(FaultKind kind)
{
    switch (kind) {
    case FaultKind::AgentKilled:
    case FaultKind::AgentFrozen:
    case FaultKind::AgentRestarted:
    case FaultKind::AgentEnded:
        return "agent";
    case FaultKind::UpstreamCrashed:
    case FaultKind::UpstreamFrozen:
    case FaultKind::UpstreamReplaced:
    case FaultKind::UpstreamAdded:
    case FaultKind::UpstreamRemoved:
    case FaultKind::UpstreamMoved:
    case FaultKind::AddressReused:
        return "upstream";
    case FaultKind::DomainEvacuated:
    case FaultKind::DomainReturned:
        return "domain";
    default:
        return "balancer";
    }
}

bool isPlanned(FaultKind kind)
{
    switch (kind) {
    case FaultKind::BalancerRestarted:
    case FaultKind::UpstreamReplaced:
    case FaultKind::RouteChanged:
    case FaultKind::SettingsReloaded:
    case FaultKind::AgentRestarted:
    case FaultKind::UpstreamAdded:
    case FaultKind::UpstreamRemoved:
    case FaultKind::UpstreamMoved:
    case FaultKind::AddressReused:
    case FaultKind::BalancerAdded:
    case FaultKind::BalancerRemoved:
    case FaultKind::DomainEvacuated:
        return true;
    default:
        return false;
    }
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
