#include "bench/experimentloop.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::bench {

using namespace admission;

namespace {

constexpr std::uint32_t s_address = 0x0a140001;
constexpr std::uint16_t s_requestPort = 8001;
constexpr std::uint16_t s_feedPort = 8002;
constexpr std::uint32_t s_callerNetwork = 0x0b000000;
constexpr std::uint32_t s_portsPerCaller = 50000;
constexpr std::uint32_t s_firstPort = 10000;
constexpr std::uint32_t s_callerSequence = 1000;
constexpr std::uint32_t s_initialSequence = 6510;
constexpr std::uint32_t s_agentAddress = 0x7f000001;
constexpr std::chrono::seconds s_retransmission {1};
constexpr std::chrono::milliseconds s_failureTime {1};
constexpr std::chrono::seconds s_membershipDelay {1};
const ServiceId s_service = ServiceId::fromName("experiment");

flow::FlowKey keyOf(std::uint32_t request, bool feed)
{
    return {{s_callerNetwork + request / s_portsPerCaller,
             static_cast<std::uint16_t>(s_firstPort + request % s_portsPerCaller)},
            {s_address, feed ? s_feedPort : s_requestPort}};
}

std::uint32_t requestOf(const flow::FlowKey &key)
{
    return (key.source.address - s_callerNetwork) * s_portsPerCaller + key.source.port - s_firstPort;
}

std::uint32_t hostOf(const protocol::Candidate &candidate)
{
    return static_cast<std::uint32_t>(candidate.agent.value - 1);
}

protocol::Candidate candidateOf(std::uint32_t host)
{
    return {AgentId {std::uint64_t {host} + 1}, {s_agentAddress, static_cast<std::uint16_t>(9000 + host)}};
}

} // namespace

ExperimentLoop::ExperimentLoop(const Deployment &deployment, const std::vector<Request> &requests, std::uint64_t seed)
    : m_deployment(deployment)
    , m_requests(requests)
    , m_random(seed)
    , m_hosts(deployment.shape.hosts)
    , m_callers(requests.size())
{
    const ServiceShape &shape = deployment.shape;
    m_result.outcomes.resize(requests.size());
    m_result.usage = UsageRecorder(shape.hosts);
    for (std::uint32_t host = 0; host < shape.hosts; ++host) {
        m_hosts[host].admission =
            std::make_unique<FlowAdmission>(deployment.settings, candidateOf(host), std::mt19937_64(m_random()));
    }
    for (std::uint32_t index = 0; index < deployment.changes.size(); ++index) {
        const Change &change = deployment.changes[index];
        m_hosts[change.host].member = change.kind != ChangeKind::Join;
        schedule(change.at, StepKind::Change, 0, 0, index);
    }
    for (std::uint32_t host = 0; host < shape.hosts; ++host) {
        handle(host,
               ServiceTermsChanged {{s_service,
                                     s_address,
                                     s_requestPort,
                                     s_feedPort,
                                     shape.slots,
                                     shape.connections,
                                     deployment.deadline,
                                     HostMode::Active,
                                     true,
                                     1}});
    }
    updateMembers();
    if (!requests.empty()) {
        schedule(requests.front().arrival, StepKind::Arrive, 0, 0);
    }
}

RunResult ExperimentLoop::run()
{
    while (!m_steps.empty()) {
        const Step step = m_steps.top();
        m_steps.pop();
        m_now = step.at;
        take(step);
    }
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        updateUsage(host);
    }
    return std::move(m_result);
}

void ExperimentLoop::schedule(TimePoint at,
                              StepKind kind,
                              std::uint32_t host,
                              std::uint32_t request,
                              std::uint32_t detail)
{
    m_steps.push({at, m_order++, kind, host, request, detail});
}

void ExperimentLoop::scheduleEvent(TimePoint at, std::uint32_t host, Event event)
{
    std::uint32_t index = 0;
    if (m_freeEvents.empty()) {
        index = static_cast<std::uint32_t>(m_events.size());
        m_events.push_back(std::move(event));
    } else {
        index = m_freeEvents.back();
        m_freeEvents.pop_back();
        m_events[index] = std::move(event);
    }
    schedule(at, StepKind::AgentEvent, host, 0, index);
}

