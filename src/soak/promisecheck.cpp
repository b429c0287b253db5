#include "soak/promisecheck.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::soak {

namespace {

// RULES.md: a flow is kept from its upstream if so many of its packets reach others and none its own.
constexpr unsigned s_astrayPackets = 3;
constexpr std::string_view s_upstreamPrefix = "upstream-";
const std::string s_store = "store";
constexpr std::chrono::seconds s_coldWindow {1};

} // namespace

std::string_view promiseName(Promise promise)
{
    switch (promise) {
    case Promise::Mixed:
        return "mixed";
    case Promise::Unasked:
        return "unasked";
    case Promise::RunsOnce:
        return "runs-once";
    case Promise::Route:
        return "route";
    case Promise::Drain:
        return "drain";
    case Promise::Configuration:
        return "configuration";
    case Promise::Evacuation:
        return "evacuation";
    case Promise::SlowStart:
        return "slow-start";
    case Promise::Flow:
        return "flow";
    case Promise::Recovery:
        return "recovery";
    case Promise::Process:
        return "process";
    }
    return "unknown";
}

std::string agentOf(const std::string &upstream)
{
    return "agent-" + upstream.substr(s_upstreamPrefix.size());
}

PromiseCheck::PromiseCheck(const Bounds &bounds)
    : m_bounds(bounds)
{
}

void PromiseCheck::disturbanceBegan(const std::string &machine)
{
    ++m_machines[machine].disturbances;
}

void PromiseCheck::disturbanceEnded(const std::string &machine, TimePoint now)
{
    --m_machines[machine].disturbances;
    m_machines[machine].disturbedUntil = now;
}

void PromiseCheck::stopBegan(const std::string &machine)
{
    ++m_machines[machine].stops;
}

void PromiseCheck::stopEnded(const std::string &machine, TimePoint now)
{
    --m_machines[machine].stops;
    m_machines[machine].stoppedUntil = now;
}

void PromiseCheck::configurationConfirmed(const RoutePools &routes, TimePoint now)
{
    m_versions.push_back({routes, now});
    for (auto &[key, flow] : m_flows) {
        flow.isRouteDropped = flow.isRouteDropped || !isRouted(key.destination);
    }
}

void PromiseCheck::evacuationConfirmed(const std::string &failureDomain, TimePoint now)
{
    m_evacuated.try_emplace(failureDomain, now);
}

void PromiseCheck::evacuationTakenBack(const std::string &failureDomain)
{
    m_evacuated.erase(failureDomain);
}

void PromiseCheck::upstreamStarted(const std::string &upstream, const UpstreamRun &run)
{
    m_running.insert_or_assign(upstream, RunningUpstream {run, {}});
}

void PromiseCheck::drainAcknowledged(const std::string &upstream, TimePoint now)
{
    m_draining.try_emplace(upstream, now);
}

void PromiseCheck::upstreamEnded(const std::string &upstream)
{
    m_draining.erase(upstream);
    m_running.erase(upstream);
    std::erase_if(m_flows, [&upstream](const auto &entry) { return entry.second.upstream == upstream; });
}

void PromiseCheck::packetSent(const flow::FlowKey &key, const std::string &balancer, bool isFirst, TimePoint now)
{
    if (isFirst) {
        Flow &flow = m_flows[key];
        flow.firstPacketAt = now;
        flow.isRouteDropped = flow.isRouteDropped || !isRouted(key.destination);
    }
    const auto found = m_flows.find(key);
    if (found != m_flows.end()) {
        found->second.balancers[balancer] = now;
        found->second.lastPacketAt = now;
    }
}

void PromiseCheck::firstPacketTaken(const flow::FlowKey &key,
                                    const std::string &upstream,
                                    const std::string &pool,
                                    TimePoint now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    checkRoute(key, found->second, pool, now);
    checkEvacuation(key, found->second, upstream, now);
    checkCold(found->second, upstream, now);
    const auto draining = m_draining.find(upstream);
    const bool isLate = draining != m_draining.end() && now - draining->second > m_bounds.drain
        && found->second.firstPacketAt > draining->second;
    if (isLate && isInTouch(agentOf(upstream), now) && balancersAreInTouch(found->second, now)) {
        violated(Promise::Drain, now, upstream + " leaves and took " + flow::toString(key));
    }
}

