#include "soak/soak.h"

#include "soak/siteschedule.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>
#include <utility>

namespace samphireswitch::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds s_poll {50};
// A run in which the soak itself stood still longer is no run without disturbances.
constexpr milliseconds s_longestStandstill {300};
constexpr milliseconds s_startLimit {15000};
// `contact_ms` and `catch_up_s` of the deployments.
constexpr milliseconds s_settleTime {8000};
constexpr milliseconds s_calmTime {4000};
// Longer than the time budget of a request.
constexpr milliseconds s_finishLimit {10000};
constexpr unsigned s_lostAnswers = 3;
constexpr std::uint64_t s_standstillSeed = 0x7374616e64ULL;
// A caller that meets a longer standstill may end its attempt although nothing is wrong.
constexpr milliseconds s_longestCalmStandstill {300};
// The new machine of a move starts so long before the old one leaves.
constexpr milliseconds s_moveOverlap {1000};
constexpr unsigned s_wholeShare = 100;
constexpr milliseconds s_longestExecution {120000};

const std::string s_storeName = "store";

/** Beside each other in a pool: quick, ordinary and slow upstreams. */
double workFactorOf(unsigned upstream)
{
    constexpr std::array<double, 3> factors {0.6, 1.0, 1.6};
    return factors[(upstream + upstream / factors.size()) % factors.size()];
}

std::string numbered(std::string_view kind, unsigned number)
{
    return std::string(kind) + "-" + std::to_string(number);
}

FabricBalancer fabricBalancer(const Addresses &addresses, const MachineLayout &layout, const std::string &name)
{
    return {name, addresses.packets(name), addresses.readiness(name), layout.failureDomain(name)};
}

std::vector<FabricBalancer> fabricBalancers(const Addresses &addresses, const MachineLayout &layout, unsigned count)
{
    std::vector<FabricBalancer> balancers;
    for (unsigned number = 1; number <= count; ++number) {
        balancers.push_back(fabricBalancer(addresses, layout, numbered("balancer", number)));
    }
    return balancers;
}

RouterSettings routerSettings(const SoakOptions &options, const MachineLayout &layout)
{
    RouterSettings settings;
    settings.isZoned = options.hasZonedRouters;
    settings.seed = options.processes.seed;
    for (unsigned number = 0; number < options.processes.failureDomains; ++number) {
        settings.failureDomains.push_back(layout.failureDomain(numbered("callers", number)));
    }
    return settings;
}

std::vector<PlannedFault> faultsOf(const SoakOptions &options)
{
    auto faults = options.day ? scheduleOf(*options.day, options.faults.seed) : drawFaults(options.faults);
    for (PlannedFault &fault : faults) {
        fault.begin += options.faultDelay;
        fault.end += options.faultDelay;
    }
    return faults;
}

} // namespace

void applyDay(platform::SiteDay day, SoakOptions &options)
{
    options.processes.balancers = static_cast<unsigned>(day.balancers.size());
    options.processes.upstreams = static_cast<unsigned>(day.upstreams.size());
    options.processes.failureDomains = static_cast<unsigned>(day.failureDomains.size());
    options.callers.addresses = std::min(options.processes.failureDomains, s_mostCallerAddresses);
    options.hasZonedRouters = true;
    options.reportInterval = day.reportInterval;
    options.callerDistance = day.callerDistance;
    options.idleClose = day.pools.empty() ? milliseconds(0) : day.pools.front().idleClose;
    options.day = std::move(day);
}