void ExperimentLoop::take(const Step &step)
{
    switch (step.kind) {
    case StepKind::Arrive:
        if (step.request + 1 < m_requests.size()) {
            schedule(m_requests[step.request + 1].arrival, StepKind::Arrive, 0, step.request + 1);
        }
        if (!m_requests[step.request].isFeed) {
            schedule(m_now + m_deployment.deadline, StepKind::GiveUp, 0, step.request);
        }
        [[fallthrough]];
    case StepKind::RepeatSyn:
        if (m_callers[step.request].state == CallerState::SynSent) {
            spray(step.request, packetOf(step.request));
            schedule(m_now + s_retransmission, StepKind::RepeatSyn, 0, step.request);
        }
        break;
    case StepKind::GiveUp:
        if (m_callers[step.request].state == CallerState::SynSent) {
            finish(step.request, OutcomeKind::Lost);
        }
        break;
    case StepKind::AgentEvent:
        takeEvent(step);
        break;
    case StepKind::Timer:
        if (m_hosts[step.host].timer == m_now) {
            m_hosts[step.host].timer = TimePoint::max();
            handle(step.host, TimerExpired {});
        }
        break;
    case StepKind::SynAck:
        takeSynAck(step);
        break;
    case StepKind::Refusal:
        if (m_callers[step.request].state == CallerState::SynSent) {
            finish(step.request, OutcomeKind::Refused);
        }
        break;
    case StepKind::Response:
        finish(step.request, static_cast<OutcomeKind>(step.detail));
        break;
    case StepKind::UpstreamDone:
        takeUpstreamDone(step);
        break;
    case StepKind::Change:
        if (step.detail == m_deployment.changes.size()) {
            updateMembers();
        } else {
            applyChange(m_deployment.changes[step.detail]);
        }
        break;
    }
}

void ExperimentLoop::takeEvent(const Step &step)
{
    const Event event = std::move(m_events[step.detail]);
    m_freeEvents.push_back(step.detail);
    handle(step.host, event);
}

void ExperimentLoop::takeSynAck(const Step &step)
{
    Caller &caller = m_callers[step.request];
    PacketArrived packet = packetOf(step.request);
    packet.firstPacket = false;
    packet.sequence = s_callerSequence + 1;
    if (caller.state == CallerState::Done) {
        packet.reset = true;
        spray(step.request, packet);
        return;
    }
    if (caller.state == CallerState::SynSent) {
        caller.state = CallerState::Established;
        caller.acknowledgement = step.detail + 1;
    }
    packet.hasAcknowledgement = true;
    packet.acknowledgement = caller.acknowledgement;
    spray(step.request, packet);
}

void ExperimentLoop::takeUpstreamDone(const Step &step)
{
    const Host &host = m_hosts[step.host];
    const flow::FlowKey key = keyOf(step.request, m_requests[step.request].isFeed);
    if (!host.failsFast) {
        handle(step.host, AnswerStarted {key});
    }
    handle(step.host, UpstreamFinished {key, host.failsFast ? UpstreamOutcome::NoAnswer : UpstreamOutcome::Answered});
    const bool failed = host.failsFast || host.answersErrors;
    const TimePoint seen = m_now + m_deployment.shape.callerDelay;
    schedule(seen,
             StepKind::Response,
             0,
             step.request,
             static_cast<std::uint32_t>(failed ? OutcomeKind::Failed : OutcomeKind::Answered));
    scheduleEvent(seen + m_deployment.shape.callerDelay + m_deployment.shape.hopDelay, step.host, FlowEnded {key});
}

void ExperimentLoop::applyChange(const Change &change)
{
    Host &host = m_hosts[change.host];
    switch (change.kind) {
    case ChangeKind::Join:
        host.member = true;
        updateMembers();
        break;
    case ChangeKind::Drain:
        host.draining = true;
        handle(change.host, DrainOrdered {});
        schedule(
            m_now + s_membershipDelay, StepKind::Change, 0, 0, static_cast<std::uint32_t>(m_deployment.changes.size()));
        break;
    case ChangeKind::FailFast:
        host.failsFast = true;
        break;
    case ChangeKind::AnswerErrors:
        host.answersErrors = true;
        break;
    }
}

