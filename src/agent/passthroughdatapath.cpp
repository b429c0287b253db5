#include "agent/passthroughdatapath.h"

#include "agent/datagramreceiver.h"
#include "agent/datagramsender.h"
#include "agent/decisionlog.h"
#include "agent/parkedpackets.h"
#include "base/datagramsocket.h"
#include "base/published.h"
#include "base/socketaddress.h"
#include "platform/packetformat.h"
#include "protocol/datagramcodec.h"
#include "routing/unacknowledgedsearches.h"
#include "telemetry/logging.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <mutex>
#include <optional>

namespace samphireswitch::agent {

namespace {

using passthrough::Cause;
using passthrough::Decision;

// The upstream sends about one report a second.
constexpr std::size_t s_reportQueueCapacity = 64;
// Longest wait of an idle packet path before it publishes its status and applies pending changes. Packets, reports and
// a request to stop end the wait immediately.
constexpr std::chrono::milliseconds s_idleWait {100};
constexpr std::chrono::milliseconds s_statusInterval {100};
constexpr std::chrono::seconds s_expiryInterval {1};
// Holds a burst of packets that arrives while the thread is busy. The kernel may grant a smaller buffer.
constexpr int s_socketBufferBytes = 4 << 20;
// Buffer size in bytes. The largest valid packet has a header and 1,200 bytes of data.
constexpr std::size_t s_largestPacket = 2048;

} // namespace

class PassthroughDataPath::Private
{
public:
    Private(const PassthroughDataSettings &dataSettings, telemetry::EventLog &eventLog, WakeSignal &runsSignal)
        : settings(dataSettings)
        , events(eventLog)
        , runsChanged(runsSignal)
        , admission(dataSettings.admission, Clock::now())
        , log(admission, eventLog, dataSettings.host)
    {
    }