Soak::Soak(const SoakOptions &options)
    : m_options(options)
    , m_layout(options.day ? MachineLayout(*options.day) : MachineLayout(options.processes.failureDomains))
    , m_store(m_context)
    , m_operator(m_store, m_check, {options.idleTimeout, options.slowStart, options.coldRequestsPerSecond})
    , m_processes(m_context, options.processes, m_layout, m_check)
    , m_fabric(m_context,
               fabricBalancers(m_processes.addresses(), m_layout, options.processes.balancers),
               m_check,
               routerSettings(options, m_layout))
    , m_callers(m_context, m_fabric, m_check, options.callers, options.processes.seed)
    , m_lastBalancer(options.processes.balancers)
    , m_lastUpstream(options.processes.upstreams)
    , m_timer(m_context)
    , m_standstillTimer(m_context)
    , m_endStandstillTimer(m_context)
    , m_random(options.processes.seed ^ s_standstillSeed)
    , m_faults(faultsOf(options))
{
    for (unsigned number = 1; number <= options.processes.balancers; ++number) {
        m_balancers.push_back(numbered("balancer", number));
    }
    for (unsigned number = 1; number <= options.processes.upstreams; ++number) {
        const UpstreamSettings settings = upstreamSettings(numbered("upstream", number), m_layout.pool(number));
        m_upstreams.push_back(std::make_unique<Upstream>(m_context, settings, m_check));
        m_agents.push_back(agentOf(settings.name));
        m_processes.setService(m_agents.back(), settings.pool);
    }
}

UpstreamSettings Soak::upstreamSettings(const std::string &name, const std::string &pool) const
{
    const Addresses &addresses = m_processes.addresses();
    UpstreamSettings settings;
    settings.name = name;
    settings.pool = pool;
    settings.failureDomain = m_layout.failureDomain(name);
    settings.address = addresses.upstream(name);
    settings.outbound = addresses.outbound(name);
    settings.reports = addresses.control(name);
    settings.seed = m_options.processes.seed + std::hash<std::string> {}(name);
    settings.acceptsProbes = m_options.upstreamsAcceptProbes;
    settings.firstSequence = m_options.firstReportSequence;
    settings.otherWriterShare = m_options.otherWriterShare;
    settings.longestClockStep = m_options.longestClockStep;
    settings.longestReturn = m_options.longestReturn;
    settings.idleClose = m_options.idleClose;
    if (m_options.day && !m_options.day->pools.empty()) {
        const platform::SitePool &served = m_options.day->pools[pool == s_orders ? 0 : 1 % m_options.day->pools.size()];
        settings.slots = served.slots;
        settings.waitingPerSlot = served.queue / std::max(1U, served.slots);
    }
    settings.reportInterval = m_options.reportInterval;
    settings.slowStart = m_options.slowStart;
    settings.coldRequestsPerSecond = m_options.coldRequestsPerSecond;
    if (m_options.hasUnequalUpstreams) {
        settings.workFactor = workFactorOf(numberOf(name));
    }
    return settings;
}

Result<void> Soak::run()
{
    m_startedAt = Clock::now();
    m_polledAt = m_startedAt;
    BOOST_LEAF_CHECK(startAll());
    enter(Stage::Starting, m_startedAt);
    poll();
    m_context.run_for(s_longestExecution);
    if (m_stage != Stage::Stopping || m_pendingActions > 0) {
        m_check.violated(Promise::Process, Clock::now(), "the run did not come to its end");
    }
    return {};
}

boost::json::object Soak::report() const
{
    boost::json::array violations;
    for (const Violation &violation : m_check.violations()) {
        const auto at = std::chrono::duration_cast<milliseconds>(violation.at - m_startedAt);
        violations.push_back(boost::json::object {
            {"promise", promiseName(violation.promise)}, {"at_ms", at.count()}, {"what", violation.text}});
    }
    boost::json::object requests;
    for (const auto &[kind, counts] : m_callers.counts()) {
        requests[kind] = boost::json::object {{"answered", counts.answered},
                                              {"refused", counts.refused},
                                              {"unopened", counts.unopened},
                                              {"broken", counts.broken},
                                              {"late", counts.late}};
    }
    boost::json::array failures;
    for (const FailedRequest &failure : m_callers.failures()) {
        const auto at = std::chrono::duration_cast<milliseconds>(failure.at - m_startedAt);
        failures.push_back(boost::json::object {{"at_ms", at.count()},
                                                {"kind", failure.kind},
                                                {"outcome", failure.outcome},
                                                {"flow", flow::toString(failure.flow)}});
    }
    boost::json::array notes;
    for (const std::string &text : m_notes) {
        notes.push_back(boost::json::string(text));
    }
    return {{"seed", m_options.faults.seed},
            {"faults", m_faults.size()},
            {"skipped_faults", m_skippedFaults},
            {"requests", std::move(requests)},
            {"violations", std::move(violations)},
            {"failed_requests", std::move(failures)},
            {"notes", std::move(notes)}};
}