void ExperimentLoop::updateMembers()
{
    m_members.clear();
    for (const bool draining : {false, true}) {
        for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].member && m_hosts[host].draining == draining) {
                m_members.push_back(candidateOf(host));
            }
        }
        if (!draining) {
            m_eligible = m_members.size();
        }
    }
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        handle(host, MembersChanged {m_members, m_eligible});
    }
}

void ExperimentLoop::finish(std::uint32_t request, OutcomeKind kind)
{
    if (m_callers[request].state == CallerState::Done) {
        return;
    }
    m_callers[request].state = CallerState::Done;
    m_result.outcomes[request].kind = kind;
    m_result.outcomes[request].end = m_now;
}

void ExperimentLoop::spray(std::uint32_t request, PacketArrived packet)
{
    const std::size_t balancer = m_random() % s_balancers;
    packet.header.service = s_service;
    packet.header.origin = {s_agentAddress, static_cast<std::uint16_t>(7000 + balancer)};
    packet.header.chain = chainFor(packet.key, packet.firstPacket);
    packet.header.eligible = static_cast<std::uint8_t>(std::min(m_eligible, packet.header.chain.size()));
    const std::uint16_t hint = m_callers[request].hints[balancer];
    if (!packet.firstPacket && hint != 0) {
        packet.header.chain = {candidateOf(hint - 1U)};
        packet.header.eligible = 1;
    }
    const TimePoint arrival = m_now + m_deployment.shape.callerDelay + m_deployment.shape.hopDelay;
    scheduleEvent(arrival, hostOf(packet.header.chain.front()), packet);
}

PacketArrived ExperimentLoop::packetOf(std::uint32_t request) const
{
    PacketArrived packet;
    packet.key = keyOf(request, m_requests[request].isFeed);
    packet.firstPacket = true;
    packet.sequence = s_callerSequence;
    return packet;
}

protocol::CandidateChain ExperimentLoop::chainFor(const flow::FlowKey &key, bool firstPacket) const
{
    const std::size_t count = firstPacket ? m_eligible : m_members.size();
    protocol::CandidateChain chain;
    for (std::size_t index = 0; index < std::min(count, chain.capacity()); ++index) {
        chain.push_back(m_members[index]);
    }
    const std::uint64_t hash = flow::hashFlow(key, 0);
    const auto score = [hash](const protocol::Candidate &candidate) { return mixHash(candidate.agent.value, hash); };
    const auto last = chain.begin() + static_cast<std::ptrdiff_t>(std::min(m_eligible, chain.size()));
    std::sort(chain.begin(), last, [&score](const protocol::Candidate &left, const protocol::Candidate &right) {
        return score(left) > score(right);
    });
    return chain;
}

void ExperimentLoop::sendEnvelope(const PacketArrived &packet)
{
    ++m_result.envelopes;
    scheduleEvent(m_now + m_deployment.shape.hopDelay, hostOf(packet.header.chain[packet.header.hop]), packet);
}

void ExperimentLoop::handle(std::uint32_t index, const Event &event)
{
    Host &host = m_hosts[index];
    const auto before = Clock::now();
    const Actions actions = host.admission->handle(event, m_now);
    m_result.decisionTime += Clock::now() - before;
    ++m_result.decisions;
    const Packet packet = std::get_if<PacketArrived>(&event);
    for (const Action &action : actions) {
        std::visit([this, index, packet](const auto &alternative) { perform(index, packet, alternative); }, action);
    }
    updateUsage(index);
    const auto timer = host.admission->nextTimer();
    if (timer && *timer < host.timer) {
        host.timer = std::max(*timer, m_now);
        schedule(host.timer, StepKind::Timer, index, 0);
    }
}

void ExperimentLoop::updateUsage(std::uint32_t index)
{
    Host &host = m_hosts[index];
    if (host.usageSince < m_now) {
        m_result.usage.addBusy(index, host.usageSince, m_now, host.busy);
        m_result.usage.addFeed(index, host.usageSince, m_now, host.feeds);
    }
    host.usageSince = m_now;
    host.busy = host.admission->busySlots();
    host.feeds = host.admission->feedsHeld();
}

