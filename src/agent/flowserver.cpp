#include "agent/flowserver.h"

#include "agent/resetpacket.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <variant>

namespace samphireswitch::agent {

namespace {

/** Size of the buffer for reads from an upstream. One write to the TCP stack takes at most 65,535 bytes. */
constexpr std::size_t s_bufferSize = 65536;

/**
 * When more relays than this wait for a timeout, a flow that reaches TIME-WAIT is ended at once instead of being kept
 * to answer retransmissions.
 */
constexpr std::size_t s_maximumLingering = 8192;

trace::RandomSeed makeSeed()
{
    std::random_device device;
    trace::RandomSeed words {};
    std::generate(words.begin(), words.end(), std::ref(device));
    return words;
}

admission::PacketArrived toEvent(const protocol::EnvelopeHeader &header, const flow::PacketView &packet)
{
    admission::PacketArrived event;
    event.header = header;
    event.key = packet.key();
    event.firstPacket = packet.isFirstPacket();
    event.reset = packet.isRst();
    event.hasAcknowledgement = packet.isAck();
    event.sequence = packet.sequenceNumber();
    event.acknowledgement = packet.acknowledgementNumber();
    return event;
}

} // namespace

FlowServer::FlowServer(const AgentDataSettings &settings,
                       telemetry::EventLog &log,
                       boost::asio::io_context &io,
                       DatagramSender &sender,
                       std::function<void()> wake)
    : m_settings(settings)
    , m_self {AgentId::fromHostName(settings.host), settings.dataAddress}
    , m_log(log)
    , m_sender(sender)
    , m_wake(std::move(wake))
    , m_events(log, settings.service, settings.host)
    , m_buffer(s_bufferSize)
    , m_context {io,
                 settings.upstreamAddress,
                 m_retries,
                 m_events,
                 m_reports,
                 [this](FlowRelay &relay) {
                     m_relaysToAdvance.push_back(&relay);
                     m_wake();
                 },
                 [this](FlowRelay &relay) { m_watched.insert(&relay); },
                 m_buffer}
    , m_seed(makeSeed())
    , m_admission(settings.admission, m_self, trace::makeRandomEngine(m_seed))
    , m_stack([this](std::span<std::byte> packet) { sendToCaller(packet); })
{
    if (!settings.traceFile.empty()) {
        trace::TraceHeader header;
        header.self = m_self;
        header.seed = m_seed;
        header.settings = settings.admission;
        m_recorder = std::make_unique<trace::TraceRecorder>(settings.traceFile, header, Clock::now());
    }
}

FlowServer::~FlowServer() = default;

bool FlowServer::receive(const protocol::Envelope &envelope, TimePoint now)
{
    const Result<flow::PacketView> packet = flow::PacketView::parse(envelope.packet);
    if (!packet) {
        return false;
    }
    ++m_packetsIn;
    if (deliverToLingering(*packet)) {
        return true;
    }
    perform(decide(toEvent(envelope.header, *packet), now), &*packet, now);
    // Pass events on now: admission has to know the sequence number of a SYN-ACK before the next packet of the flow
    // arrives.
    handleReports(now);
    return true;
}

void FlowServer::handle(const admission::Event &event, TimePoint now)
{
    if (const auto *changed = std::get_if<admission::ServiceTermsChanged>(&event)) {
        applyTerms(changed->terms);
    }
    perform(decide(event, now), nullptr, now);
    // m_drained is cleared only when draining has ended. A host that is set to active may still be draining, because
    // its agent was told to stop.
    m_drained = m_drained && m_admission.isDraining();
}

void FlowServer::processPendingWork(TimePoint now)
{
    handleReports(now);
    while (!m_relaysToAdvance.empty()) {
        const std::vector<FlowRelay *> ready = std::exchange(m_relaysToAdvance, {});
        for (FlowRelay *const relay : ready) {
            relay->advance(now);
            if (relay->isLingering() && m_watched.size() > s_maximumLingering) {
                relay->endTimeWait();
            }
            if (relay->isFinished()) {
                retire(*relay);
            }
        }
        handleReports(now);
    }
    m_retired.clear();
}

void FlowServer::tick(TimePoint now)
{
    m_stack.tick();
    processPendingWork(now);
}

void FlowServer::expire(TimePoint now)
{
    std::erase_if(m_watched, [now](FlowRelay *relay) {
        relay->expire(now);
        return !relay->isWaiting();
    });
    processPendingWork(now);
}

std::optional<TimePoint> FlowServer::nextTimer() const
{
    return m_admission.nextTimer();
}

bool FlowServer::hasConnections() const
{
    return !m_relays.empty();
}

AgentDataStatus FlowServer::status() const
{
    AgentDataStatus status;
    status.counters = m_admission.counters();
    status.busySlots = m_admission.busySlots();
    status.effectiveSlots = m_admission.effectiveSlots();
    status.feedsHeld = m_admission.feedsHeld();
    status.connectionsHeld = m_admission.connectionsHeld();
    status.parkedPackets = m_admission.parkedPackets();
    status.draining = m_admission.isDraining();
    status.drained = m_drained;
    status.ejected = m_admission.isEjected();
    status.droppedParked = m_droppedParked;
    status.droppedDatagrams = m_sender.droppedDatagrams();
    status.packetsIn = m_packetsIn;
    status.packetsOut = m_packetsOut;
    if (status.draining) {
        status.ownedFlows = m_admission.ownedFlows();
    }
    return status;
}

admission::Actions FlowServer::decide(const admission::Event &event, TimePoint now)
{
    admission::Actions actions = m_admission.handle(event, now);
    if (m_recorder) {
        m_recorder->record(event, actions, now);
    }
    return actions;
}

void FlowServer::perform(const admission::Actions &actions, const flow::PacketView *packet, TimePoint now)
{
    for (const admission::Action &action : actions) {
        std::visit([&](const auto &alternative) { perform(alternative, packet, now); }, action);
    }
}

void FlowServer::perform(const admission::DeliverPacket &action, const flow::PacketView *packet, TimePoint)
{
    FlowRelay *const relay = find(action.key);
    if (relay != nullptr && packet != nullptr) {
        relay->deliver(m_stack, packet->bytes());
    }
}

void FlowServer::perform(const admission::AcceptFlow &action, const flow::PacketView *packet, TimePoint)
{
    if (packet != nullptr) {
        acceptFlow(action.key, action.sequenceOffset, packet->bytes());
    }
}

void FlowServer::perform(const admission::PassPacket &action, const flow::PacketView *packet, TimePoint)
{
    if (packet == nullptr) {
        return;
    }
    if (packet->isFirstPacket()) {
        m_events.record("flow-passed", packet->key());
    }
    sendEnvelope(action.header, packet->bytes());
}

void FlowServer::perform(const admission::ParkPacket &action, const flow::PacketView *packet, TimePoint)
{
    if (packet == nullptr) {
        return;
    }
    if (!m_parked.store(action.key, packet->bytes())) {
        ++m_droppedParked;
    }
    m_events.record("flow-parked", action.key);
}

void FlowServer::perform(const admission::AcceptParked &action, const flow::PacketView *, TimePoint)
{
    acceptFlow(action.key, action.sequenceOffset, m_parked.take(action.key));
}

void FlowServer::perform(const admission::HandOverParked &action, const flow::PacketView *, TimePoint)
{
    const std::vector<std::byte> packet = m_parked.take(action.key);
    if (packet.empty()) {
        return;
    }
    m_events.record("flow-passed", action.key, "handed over");
    sendEnvelope(action.header, packet);
}

void FlowServer::perform(const admission::RefusePacket &action, const flow::PacketView *packet, TimePoint)
{
    if (packet == nullptr) {
        return;
    }
    m_events.record("flow-refused", action.key);
    sendReset(packet->bytes());
}

void FlowServer::perform(const admission::RefuseParked &action, const flow::PacketView *, TimePoint)
{
    m_events.record("flow-refused", action.key, "waited too long");
    sendReset(m_parked.take(action.key));
}

void FlowServer::perform(const admission::DropParked &action, const flow::PacketView *, TimePoint)
{
    m_parked.take(action.key);
}

void FlowServer::perform(const admission::ResetUnowned &action, const flow::PacketView *packet, TimePoint)
{
    if (packet == nullptr) {
        return;
    }
    m_events.record("flow-reset", action.key, "no agent owns the flow");
    sendReset(packet->bytes());
}

void FlowServer::perform(const admission::DropPacket &, const flow::PacketView *, TimePoint)
{
    // Nothing to do; admission counts dropped packets.
}

void FlowServer::perform(const admission::CedeFlow &action, const flow::PacketView *, TimePoint)
{
    FlowRelay *const relay = find(action.key);
    if (relay == nullptr) {
        return;
    }
    m_events.record("flow-ceded", action.key);
    relay->cede();
    retire(*relay);
}

void FlowServer::perform(const admission::SendHint &action, const flow::PacketView *, TimePoint)
{
    sendMessage(action.origin, protocol::OwnerHint {action.key, m_self, m_generation});
}

void FlowServer::perform(const admission::OpenUpstream &action, const flow::PacketView *, TimePoint now)
{
    if (FlowRelay *const relay = find(action.key)) {
        relay->openUpstream(now);
    }
}

void FlowServer::perform(const admission::SendToAgent &action, const flow::PacketView *, TimePoint)
{
    std::visit([&](const auto &message) { sendMessage(action.agent.endpoint, message); }, action.message);
}

void FlowServer::perform(const admission::ReportDrained &, const flow::PacketView *, TimePoint)
{
    m_drained = true;
    m_events.record("drained");
}

bool FlowServer::deliverToLingering(const flow::PacketView &packet)
{
    FlowRelay *const relay = find(packet.key());
    if (relay == nullptr || !relay->isLingering()) {
        return false;
    }
    if (!packet.isFirstPacket()) {
        relay->deliver(m_stack, packet.bytes());
        return true;
    }
    // The caller reuses the port for a new connection, so end the old flow and let admission decide on the packet.
    relay->endTimeWait();
    retire(*relay);
    return false;
}

void FlowServer::applyTerms(const admission::ServiceTerms &terms)
{
    m_generation = std::max(m_generation, terms.generation);
    m_events.setGeneration(m_generation);
    for (const std::uint16_t port : {terms.requestPort, terms.feedPort}) {
        if (port != 0 && terms.address != 0) {
            m_stack.listen({terms.address, port});
        }
    }
}

void FlowServer::acceptFlow(const flow::FlowKey &key, std::uint32_t sequenceOffset, std::span<const std::byte> packet)
{
    m_events.record("flow-accepted", key);
    auto relay = std::make_unique<FlowRelay>(key, sequenceOffset, m_context);
    FlowRelay &added = *relay;
    // Insert the relay before calling accept(): the stack sends the SYN-ACK before accept() returns, and sendToCaller()
    // drops packets of flows that are not in m_relays.
    if (FlowRelay *const replaced = find(key)) {
        replaced->cede();
        retire(*replaced);
    }
    m_relays.emplace(key, std::move(relay));
    added.accept(m_stack, packet);
}

void FlowServer::sendEnvelope(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet)
{
    const auto bytes = m_codec.encodeEnvelope(header, packet, m_log.logicalTime());
    if (bytes && header.hop < header.chain.size()) {
        m_sender.append(header.chain[header.hop].endpoint, *bytes);
    }
}

void FlowServer::sendMessage(const Endpoint &destination, const protocol::Message &message)
{
    if (const auto bytes = m_codec.encode(message, m_log.logicalTime())) {
        m_sender.append(destination, *bytes);
    }
}

void FlowServer::sendReset(std::span<const std::byte> packet)
{
    const Result<flow::PacketView> view = flow::PacketView::parse(packet);
    // A reset must not be answered with a reset (RFC 9293).
    if (!view || view->isRst()) {
        return;
    }
    ++m_packetsOut;
    m_sender.append(m_settings.fabricAddress, makeResetPacket(*view));
}

void FlowServer::sendToCaller(std::span<std::byte> packet)
{
    const Result<flow::PacketView> view = flow::PacketView::parse(packet);
    if (!view) {
        return;
    }
    FlowRelay *const relay = find({view->key().destination, view->key().source});
    if (relay == nullptr || !relay->translateOutgoing(packet)) {
        return;
    }
    ++m_packetsOut;
    m_sender.append(m_settings.fabricAddress, packet);
}

void FlowServer::handleReports(TimePoint now)
{
    while (!m_reports.empty()) {
        const admission::Event event = std::move(m_reports.front());
        m_reports.pop_front();
        perform(decide(event, now), nullptr, now);
    }
}

FlowRelay *FlowServer::find(const flow::FlowKey &key) const
{
    const auto found = m_relays.find(key);
    return found == m_relays.end() ? nullptr : found->second.get();
}

void FlowServer::retire(const FlowRelay &relay)
{
    const auto found = m_relays.find(relay.key());
    if (found == m_relays.end() || found->second.get() != &relay) {
        return;
    }
    m_watched.erase(found->second.get());
    m_retired.push_back(std::move(found->second));
    m_relays.erase(found);
}

} // namespace samphireswitch::agent