    ~Private()
    {
        for (const int descriptor : {dataSocket, outboundSocket, upstreamSocket, wakeDescriptor}) {
            if (descriptor >= 0) {
                close(descriptor);
            }
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Result<void> open();
    void runOnce();
    void notify() const;
    void applyPendingChanges(TimePoint now);
    void receiveEnvelopes(TimePoint now);
    void receiveUpstreamPackets(TimePoint now);
    void processEnvelope(std::span<const std::byte> datagram, TimePoint now);
    void processUpstreamPacket(std::span<const std::byte> datagram, TimePoint now);
    void perform(const Decision &decision, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::DeliverToUpstream &action, std::span<const std::byte> packet, TimePoint now);
    /**
     * Sends @p packet to the upstream and returns whether the system reports that no process listens at its address. A
     * refusal is noticed at once only if @p checksRefusal is set, otherwise with the next packet.
     */
    bool isRefused(std::span<const std::byte> packet, bool checksRefusal);
    void perform(const passthrough::ForwardToCaller &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::PassToAgent &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::ReturnSearch &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::EndSearch &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::RefuseFirstPacket &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::ResetCaller &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::DropPacket &action, std::span<const std::byte> packet, TimePoint now);
    void perform(const passthrough::HoldPacket &action, std::span<const std::byte> packet, TimePoint now);
    void releaseHeldPackets(TimePoint now);
    /** Handles the messages about the owners of flows. Returns false if @p message is of another kind. */
    bool processLocationMessage(const protocol::Message &message, TimePoint now);
    void sendLocationMessages(const std::vector<passthrough::LocationMessage> &messages);
    /** Sends each searched packet that no agent acknowledged in time to the next agent of its chain. */
    void continueExpiredSearches(TimePoint now);
    /** Continues a search with the next agent because the current one does not acknowledge packets. */
    void skipSilentAgent(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet, TimePoint now);
    void sendEnvelope(const Endpoint &to, const protocol::EnvelopeHeader &header, std::span<const std::byte> packet);
    /**
     * Returns a copy of @p packet as its sender wrote it, without what the agent and the upstream added. The copy is
     * overwritten by the next call and by the next delivery to the upstream.
     */
    std::span<const std::byte> restoredCopy(std::span<const std::byte> packet);
    void acknowledge(const protocol::EnvelopeHeader &header);
    void sendMessage(const Endpoint &to, const protocol::Message &message);
    void sendResets(TimePoint now);
    void sendHint(const passthrough::SendHint &hint);
    void applyReport(const passthrough::UpstreamMessage &message, TimePoint now);
    void maintain(TimePoint now);
    void publishStatus(TimePoint now);
    /** Offers the list of runs that the store should have, if it has changed. */
    void publishRuns();

    PassthroughDataSettings settings;
    telemetry::EventLog &events;
    WakeSignal &runsChanged;
    int dataSocket = -1;
    int outboundSocket = -1;
    int upstreamSocket = -1;
    int wakeDescriptor = -1;
    std::atomic<bool> stopRequested {false};
    std::atomic<bool> stopAcceptingRequested {false};
    std::atomic<std::uint64_t> droppedReports {0};
    boost::lockfree::spsc_queue<passthrough::UpstreamMessage, boost::lockfree::capacity<s_reportQueueCapacity>> reports;
    std::mutex pendingMutex;
    std::optional<std::vector<passthrough::Peer>> pendingPeers;
    std::optional<passthrough::ServedDestinations> pendingServed;
    /** Age of the upstream's departure, of which the directory tells. */
    std::optional<Clock::duration> pendingDeparture;
    std::optional<passthrough::StoredFlows> pendingStored;
    std::optional<passthrough::ServedRuns> pendingEarlierRuns;
    std::optional<passthrough::ServedRuns> pendingRecordedRuns;
    Published<PassthroughDataStatus> publishedStatus;
    Published<passthrough::StoredFlows> publishedFlows;
    Published<passthrough::ServedRuns> publishedRuns;

    // The members below are used only by the thread that calls run().
    passthrough::PassthroughAdmission admission;
    DecisionLog log;
    DatagramReceiver receiver;
    DatagramSender sender;
    ParkedPackets heldPackets;
    routing::UnacknowledgedSearches unacknowledged;
    protocol::DatagramCodec codec;
    std::array<std::byte, s_largestPacket> packetBuffer {};
    std::uint64_t packetsFromBalancers = 0;
    std::uint64_t packetsFromUpstream = 0;
    std::uint64_t malformedDatagrams = 0;
    TimePoint nextStatus;
    TimePoint nextExpiry;
    bool wasAccepting = false;
};

Result<void> PassthroughDataPath::Private::open()
{
    BOOST_LEAF_ASSIGN(dataSocket, openDatagramSocket(settings.admission.dataAddress, s_socketBufferBytes));
    BOOST_LEAF_ASSIGN(outboundSocket, openDatagramSocket(settings.outboundAddress, s_socketBufferBytes));
    BOOST_LEAF_ASSIGN(upstreamSocket, openDatagramSocket(std::nullopt, s_socketBufferBytes));
    // Only a connected UDP socket reports ECONNREFUSED, which shows that no process listens at the upstream's address.
    const sockaddr_in address = toSocketAddress(settings.upstreamAddress);
    if (connect(upstreamSocket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return boost::leaf::new_error(
            socketError("cannot connect a datagram socket to " + toString(settings.upstreamAddress), errno));
    }
    wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (wakeDescriptor < 0) {
        return boost::leaf::new_error(socketError("cannot create an event descriptor", errno));
    }
    sender.setSocket(dataSocket);
    return {};
}

void PassthroughDataPath::Private::runOnce()
{
    std::array<pollfd, 3> sources {
        pollfd {dataSocket, POLLIN, 0}, pollfd {outboundSocket, POLLIN, 0}, pollfd {wakeDescriptor, POLLIN, 0}};
    const TimePoint before = Clock::now();
    const auto wait = std::min(unacknowledged.timeUntilNextExpiry(before, s_idleWait),
                               admission.newFlows().timeUntilRelease(s_idleWait, before));
    poll(sources.data(), sources.size(), static_cast<int>(wait.count()));
    const TimePoint now = Clock::now();
    if (sources[2].revents != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto size = read(wakeDescriptor, &count, sizeof(count));
    }
    applyPendingChanges(now);
    if (sources[1].revents != 0) {
        receiveUpstreamPackets(now);
    }
    if (sources[0].revents != 0) {
        receiveEnvelopes(now);
    }
    continueExpiredSearches(now);
    releaseHeldPackets(now);
    sendResets(now);
    sendLocationMessages(admission.takeLocationMessages(now));
    sender.flush();
    maintain(now);
    publishRuns();
    log.observe();
}

void PassthroughDataPath::Private::notify() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(wakeDescriptor, &one, sizeof(one));
}

void PassthroughDataPath::Private::applyPendingChanges(TimePoint now)
{
    if (stopAcceptingRequested.exchange(false)) {
        admission.stopAccepting();
        sendLocationMessages(admission.handOverLocations());
    }
    reports.consume_all([this, now](const passthrough::UpstreamMessage &message) { applyReport(message, now); });
    const std::lock_guard lock(pendingMutex);
    if (pendingDeparture) {
        admission.upstreamHadLeft(*std::exchange(pendingDeparture, {}), now);
        publishStatus(now);
    }
    if (pendingEarlierRuns) {
        admission.earlierRunsRead(*std::exchange(pendingEarlierRuns, {}), now);
    }
    if (pendingRecordedRuns) {
        admission.runsRecorded(*std::exchange(pendingRecordedRuns, {}));
        publishStatus(now);
    }
    if (pendingStored) {
        admission.storedFlowsRead(*std::exchange(pendingStored, {}), now);
    }
    if (pendingPeers) {
        admission.setPeers(std::move(*pendingPeers));
        pendingPeers.reset();
    }
    if (pendingServed) {
        admission.setServed(std::move(*pendingServed));
        pendingServed.reset();
    }
}

void PassthroughDataPath::Private::receiveEnvelopes(TimePoint now)
{
    std::size_t count = 0;
    // While searches wait for receipts, the socket is read until it is empty: a receipt may be queued behind other
    // datagrams, and its agent must not be treated as silent.
    do {
        count = receiver.receive(dataSocket);
        for (std::size_t index = 0; index < count; ++index) {
            processEnvelope(receiver.datagram(index), now);
        }
    } while (count == DatagramReceiver::s_batchSize && !unacknowledged.empty());
}

void PassthroughDataPath::Private::receiveUpstreamPackets(TimePoint now)
{
    const std::size_t count = receiver.receive(outboundSocket);
    for (std::size_t index = 0; index < count; ++index) {
        processUpstreamPacket(receiver.datagram(index), now);
    }
}

void PassthroughDataPath::Private::processEnvelope(std::span<const std::byte> datagram, TimePoint now)
{
    const auto decoded = codec.decode(datagram);
    if (const auto *receipt = decoded ? std::get_if<protocol::Receipt>(&decoded->message) : nullptr) {
        unacknowledged.acknowledge(receipt->number);
        return;
    }
    if (decoded && processLocationMessage(decoded->message, now)) {
        return;
    }
    const auto *envelope = decoded ? std::get_if<protocol::Envelope>(&decoded->message) : nullptr;
    if (envelope == nullptr) {
        ++malformedDatagrams;
        return;
    }
    const auto packet = platform::parsePacket(envelope->packet);
    if (!packet || envelope->packet.size() > s_largestPacket) {
        ++malformedDatagrams;
        return;
    }
    ++packetsFromBalancers;
    events.observe(decoded->logicalTime);
    acknowledge(envelope->header);
    const Decision decision = admission.packetArrived(envelope->header, *packet, now);
    log.decided(decision, *packet, &envelope->header, now);
    perform(decision, envelope->packet, now);
}

void PassthroughDataPath::Private::processUpstreamPacket(std::span<const std::byte> datagram, TimePoint now)
{
    const auto packet = platform::parsePacket(datagram);
    if (!packet || datagram.size() > s_largestPacket) {
        ++malformedDatagrams;
        return;
    }
    ++packetsFromUpstream;
    const Decision decision = admission.upstreamSent(*packet, now);
    log.decided(decision, *packet, nullptr, now);
    perform(decision, datagram, now);
}

void PassthroughDataPath::Private::perform(const Decision &decision, std::span<const std::byte> packet, TimePoint now)
{
    std::visit([&](const auto &action) { perform(action, packet, now); }, decision.action);
    if (decision.displaced) {
        heldPackets.take(decision.displaced->message.flow);
        telemetry::logEvent(
            telemetry::Severity::Info,
            "first-packet-displaced",
            {{"flow", flow::toString(decision.displaced->message.flow)}, {"copy", decision.displaced->message.copy}});
        perform(*decision.displaced, {}, now);
    }
    if (decision.hint) {
        sendHint(*decision.hint);
    }
}

void PassthroughDataPath::Private::perform(const passthrough::DeliverToUpstream &action,
                                           std::span<const std::byte> packet,
                                           TimePoint now)
{
    const std::span<std::byte> copy = std::span(packetBuffer).first(packet.size());
    std::memcpy(copy.data(), packet.data(), packet.size());
    platform::prepareForUpstream(copy, action.mark);
    if (!isRefused(copy, action.mark != 0)) {
        return;
    }
    admission.upstreamRefused(now);
    telemetry::logEvent(telemetry::Severity::Warning, "upstream-refused", {});
    publishStatus(now);
    const auto segment = platform::parsePacket(packet);
    if (segment && action.mark != 0) {
        const Decision decision = admission.deliveryRefused(action.mark, *segment, now);
        log.decided(decision, *segment, nullptr, now);
        perform(decision, packet, now);
    }
}

bool PassthroughDataPath::Private::isRefused(std::span<const std::byte> packet, bool checksRefusal)
{
    if (send(upstreamSocket, packet.data(), packet.size(), MSG_DONTWAIT) >= 0) {
        // The upstream is on this machine, so that the system knows of a refusal when send() returns.
        return checksRefusal && takePendingError(upstreamSocket) == ECONNREFUSED;
    }
    if (errno != ECONNREFUSED) {
        telemetry::logEvent(telemetry::Severity::Warning, "delivery-failed", {{"reason", std::strerror(errno)}});
        return false;
    }
    // The error concerns an earlier packet, and send() did not send this one, so it is sent again. If it is taken, a
    // process listens now, which tells by the packets that it returns which flows it does not hold.
    if (send(upstreamSocket, packet.data(), packet.size(), MSG_DONTWAIT) < 0) {
        return errno == ECONNREFUSED;
    }
    return takePendingError(upstreamSocket) == ECONNREFUSED;
}

void PassthroughDataPath::Private::perform(const passthrough::ForwardToCaller &action,
                                           std::span<const std::byte> packet,
                                           TimePoint)
{
    // The fabric uses the same port for callers as for this agent.
    sender.append({action.address, settings.admission.dataAddress.port}, packet);
}

void PassthroughDataPath::Private::perform(const passthrough::PassToAgent &action,
                                           std::span<const std::byte> packet,
                                           TimePoint now)
{
    if (action.awaitsReceipt && unacknowledged.isCurrentAgentSilent(action.header, now)) {
        skipSilentAgent(action.header, packet, now);
        return;
    }
    const auto sent = restoredCopy(packet);
    protocol::EnvelopeHeader header = action.header;
    header.sender = settings.admission.dataAddress;
    // The time of the batch (the parameter of this function) may be some time in the past, which would shorten the
    // wait for the receipt.
    header.receipt = action.awaitsReceipt ? unacknowledged.keep(header, sent, Clock::now()) : 0;
    sendEnvelope(header.chain[header.hop].endpoint, header, sent);
}

void PassthroughDataPath::Private::perform(const passthrough::ReturnSearch &action,
                                           std::span<const std::byte> packet,
                                           TimePoint)
{
    protocol::EnvelopeHeader header = action.header;
    header.receipt = 0;
    sendEnvelope(header.origin, header, restoredCopy(packet));
}

void PassthroughDataPath::Private::sendEnvelope(const Endpoint &to,
                                                const protocol::EnvelopeHeader &header,
                                                std::span<const std::byte> packet)
{
    const auto bytes = codec.encodeEnvelope(header, packet, events.logicalTime());
    if (!bytes) {
        ++malformedDatagrams;
        return;
    }
    sender.append(to, *bytes);
}

std::span<const std::byte> PassthroughDataPath::Private::restoredCopy(std::span<const std::byte> packet)
{
    const std::span<std::byte> copy = std::span(packetBuffer).first(packet.size());
    std::memcpy(copy.data(), packet.data(), packet.size());
    platform::restorePacket(copy);
    return copy;
}

void PassthroughDataPath::Private::acknowledge(const protocol::EnvelopeHeader &header)
{
    if (header.receipt == 0) {
        return;
    }
    sendMessage(header.sender, protocol::Receipt {header.receipt});
}

void PassthroughDataPath::Private::continueExpiredSearches(TimePoint now)
{
    for (const auto &[header, packet] : unacknowledged.takeExpired(now)) {
        skipSilentAgent(header, packet, now);
    }
}

void PassthroughDataPath::Private::skipSilentAgent(const protocol::EnvelopeHeader &header,
                                                   std::span<const std::byte> packet,
                                                   TimePoint now)
{
    const auto segment = platform::parsePacket(packet);
    if (!segment) {
        return;
    }
    const Decision decision = admission.agentSilent(header, *segment);
    log.decided(decision, *segment, &header, now);
    perform(decision, packet, now);
}

void PassthroughDataPath::Private::perform(const passthrough::EndSearch &action, std::span<const std::byte>, TimePoint)
{
    sendMessage(action.to, action.message);
}

void PassthroughDataPath::Private::perform(const passthrough::RefuseFirstPacket &action,
                                           std::span<const std::byte>,
                                           TimePoint)
{
    sendMessage(action.to, action.message);
}

void PassthroughDataPath::Private::sendMessage(const Endpoint &to, const protocol::Message &message)
{
    const auto bytes = codec.encode(message, events.logicalTime());
    if (bytes) {
        sender.append(to, *bytes);
    }
}

void PassthroughDataPath::Private::perform(const passthrough::ResetCaller &action,
                                           std::span<const std::byte>,
                                           TimePoint)
{
    const auto bytes = platform::makeReset(action.flow, action.sequenceNumber);
    sender.append({action.flow.source.address, settings.admission.dataAddress.port}, bytes);
}

void PassthroughDataPath::Private::perform(const passthrough::DropPacket &, std::span<const std::byte>, TimePoint)
{
}

void PassthroughDataPath::Private::perform(const passthrough::HoldPacket &action,
                                           std::span<const std::byte> packet,
                                           TimePoint)
{
    if (!heldPackets.store(action.flow, packet)) {
        telemetry::logEvent(telemetry::Severity::Warning, "hold-failed", {{"flow", flow::toString(action.flow)}});
    }
}

void PassthroughDataPath::Private::releaseHeldPackets(TimePoint now)
{
    while (const auto released = admission.releaseHeld(now)) {
        const std::vector<std::byte> packet = heldPackets.take(released->packet.key);
        if (packet.empty()) {
            continue;
        }
        const Decision decision {released->delivery, Cause::Released, released->hint};
        log.decided(decision, released->packet, nullptr, now);
        perform(decision, packet, now);
    }
}

bool PassthroughDataPath::Private::processLocationMessage(const protocol::Message &message, TimePoint now)
{
    if (const auto *records = std::get_if<protocol::LocationRecords>(&message)) {
        admission.locationsReceived(*records, now);
        return true;
    }
    if (const auto *request = std::get_if<protocol::LocationRequest>(&message)) {
        sendLocationMessages(admission.locationsRequested(*request));
        return true;
    }
    return false;
}

void PassthroughDataPath::Private::sendLocationMessages(const std::vector<passthrough::LocationMessage> &messages)
{
    for (const passthrough::LocationMessage &message : messages) {
        std::visit([&](const auto &kind) { sendMessage(message.to, kind); }, message.message);
    }
}

void PassthroughDataPath::Private::sendResets(TimePoint now)
{
    const auto resets = admission.takeResets();
    if (!resets.empty()) {
        telemetry::logEvent(telemetry::Severity::Warning, "flows-lost", {{"flows", resets.size()}});
        log.flowsLost(resets, now);
    }
    for (const passthrough::ResetCaller &reset : resets) {
        perform(reset, {}, now);
    }
}

void PassthroughDataPath::Private::sendHint(const passthrough::SendHint &hint)
{
    sendMessage(hint.to, hint.hint);
}

void PassthroughDataPath::Private::applyReport(const passthrough::UpstreamMessage &message, TimePoint now)
{
    const auto outcome = admission.upstreamReported(message, now);
    if (outcome == passthrough::RegistrationOutcome::NewRun) {
        // A pending error belongs to a packet that the previous run refused. Reported with the next packet, the error
        // would make the new run look as if it had ended.
        takePendingError(upstreamSocket);
    }
    log.reported(outcome, now);
    publishStatus(now);
}

void PassthroughDataPath::Private::maintain(TimePoint now)
{
    if (now >= nextExpiry) {
        nextExpiry = now + s_expiryInterval;
        admission.expire(now);
        // The admission drops held packets that expire without saying so.
        heldPackets.retain([this](const flow::FlowKey &key) { return admission.held().contains(key); });
        publishedFlows.publish(std::make_shared<passthrough::StoredFlows>(admission.flowsToStore(now)));
    }
    if (now >= nextStatus) {
        publishStatus(now);
    }
}

void PassthroughDataPath::Private::publishStatus(TimePoint now)
{
    nextStatus = now + s_statusInterval;
    auto status = std::make_shared<PassthroughDataStatus>(statusOf(admission, now));
    status->packetsFromBalancers = packetsFromBalancers;
    status->packetsFromUpstream = packetsFromUpstream;
    status->malformedDatagrams = malformedDatagrams;
    status->droppedDatagrams = sender.droppedDatagrams();
    status->droppedReports = droppedReports;
    if (status->accepting != wasAccepting) {
        wasAccepting = status->accepting;
        telemetry::logEvent(telemetry::Severity::Info, "accepting-changed", {{"accepting", wasAccepting}});
    }
    publishedStatus.publish(std::move(status));
}

void PassthroughDataPath::Private::publishRuns()
{
    auto list = admission.runsToRecord();
    if (!list || *list == *publishedRuns.current()) {
        return;
    }
    publishedRuns.publish(std::make_shared<passthrough::ServedRuns>(std::move(*list)));
    runsChanged.notify();
}

PassthroughDataPath::PassthroughDataPath(const PassthroughDataSettings &settings,
                                         telemetry::EventLog &events,
                                         WakeSignal &runsChanged)
    : m_d(std::make_unique<Private>(settings, events, runsChanged))
{
}

PassthroughDataPath::~PassthroughDataPath() = default;

Result<void> PassthroughDataPath::open()
{
    return m_d->open();
}

void PassthroughDataPath::run()
{
    while (!m_d->stopRequested) {
        m_d->runOnce();
    }
    // Passes on the records that arrived after the first hand-over, and those that it gave to agents that stop as well.
    m_d->sendLocationMessages(m_d->admission.handOverLocations());
    m_d->sender.flush();
}

void PassthroughDataPath::requestStop()
{
    m_d->stopRequested = true;
    m_d->notify();
}

bool PassthroughDataPath::report(const passthrough::UpstreamMessage &message)
{
    if (!m_d->reports.push(message)) {
        ++m_d->droppedReports;
        return false;
    }
    m_d->notify();
    return true;
}

void PassthroughDataPath::setPeers(std::vector<passthrough::Peer> peers)
{
    const std::lock_guard lock(m_d->pendingMutex);
    m_d->pendingPeers = std::move(peers);
}

void PassthroughDataPath::setServed(passthrough::ServedDestinations served)
{
    const std::lock_guard lock(m_d->pendingMutex);
    m_d->pendingServed = std::move(served);
}

void PassthroughDataPath::upstreamHadLeft(Clock::duration age)
{
    {
        const std::lock_guard lock(m_d->pendingMutex);
        m_d->pendingDeparture = age;
    }
    m_d->notify();
}

void PassthroughDataPath::storedFlowsRead(passthrough::StoredFlows stored)
{
    {
        const std::lock_guard lock(m_d->pendingMutex);
        m_d->pendingStored = std::move(stored);
    }
    m_d->notify();
}

void PassthroughDataPath::earlierRunsRead(passthrough::ServedRuns earlier)
{
    {
        const std::lock_guard lock(m_d->pendingMutex);
        m_d->pendingEarlierRuns = std::move(earlier);
    }
    m_d->notify();
}

void PassthroughDataPath::runsRecorded(passthrough::ServedRuns recorded)
{
    {
        const std::lock_guard lock(m_d->pendingMutex);
        m_d->pendingRecordedRuns = std::move(recorded);
    }
    m_d->notify();
}

std::shared_ptr<const passthrough::ServedRuns> PassthroughDataPath::runsToRecord() const
{
    return m_d->publishedRuns.current();
}

std::shared_ptr<const passthrough::StoredFlows> PassthroughDataPath::openFlows() const
{
    return m_d->publishedFlows.current();
}

void PassthroughDataPath::stopAccepting()
{
    m_d->stopAcceptingRequested = true;
    m_d->notify();
}

std::shared_ptr<const PassthroughDataStatus> PassthroughDataPath::status() const
{
    return m_d->publishedStatus.current();
}

} // namespace samphireswitch::agent