bool Soak::hasViolations() const
{
    return !m_check.violations().empty();
}

Result<void> Soak::startAll()
{
    const Addresses &addresses = m_processes.addresses();
    BOOST_LEAF_CHECK(m_store.listen(addresses.store()));
    m_operator.publishConfiguration();
    BOOST_LEAF_CHECK(m_processes.open());
    for (const std::string &name : processes()) {
        BOOST_LEAF_CHECK(m_processes.start(name, true));
        m_callers.nameSender(addresses.machine(name), name);
    }
    for (const auto &upstream : m_upstreams) {
        after(m_options.upstreamStartDelay, [this, name = upstream->settings().name] { restart(name); });
    }
    BOOST_LEAF_CHECK(m_fabric.start(addresses.fabric()));
    return {};
}

void Soak::startLoad()
{
    for (const RequestKind &kind : m_options.day ? requestKinds(*m_options.day) : requestKinds(m_options.load)) {
        m_callers.add(kind);
    }
    for (unsigned number = 1; number <= m_options.processes.balancers; ++number) {
        m_callers.add({numbered("route", number), changingRoute(number), 100, 100, 5, 3, 0, false});
    }
    for (unsigned index = 0; index < m_options.callers.addresses; ++index) {
        if (!m_callers.listen(m_processes.addresses().callers(index))) {
            m_check.violated(Promise::Process, Clock::now(), "the callers' address is in use");
        }
    }
    m_callers.start();
    for (const std::string &balancer : m_balancers) {
        setCallerDistance(balancer);
    }
    for (std::size_t index = 0; index < m_faults.size(); ++index) {
        if (!m_options.onlyFaults.empty() && !m_options.onlyFaults.contains(index)) {
            continue;
        }
        after(m_faults[index].begin, [this, index] { begin(m_faults[index]); });
    }
}

void Soak::setCallerDistance(const std::string &balancer)
{
    m_fabric.disturb(balancer, "delay " + std::to_string(m_options.callerDistance.count()) + " 0");
}

void Soak::poll()
{
    const TimePoint now = Clock::now();
    if (now - m_polledAt > s_longestStandstill) {
        note("the soak itself, with its callers and upstreams, stood still for "
             + std::to_string(std::chrono::duration_cast<milliseconds>(now - m_polledAt).count()) + " ms");
    }
    m_polledAt = now;
    m_check.timePassed(now);
    advance(now);
    m_timer.expires_after(s_poll);
    m_timer.async_wait([this](const boost::system::error_code &) {
        if (m_stage == Stage::Stopping && m_pendingActions == 0) {
            m_context.stop();
            return;
        }
        poll();
    });
}

void Soak::advance(TimePoint now)
{
    const auto elapsed = now - m_stageBegan;
    switch (m_stage) {
    case Stage::Starting:
        if (elapsed > s_startLimit) {
            m_check.violated(Promise::Process, now, "the balancers are not ready in time");
            enter(Stage::Stopping, now);
        } else if (m_fabric.isComplete()) {
            enter(Stage::Faults, now);
        }
        return;
    case Stage::Faults:
        if (m_pendingActions == 0) {
            enter(Stage::Settling, now);
        }
        return;
    case Stage::Settling:
        if (elapsed >= s_settleTime) {
            enter(Stage::Calm, now);
        }
        return;
    case Stage::Calm:
        if (elapsed >= s_calmTime) {
            enter(Stage::Finishing, now);
        }
        return;
    case Stage::Finishing:
        if (!m_callers.hasRequestsUnderWay() || elapsed >= s_finishLimit) {
            enter(Stage::Stopping, now);
        }
        return;
    case Stage::Stopping:
        return;
    }
}