void ExperimentLoop::accepted(std::uint32_t host, const flow::FlowKey &key, std::uint32_t offset)
{
    m_result.acceptedWhileDraining += m_hosts[host].draining ? 1 : 0;
    scheduleEvent(m_now, host, HandshakeOffered {key, s_initialSequence});
    schedule(
        m_now + m_deployment.shape.callerDelay, StepKind::SynAck, host, requestOf(key), offset + s_initialSequence);
}

void ExperimentLoop::perform(std::uint32_t host, Packet packet, const DeliverPacket &action)
{
    Caller &caller = m_callers[requestOf(action.key)];
    if (packet->reset) {
        scheduleEvent(m_now, host, FlowEnded {action.key});
    } else if (!packet->firstPacket && !caller.complete) {
        caller.complete = true;
        scheduleEvent(m_now, host, HandshakeCompleted {action.key});
    }
}

void ExperimentLoop::perform(std::uint32_t host, Packet, const AcceptFlow &action)
{
    accepted(host, action.key, action.sequenceOffset);
}

void ExperimentLoop::perform(std::uint32_t, Packet packet, const PassPacket &action)
{
    PacketArrived passed = *packet;
    passed.header = action.header;
    sendEnvelope(passed);
}

void ExperimentLoop::perform(std::uint32_t, Packet, const ParkPacket &)
{
}

void ExperimentLoop::perform(std::uint32_t host, Packet, const AcceptParked &action)
{
    accepted(host, action.key, action.sequenceOffset);
}

void ExperimentLoop::perform(std::uint32_t, Packet, const HandOverParked &action)
{
    PacketArrived packet = packetOf(requestOf(action.key));
    packet.header = action.header;
    sendEnvelope(packet);
}

void ExperimentLoop::perform(std::uint32_t host, Packet, const RefusePacket &action)
{
    schedule(m_now + m_deployment.shape.callerDelay, StepKind::Refusal, host, requestOf(action.key));
}

void ExperimentLoop::perform(std::uint32_t host, Packet, const RefuseParked &action)
{
    schedule(m_now + m_deployment.shape.callerDelay, StepKind::Refusal, host, requestOf(action.key));
}

void ExperimentLoop::perform(std::uint32_t, Packet, const DropParked &)
{
}

void ExperimentLoop::perform(std::uint32_t, Packet, const ResetUnowned &)
{
}

void ExperimentLoop::perform(std::uint32_t, Packet, const DropPacket &)
{
}

void ExperimentLoop::perform(std::uint32_t, Packet, const CedeFlow &)
{
}

void ExperimentLoop::perform(std::uint32_t host, Packet, const SendHint &action)
{
    const std::size_t balancer = action.origin.port - 7000U;
    m_callers[requestOf(action.key)].hints[balancer] = static_cast<std::uint16_t>(host + 1);
}

void ExperimentLoop::perform(std::uint32_t host, Packet, const OpenUpstream &action)
{
    const std::uint32_t request = requestOf(action.key);
    const bool fast = m_hosts[host].failsFast || m_hosts[host].answersErrors;
    m_result.outcomes[request].host = host;
    m_result.outcomes[request].served = m_now;
    schedule(m_now + (fast ? s_failureTime : m_requests[request].service), StepKind::UpstreamDone, host, request);
}

void ExperimentLoop::perform(std::uint32_t, Packet, const SendToAgent &action)
{
    m_result.waitingMessages += std::holds_alternative<protocol::Waiting>(action.message) ? 1 : 0;
    m_result.offers += std::holds_alternative<protocol::SlotOffer>(action.message) ? 1 : 0;
    m_result.declinedOffers += std::holds_alternative<protocol::OfferDeclined>(action.message) ? 1 : 0;
    const auto arrival = m_now + m_deployment.shape.hopDelay;
    std::visit([&](const auto &message) { scheduleEvent(arrival, hostOf(action.agent), message); }, action.message);
}

void ExperimentLoop::perform(std::uint32_t, Packet, const ReportDrained &)
{
    ++m_result.drainReports;
}

} // namespace samphireswitch::bench