void PromiseCheck::flowOpened(const flow::FlowKey &key, const std::string &upstream)
{
    const auto found = m_flows.find(key);
    if (found != m_flows.end()) {
        found->second.upstream = upstream;
    }
}

void PromiseCheck::packetArrived(const flow::FlowKey &key, const std::string &upstream, TimePoint now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.upstream.empty()) {
        return;
    }
    Flow &flow = found->second;
    if (flow.upstream == upstream) {
        flow.astray = 0;
        return;
    }
    flow.astraySince = flow.astray == 0 ? now : flow.astraySince;
    flow.astrayAt = upstream;
    ++flow.astray;
    checkStray(key, flow, m_bounds.flow, now);
}

void PromiseCheck::checkStray(const flow::FlowKey &key, Flow &flow, std::chrono::milliseconds limit, TimePoint now)
{
    const bool isKept = flow.astray < s_astrayPackets || now - flow.astraySince < limit;
    if (isKept || !isFlowProtected(flow, agentOf(flow.astrayAt), flow.astraySince, now)) {
        return;
    }
    violated(Promise::Flow,
             now,
             flow::toString(key) + " belongs to " + flow.upstream + ", its packets reach " + flow.astrayAt);
    flow.astray = 0;
}

void PromiseCheck::timePassed(TimePoint now)
{
    for (auto &[key, flow] : m_flows) {
        // A caller that has nothing more to send excuses nothing: the rule counts packets at upstreams only.
        if (!flow.upstream.empty()) {
            checkStray(key, flow, m_bounds.flow + m_bounds.reading, now);
        }
    }
}

void PromiseCheck::flowEnded(const flow::FlowKey &key)
{
    m_flows.erase(key);
}

void PromiseCheck::resetArrived(const flow::FlowKey &key, const std::string &sender, TimePoint now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.upstream.empty()) {
        return;
    }
    if (isFlowProtected(found->second, sender, found->second.lastPacketAt, now)) {
        violated(Promise::Flow,
                 now,
                 sender + " reset " + flow::toString(key) + ", which " + found->second.upstream + " holds");
    }
    m_flows.erase(found);
}

void PromiseCheck::upstreamResetArrived(const flow::FlowKey &key, const std::string &agent, TimePoint now)
{
    const auto found = m_flows.find(key);
    const bool isOfOtherFlow =
        found != m_flows.end() && !found->second.upstream.empty() && agentOf(found->second.upstream) != agent;
    if (isOfOtherFlow && isFlowProtected(found->second, agent, found->second.lastPacketAt, now)) {
        violated(Promise::Flow,
                 now,
                 "the upstream of " + agent + " reset " + flow::toString(key) + ", which " + found->second.upstream
                     + " holds");
    }
}

void PromiseCheck::requestSent(std::uint64_t request)
{
    m_sent.insert(request);
}

void PromiseCheck::requestRan(std::uint64_t request, const std::string &upstream, TimePoint now)
{
    if (!m_sent.contains(request)) {
        violated(Promise::Unasked, now, upstream + " ran a request that nobody sent: " + std::to_string(request));
    }
    const auto [previous, isFirst] = m_ran.try_emplace(request, upstream);
    if (!isFirst) {
        violated(Promise::RunsOnce,
                 now,
                 "request " + std::to_string(request) + " ran at " + previous->second + " and at " + upstream);
    }
}

void PromiseCheck::violated(Promise promise, TimePoint now, std::string text)
{
    m_violations.push_back({promise, now, std::move(text)});
}

const std::vector<Violation> &PromiseCheck::violations() const
{
    return m_violations;
}

bool PromiseCheck::isUndisturbed(const std::string &machine, TimePoint now) const
{
    const auto found = m_machines.find(machine);
    if (found == m_machines.end()) {
        return true;
    }
    const Machine &state = found->second;
    return state.disturbances == 0 && (!state.disturbedUntil || now - *state.disturbedUntil >= m_bounds.contact);
}