void Soak::enter(Stage stage, TimePoint now)
{
    m_stage = stage;
    m_stageBegan = now;
    switch (stage) {
    case Stage::Starting:
        return;
    case Stage::Faults:
        note("load starts");
        startLoad();
        beginStandstill();
        beginEndStandstill();
        return;
    case Stage::Settling:
        note("faults have ended");
        return;
    case Stage::Calm:
        note("every request is expected to be answered");
        m_callers.expectAnswers();
        return;
    case Stage::Finishing:
        m_callers.finish();
        return;
    case Stage::Stopping:
        note("processes are stopped");
        for (const auto &upstream : m_upstreams) {
            upstream->crash();
        }
        for (const std::string &name : processes()) {
            ++m_pendingActions;
            m_processes.stop(name, [this] { --m_pendingActions; });
        }
        return;
    }
}

void Soak::begin(const PlannedFault &fault)
{
    const std::string target = numbered(targetRole(fault.kind), fault.target);
    const milliseconds duration = fault.end - fault.begin;
    note(std::string(faultName(fault.kind)) + " " + std::to_string(fault.target) + " for "
         + std::to_string(duration.count()) + " ms");
    switch (fault.kind) {
    case FaultKind::BalancerKilled:
    case FaultKind::AgentKilled:
    case FaultKind::UpstreamCrashed:
        killAndRestart({target}, duration);
        return;
    case FaultKind::PowerLost:
        killAndRestart(machines(), duration);
        return;
    case FaultKind::ProcessesKilled:
        killAndRestart(drawKilled(fault.killedShare.value_or(m_options.killedShare)), duration);
        return;
    case FaultKind::UpstreamAdded:
        addUpstream(fault.target);
        return;
    case FaultKind::UpstreamRemoved:
        removeUpstream(fault.target, [] {});
        return;
    case FaultKind::UpstreamMoved:
        addUpstream(fault.target);
        after(s_moveOverlap, [this, number = fault.target] { removeUpstream(number, [] {}); });
        return;
    case FaultKind::AddressReused:
        reuseAddress(fault.target);
        return;
    case FaultKind::BalancerAdded:
        addBalancer();
        return;
    case FaultKind::BalancerRemoved:
        removeBalancer(fault.target);
        return;
    case FaultKind::BalancerRestarted:
    case FaultKind::AgentRestarted:
        stopAndRestart(target);
        return;
    case FaultKind::AgentEnded:
    case FaultKind::BalancerEnded:
        endAndRestart(target);
        return;
    case FaultKind::UpstreamReplaced:
        replaceUpstream(fault.target);
        return;
    case FaultKind::BalancerFrozen:
    case FaultKind::AgentFrozen:
    case FaultKind::UpstreamFrozen:
        freeze(target, true);
        break;
    case FaultKind::BalancerCut:
        m_check.disturbanceBegan(target);
        m_fabric.disturb(target, "cut to");
        break;
    case FaultKind::PacketsDisturbed:
        m_check.disturbanceBegan(target);
        for (const char *command : {"drop 0.05", "duplicate 0.1 50", "reorder 0.1 20", "delay 1 4"}) {
            m_fabric.disturb(target, command);
        }
        break;
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
        m_check.disturbanceBegan(s_storeName);
        for (const std::string &name : processes()) {
            m_processes.disturbStore(name, fault.kind == FaultKind::StoreDown ? "cut both" : "delay 400 200");
        }
        break;
    case FaultKind::StoreCut:
    case FaultKind::AgentStoreCut:
        m_check.disturbanceBegan(target);
        m_processes.disturbStore(target, "cut both");
        break;
    case FaultKind::StoreAnswersLost:
        m_check.disturbanceBegan(target);
        m_processes.disturbStore(target, "lose-answers " + std::to_string(s_lostAnswers));
        break;
    case FaultKind::HistoryLost:
        m_store.forgetHistory();
        return;
    case FaultKind::RouteChanged:
        changeRoute(fault.target);
        return;
    case FaultKind::ConfigurationPublished:
        m_operator.publishConfiguration();
        return;
    case FaultKind::DomainEvacuated:
        m_operator.evacuate(failureDomainOf(target, m_options.processes.failureDomains));
        break;
    case FaultKind::DomainReturned:
        killAndRestart(upstreamsIn(failureDomainOf(target, m_options.processes.failureDomains)), duration);
        return;
    case FaultKind::SettingsReloaded:
        for (const std::string &name : processes()) {
            m_processes.reloadSettings(name);
        }
        return;
    }
    after(duration, [this, fault] { end(fault); });
}

void Soak::end(const PlannedFault &fault)
{
    const TimePoint now = Clock::now();
    const std::string target = numbered(targetRole(fault.kind), fault.target);
    switch (fault.kind) {
    case FaultKind::BalancerFrozen:
    case FaultKind::AgentFrozen:
    case FaultKind::UpstreamFrozen:
        freeze(target, false);
        return;
    case FaultKind::BalancerCut:
    case FaultKind::PacketsDisturbed:
        m_fabric.disturb(target, "heal");
        setCallerDistance(target);
        m_check.disturbanceEnded(target, now);
        return;
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
        for (const std::string &name : processes()) {
            m_processes.disturbStore(name, "heal");
        }
        m_check.disturbanceEnded(s_storeName, now);
        return;
    case FaultKind::DomainEvacuated:
        m_operator.takeBack(failureDomainOf(target, m_options.processes.failureDomains));
        return;
    case FaultKind::StoreCut:
    case FaultKind::AgentStoreCut:
    case FaultKind::StoreAnswersLost:
        m_processes.disturbStore(target, "heal");
        m_check.disturbanceEnded(target, now);
        return;
    default:
        return;
    }
}

void Soak::killAndRestart(const std::vector<std::string> &machines, milliseconds downTime)
{
    std::vector<std::string> taken;
    for (const std::string &machine : machines) {
        if (reserve({machine})) {
            taken.push_back(machine);
        }
    }
    for (const std::string &machine : taken) {
        m_check.disturbanceBegan(machine);
        if (Upstream *upstream = upstreamOf(machine)) {
            upstream->crash();
        } else {
            m_processes.kill(machine);
        }
    }
    std::vector<std::string> prompt = taken;
    const std::vector<std::string> late = takeLate(prompt);
    after(downTime, [this, taken, prompt] {
        restartReserved(prompt);
        for (const std::string &machine : taken) {
            m_check.disturbanceEnded(machine, Clock::now());
        }
    });
    after(downTime + m_options.lateBy, [this, late] { restartReserved(late); });
}

void Soak::restartReserved(const std::vector<std::string> &machines)
{
    for (const std::string &machine : machines) {
        restart(machine);
    }
    release(machines);
}

std::vector<std::string> Soak::takeLate(std::vector<std::string> &machines) const
{
    std::vector<std::string> late;
    for (const std::string &machine : machines) {
        if (late.size() < m_options.lateAgents && machine.starts_with("agent-")) {
            late.push_back(machine);
        }
    }
    std::erase_if(machines, [&late](const auto &machine) { return std::ranges::find(late, machine) != late.end(); });
    return late;
}

void Soak::restart(const std::string &machine)
{
    Upstream *upstream = upstreamOf(machine);
    const bool isStarted = upstream != nullptr ? bool(upstream->start(m_stage != Stage::Starting))
                                               : bool(m_processes.start(machine, false));
    if (!isStarted) {
        failToStart(machine);
    }
    if (upstream != nullptr && m_stage == Stage::Faults && m_options.longestAgentLife.count() > 0) {
        const std::chrono::milliseconds life(m_random()
                                             % static_cast<std::uint64_t>(m_options.longestAgentLife.count()));
        after(life, [this, agent = agentOf(machine)] { endAndRestart(agent); });
    }
}

void Soak::stopAndRestart(const std::string &name)
{
    if (!reserve({name})) {
        return;
    }
    m_check.stopBegan(name);
    ++m_pendingActions;
    m_processes.stop(name, [this, name] {
        --m_pendingActions;
        after(m_options.restartDelay, [this, name] {
            restart(name);
            m_check.stopEnded(name, Clock::now());
            release({name});
        });
    });
}

void Soak::endAndRestart(const std::string &name)
{
    if (!reserve({name})) {
        return;
    }
    m_processes.kill(name);
    after(m_options.restartDelay, [this, name] {
        restart(name);
        release({name});
    });
}