bool PromiseCheck::isInTouch(const std::string &machine, TimePoint now) const
{
    const auto found = m_machines.find(machine);
    const bool isStopped = found != m_machines.end()
        && (found->second.stops > 0
            || (found->second.stoppedUntil && now - *found->second.stoppedUntil < m_bounds.contact));
    return !isStopped && isUndisturbed(machine, now) && isUndisturbed(s_store, now);
}

bool PromiseCheck::isAnyDisturbed(TimePoint now) const
{
    return std::ranges::any_of(m_machines, [&](const auto &machine) { return !isUndisturbed(machine.first, now); });
}

bool PromiseCheck::balancersAreInTouch(const Flow &flow, TimePoint now) const
{
    return std::ranges::all_of(flow.balancers, [&](const auto &use) {
        return now - use.second >= m_bounds.contact || isInTouch(use.first, now);
    });
}

bool PromiseCheck::isFlowProtected(const Flow &flow, const std::string &culprit, TimePoint since, TimePoint now) const
{
    if (flow.isRouteDropped || !isUndisturbed(flow.upstream, now)) {
        return false;
    }
    if (!isAnyDisturbed(now)) {
        return true;
    }
    const bool takersAreInTouch = std::ranges::all_of(
        flow.balancers, [&](const auto &use) { return use.second < since || isInTouch(use.first, now); });
    return takersAreInTouch && isInTouch(agentOf(flow.upstream), now) && isInTouch(culprit, now);
}

bool PromiseCheck::isRouted(const Endpoint &address) const
{
    return !m_versions.empty() && m_versions.back().routes.contains(address);
}

void PromiseCheck::checkRoute(const flow::FlowKey &key, const Flow &flow, const std::string &pool, TimePoint now)
{
    bool wasAllowed = false;
    bool isAllowed = false;
    for (std::size_t index = 0; index < m_versions.size(); ++index) {
        const auto route = m_versions[index].routes.find(key.destination);
        const bool allows = route != m_versions[index].routes.end() && route->second == pool;
        wasAllowed = wasAllowed || allows;
        // A version is in force until the next one must be.
        const bool isReplaced = index + 1 < m_versions.size()
            && flow.firstPacketAt - m_versions[index + 1].confirmedAt > m_bounds.configurationApply;
        isAllowed = isAllowed || (allows && !isReplaced);
    }
    if (!wasAllowed) {
        violated(Promise::Route, now, pool + " took " + flow::toString(key) + ", which no configuration allows");
    } else if (!isAllowed && balancersAreInTouch(flow, now)) {
        violated(Promise::Configuration, now, pool + " took " + flow::toString(key) + " by an old configuration");
    }
}

void PromiseCheck::checkEvacuation(const flow::FlowKey &key,
                                   const Flow &flow,
                                   const std::string &upstream,
                                   TimePoint now)
{
    const auto running = m_running.find(upstream);
    if (running == m_running.end()) {
        return;
    }
    const std::string &domain = running->second.run.failureDomain;
    const auto evacuated = m_evacuated.find(domain);
    const bool isLate = evacuated != m_evacuated.end() && now - evacuated->second > m_bounds.evacuation;
    if (isLate && isInTouch(agentOf(upstream), now) && balancersAreInTouch(flow, now)) {
        violated(
            Promise::Evacuation, now, upstream + " in " + domain + ", which is evacuated, took " + flow::toString(key));
    }
}

void PromiseCheck::checkCold(const Flow &flow, const std::string &upstream, TimePoint now)
{
    const auto running = m_running.find(upstream);
    if (running == m_running.end() || running->second.run.coldRequestsPerSecond <= 0
        || now >= running->second.run.coldUntil) {
        return;
    }
    std::deque<TimePoint> &sent = running->second.newFlows;
    sent.push_back(flow.firstPacketAt);
    // RULES.md counts those that were sent and arrived inside the second that ends now.
    std::erase_if(sent, [now](TimePoint time) { return now - time >= s_coldWindow; });
    const double limit = running->second.run.coldRequestsPerSecond * m_bounds.coldFactor + m_bounds.coldSlack;
    if (static_cast<double>(sent.size()) > limit) {
        violated(Promise::SlowStart,
                 now,
                 upstream + " is cold and took " + std::to_string(sent.size()) + " new flows in a second");
        sent.clear();
    }
}

} // namespace samphireswitch::soak