void Soak::replaceUpstream(unsigned number)
{
    const std::string agent = numbered("agent", number);
    const std::string upstream = numbered("upstream", number);
    if (!reserve({agent, upstream})) {
        return;
    }
    m_check.stopBegan(agent);
    ++m_pendingActions;
    m_upstreams[number - 1]->leave([this, agent, upstream] {
        // The agent gets SIGTERM after its upstream has ended.
        m_processes.stop(agent, [this, agent, upstream] {
            --m_pendingActions;
            after(m_options.restartDelay, [this, agent, upstream] {
                restart(agent);
                after(m_options.upstreamStartDelay, [this, agent, upstream] {
                    restart(upstream);
                    m_check.stopEnded(agent, Clock::now());
                    release({agent, upstream});
                });
            });
        });
    });
}

void Soak::addUpstream(unsigned other)
{
    const unsigned number = ++m_lastUpstream;
    m_layout.placeLike(number, other);
    startMachine(upstreamSettings(numbered("upstream", number), m_layout.pool(number)));
}

void Soak::startMachine(const UpstreamSettings &settings)
{
    const std::string agent = agentOf(settings.name);
    m_upstreams.push_back(std::make_unique<Upstream>(m_context, settings, m_check));
    m_agents.push_back(agent);
    m_processes.setService(agent, settings.pool);
    m_callers.nameSender(settings.address.address, agent);
    // A fault that ended the upstream before its start would start it a second time.
    reserve({agent, settings.name});
    restart(agent);
    after(m_options.upstreamStartDelay, [this, agent, upstream = settings.name] {
        restart(upstream);
        release({agent, upstream});
    });
}

void Soak::removeUpstream(unsigned number, std::function<void()> done)
{
    const std::string agent = numbered("agent", number);
    const std::string upstream = numbered("upstream", number);
    if (!reserve({agent, upstream})) {
        return;
    }
    m_check.stopBegan(agent);
    ++m_pendingActions;
    m_upstreams[number - 1]->leave([this, agent, done = std::move(done)] {
        m_processes.stop(agent, [this, agent, done] {
            --m_pendingActions;
            std::erase(m_agents, agent);
            m_check.stopEnded(agent, Clock::now());
            done();
        });
    });
}

void Soak::reuseAddress(unsigned number)
{
    removeUpstream(number, [this, number] {
        after(m_options.restartDelay, [this, number] {
            const std::string pool = m_layout.pool(number) == s_orders ? s_scans : s_orders;
            startMachine(upstreamSettings(numbered("upstream-reused", number), pool));
        });
    });
}

void Soak::addBalancer()
{
    const std::string name = numbered("balancer", ++m_lastBalancer);
    m_balancers.push_back(name);
    m_callers.nameSender(m_processes.addresses().machine(name), name);
    m_fabric.add(fabricBalancer(m_processes.addresses(), m_layout, name));
    setCallerDistance(name);
    restart(name);
}

void Soak::removeBalancer(unsigned number)
{
    const std::string name = numbered("balancer", number);
    if (!reserve({name})) {
        return;
    }
    m_check.stopBegan(name);
    ++m_pendingActions;
    m_processes.stop(name, [this, name] {
        --m_pendingActions;
        std::erase(m_balancers, name);
        m_fabric.remove(name);
        m_check.stopEnded(name, Clock::now());
    });
}

std::vector<std::string> Soak::drawKilled(unsigned share)
{
    std::vector<std::string> names = processes();
    std::ranges::shuffle(names, m_random);
    names.resize(names.size() * share / s_wholeShare);
    return names;
}

void Soak::freeze(const std::string &machine, bool frozen)
{
    if (frozen) {
        m_check.disturbanceBegan(machine);
    } else {
        m_check.disturbanceEnded(machine, Clock::now());
    }
    if (Upstream *upstream = upstreamOf(machine)) {
        upstream->setFrozen(frozen);
    } else {
        m_processes.setFrozen(machine, frozen);
    }
}

void Soak::beginStandstill()
{
    const std::vector<std::string> names = processes();
    const std::string &name = names[m_random() % names.size()];
    scheduleStandstill(m_standstillTimer, m_options.standstillsPerSecond, &Soak::beginStandstill);
    if (m_options.standstillsPerSecond > 0) {
        standStill(m_options.longestStandstill, [this, name](bool frozen) { m_processes.setFrozen(name, frozen); });
    }
}

void Soak::beginEndStandstill()
{
    scheduleStandstill(m_endStandstillTimer, m_options.endStandstillsPerSecond, &Soak::beginEndStandstill);
    if (m_options.endStandstillsPerSecond <= 0) {
        return;
    }
    const std::size_t kind = m_random() % 3;
    if (kind == 0) {
        standStill(m_options.longestEndStandstill, [this](bool frozen) { m_callers.setFrozen(frozen); });
        return;
    }
    const std::size_t one = m_random() % m_upstreams.size();
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (kind == 1 && index != one) {
            continue;
        }
        Upstream *upstream = m_upstreams[index].get();
        standStill(m_options.longestEndStandstill, [upstream](bool frozen) { upstream->setFrozen(frozen); });
    }
}

void Soak::standStill(milliseconds longest, const std::function<void(bool)> &freeze)
{
    const bool isCalm = m_stage != Stage::Faults;
    if (m_stage == Stage::Stopping || (isCalm && longest > s_longestCalmStandstill)) {
        return;
    }
    freeze(true);
    const milliseconds duration(1 + m_random() % static_cast<std::uint64_t>(longest.count()));
    const auto end = std::make_shared<boost::asio::steady_timer>(m_context, duration);
    end->async_wait([end, freeze](const boost::system::error_code &) { freeze(false); });
}

void Soak::scheduleStandstill(boost::asio::steady_timer &timer, double perSecond, void (Soak::*handler)())
{
    if (perSecond <= 0 || m_stage == Stage::Stopping) {
        return;
    }
    std::exponential_distribution<double> pause(perSecond);
    timer.expires_after(
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(pause(m_random))));
    timer.async_wait([this, handler](const boost::system::error_code &error) {
        if (!error) {
            (this->*handler)();
        }
    });
}

void Soak::changeRoute(unsigned number)
{
    const Endpoint route = changingRoute(number);
    if (m_operator.hasRoute(route)) {
        m_callers.setServed(route, false);
    }
    if (!m_operator.changeRoute(route)) {
        return;
    }
    after(Bounds().configurationApply, [this, route] { m_callers.setServed(route, m_operator.hasRoute(route)); });
}

std::vector<std::string> Soak::upstreamsIn(const std::string &domain) const
{
    std::vector<std::string> names;
    for (const auto &upstream : m_upstreams) {
        if (upstream->settings().failureDomain == domain) {
            names.push_back(upstream->settings().name);
        }
    }
    return names;
}

std::vector<std::string> Soak::processes() const
{
    std::vector<std::string> names = m_balancers;
    names.insert(names.end(), m_agents.begin(), m_agents.end());
    return names;
}

std::vector<std::string> Soak::machines() const
{
    std::vector<std::string> names = processes();
    for (const std::string &agent : m_agents) {
        names.push_back("upstream" + agent.substr(agent.find('-')));
    }
    return names;
}

Upstream *Soak::upstreamOf(const std::string &name)
{
    for (const auto &upstream : m_upstreams) {
        if (upstream->settings().name == name) {
            return upstream.get();
        }
    }
    return nullptr;
}

bool Soak::reserve(const std::vector<std::string> &machines)
{
    const bool isTaken =
        std::ranges::any_of(machines, [this](const std::string &machine) { return m_reserved.contains(machine); });
    if (isTaken) {
        ++m_skippedFaults;
        return false;
    }
    m_reserved.insert(machines.begin(), machines.end());
    return true;
}

void Soak::release(const std::vector<std::string> &machines)
{
    for (const std::string &machine : machines) {
        m_reserved.erase(machine);
    }
}

void Soak::after(milliseconds delay, std::function<void()> action)
{
    ++m_pendingActions;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, action = std::move(action)](const boost::system::error_code &) {
        --m_pendingActions;
        action();
    });
}

void Soak::note(const std::string &text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt);
    m_notes.push_back(std::to_string(at.count()) + " ms: " + text);
    std::cout << m_notes.back() << std::endl;
}

void Soak::failToStart(const std::string &machine)
{
    m_check.violated(Promise::Process, Clock::now(), machine + " could not be started");
}

} // namespace samphireswitch::soak
