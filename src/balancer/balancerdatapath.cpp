#include "balancer/balancerdatapath.h"

#include "balancer/callerresets.h"
#include "balancer/flowsizes.h"
#include "balancer/linkqueue.h"
#include "balancer/mailbox.h"
#include "balancer/ownersearches.h"
#include "balancer/packetformat.h"
#include "balancer/packetpathcounters.h"
#include "balancer/packetsocket.h"
#include "balancer/ratelimiter.h"
#include "balancer/receivebatch.h"
#include "balancer/sendbatch.h"
#include "balancer/utilizationmeter.h"
#include "base/datagramsocket.h"
#include "base/published.h"
#include "protocol/datagramcodec.h"
#include "routing/flowrouter.h"
#include "routing/incompletesearches.h"
#include "routing/packetsawaitingowner.h"
#include "telemetry/logging.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/lockfree/spsc_queue.hpp>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <random>
#include <utility>

namespace samphireswitch::balancer {

namespace {

using TablePointer = std::shared_ptr<const routing::RoutingTable>;

// Limits how long the first packet of a batch is delayed by the processing of the others.
constexpr std::size_t s_batchSize = 64;
// Interval at which an idle thread checks for a stop request and a new table; an arriving packet wakes it immediately.
constexpr std::chrono::milliseconds s_idleWait {50};
// Upper limit of the wait for datagrams while searches are pending, so that their timeouts are handled in time.
constexpr std::chrono::milliseconds s_searchWait {10};
// Bulk data that may be sent waits for so long for more, so that the thread does not wake up for each packet.
constexpr std::chrono::milliseconds s_bulkWait {2};
// Recording an event takes a lock and allocates memory, which is too expensive for thousands of new flows per second.
constexpr double s_eventsPerSecond = 200;
constexpr std::size_t s_retiredTableRingSize = 64;
// Metrics are read every few seconds.
constexpr std::chrono::seconds s_searchTimesPublishInterval {1};
constexpr unsigned s_ipv4VersionNibble = 4;

routing::SipHashKey randomKey()
{
    std::random_device device;
    const auto word = [&device] { return (std::uint64_t {device()} << 32U) | device(); };
    return {word(), word()};
}

} // namespace

class BalancerDataPath::Private
{
public:
    Private(const BalancerDataSettings &dataSettings, telemetry::EventLog &eventLog)
        : settings(dataSettings)
        , events(eventLog)
        , format(packetFormatOf(dataSettings.delivery))
        , meter(dataSettings.linkRate)
        , linkQueue(managedLinkRate())
        , router(hintAddress(), routing::HintTable(dataSettings.hintCapacity, randomKey()), randomKey().first)
        , callerResets(counters,
                       events,
                       [this](const auto &flow, std::uint32_t sequence) { sendResetToCaller(flow, sequence); })
        , searches(receiptAddress(),
                   format,
                   router,
                   counters,
                   {[this](const auto &header, auto bytes) { sendEnvelope(header, bytes); },
                    [this](const auto &packet, auto bytes, TimePoint now) {
                        forwardPacket(packet, bytes, now, routing::SearchMode::EveryPacket);
                    }})
    {
    }

    ~Private()
    {
        for (const int descriptor : {socket, hintSocket}) {
            if (descriptor >= 0) {
                close(descriptor);
            }
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    bool hasHintSocket() const
    {
        return settings.hintAddress.port != 0;
    }

    Endpoint hintAddress() const
    {
        return hasHintSocket() ? settings.hintAddress : settings.dataAddress;
    }

    /** The rate of the link whose use this packet path divides, in kilobits a second; 0 if it does not. */
    std::uint32_t managedLinkRate() const
    {
        return hasHintSocket() ? settings.linkRate : 0;
    }

    /** Where agents acknowledge packets of searches; with port 0 they do not. */
    Endpoint receiptAddress() const
    {
        return settings.delivery == settings::Delivery::Passthrough ? hintAddress() : Endpoint {};
    }

    Result<void> openSocket();
    /** Waits for datagrams, processes the received batches, and handles the timeouts of searches. */
    void receiveOnce();
    void receiveFromBothSockets();
    /** Receives one batch from the socket @p source and processes it. */
    void receiveFrom(int source);
    /** Starts to use the newest published table, if there is a new one. */
    void adoptNewTable();
    /** Applies the newest coverage and repeats the kept searches when it no longer may miss an owner. */
    void adoptCoverage();
    void processBatch(int source);
    void processDatagram(int source, std::span<const std::byte> datagram, TimePoint now);
    /** Whether a datagram from the socket @p source is a message of an agent and not a packet of the fabric. */
    bool isAgentMessage(int source, std::span<const std::byte> datagram) const;
    void forwardPacket(const flow::Segment &packet,
                       std::span<const std::byte> bytes,
                       TimePoint now,
                       routing::SearchMode mode = routing::SearchMode::OncePerFlow);
    /** Queues a packet until the owner of its flow is known, or searches for the owner if the queue is full. */
    void awaitOwner(const flow::Segment &packet, std::span<const std::byte> bytes, TimePoint now);
    /** Starts a search for each packet whose wait for the owner of its flow has timed out. */
    void forwardTimedOutPackets(TimePoint now);
    /** Forwards packets that were queued until the owner of their flow was known or the wait timed out. */
    void forwardWaitingPackets(const std::vector<routing::PacketsAwaitingOwner::Packet> &packets, TimePoint now);
    /** Adds a datagram to the outgoing batch, and sends the batch first if it is full. */
    void append(const Endpoint &destination, std::span<const std::byte> bytes);
    /** Counts a packet without a destination, and resets its caller if it is certain that no service exists. */
    void drop(const flow::Segment &packet, routing::DropReason reason);
    void sendResetToCaller(const flow::FlowKey &flow, std::uint32_t sequenceNumber);
    /**
     * Sends a packet in an envelope to the current agent of the chain in @p header. With @p mustWait, it waits until
     * the link has room for bulk data.
     */
    void sendEnvelope(const protocol::EnvelopeHeader &header, std::span<const std::byte> bytes, bool mustWait = false);
    /** Sends packets of bulk data that waited for the link. */
    void sendDueBulk();
    /** Handles a search that ended without an owner: resets the caller if that proves that the flow has none. */
    void handleEndedSearch(const protocol::SearchEnded &ended, TimePoint now);
    /** Keeps what the proof rests on that a flow has no owner. */
    void recordProof(const protocol::SearchEnded &ended, const routing::AbsenceJudgement &judgement, TimePoint now);
    void logSearch(const flow::Segment &packet, const routing::Forward &forward) const;
    /** Handles a message of an agent: the hint to the owner of a flow, a receipt, or a search that found no owner. */
    void handleAgentMessage(std::span<const std::byte> datagram, TimePoint now);
    /** Stores a hint and forwards the packets that waited for it. */
    void learnHint(const protocol::OwnerHint &hint, TimePoint now);
    /** Logs the routing of a new flow and records an event if the rate limit allows it. */
    void recordFirstPacket(const flow::Segment &packet, const protocol::EnvelopeHeader &header, TimePoint now);
    /** Copies the counters of other objects into those that other threads read. */
    void publishCounters();

    BalancerDataSettings settings;
    telemetry::EventLog &events;
    PacketFormat format;
    int socket = -1;
    int hintSocket = -1;
    std::atomic<bool> stopRequested {false};
    Published<TimedConfirmation> confirmation;
    std::atomic<routing::Coverage> coverage {routing::Coverage::Partial};
    std::atomic<TimePoint> coverageEnd {TimePoint()};
    Mailbox<const routing::AbsentAgents> newAbsentAgents;

    Published<CoverageGrounds> coverageGrounds;
    Published<LatencyHistogram> searchTimes;
    Mailbox<const routing::RoutingTable> newTable;
    // Replaced tables are returned to the publishing thread, because freeing a large table takes longer than processing
    // a batch.
    boost::lockfree::spsc_queue<TablePointer, boost::lockfree::capacity<s_retiredTableRingSize>> retiredTables;

    // The following members are accessed only by the thread in run().
    FlowSizes flowSizes;
    UtilizationMeter meter;
    LinkQueue linkQueue;
    routing::FlowRouter router;
    routing::IncompleteSearches incompleteSearches;
    routing::PacketsAwaitingOwner awaitingOwner;
    routing::Coverage usedCoverage = routing::Coverage::Partial;
    protocol::DatagramCodec codec;
    ReceiveBatch received {s_batchSize};
    SendBatch outgoing {s_batchSize};
    RateLimiter eventLimiter {s_eventsPerSecond};
    std::uint64_t logicalTime = 0;
    std::uint64_t receiveErrors = 0;
    TimePoint nextSearchTimes;
    /** When the routing table was last replaced. */
    TimePoint tableSince;
    /** The packets of the current batch of the fabric arrived at this time or later, however long they waited. */
    TimePoint earliestArrival;
    /** The last batch of the fabric left no packet in the socket. */
    bool isDrained = false;

    PacketPathCounters counters;
    CallerResets callerResets;
    OwnerSearches searches;
};

Result<void> BalancerDataPath::Private::openSocket()
{
    earliestArrival = Clock::now();
    BOOST_LEAF_ASSIGN(socket, openPacketSocket(settings.dataAddress, s_idleWait));
    if (hasHintSocket()) {
        BOOST_LEAF_ASSIGN(hintSocket, openPacketSocket(settings.hintAddress, s_idleWait));
    }
    return {};
}

void BalancerDataPath::Private::receiveOnce()
{
    if (isDrained) {
        earliestArrival = Clock::now();
    }
    if (hasHintSocket()) {
        receiveFromBothSockets();
    } else {
        receiveFrom(socket);
    }
    if (!awaitingOwner.empty()) {
        forwardTimedOutPackets(Clock::now());
    }
    if (searches.isPending()) {
        searches.advance(Clock::now());
        outgoing.send(socket);
        publishCounters();
    }
    sendDueBulk();
}

void BalancerDataPath::Private::forwardTimedOutPackets(TimePoint now)
{
    const auto expired = awaitingOwner.takeExpired(now);
    if (expired.empty()) {
        return;
    }
    telemetry::logEvent(telemetry::Severity::Info, "searches-unanswered", {{"packets", expired.size()}});
    forwardWaitingPackets(expired, now);
    outgoing.send(socket);
    publishCounters();
}

void BalancerDataPath::Private::receiveFromBothSockets()
{
    std::array<pollfd, 2> sources {pollfd {hintSocket, POLLIN, 0}, pollfd {socket, POLLIN, 0}};
    const bool isSearching = !awaitingOwner.empty() || searches.isPending();
    auto wait = isSearching ? s_searchWait : s_idleWait;
    if (const auto untilDue = linkQueue.untilDue()) {
        wait = std::min(wait, std::chrono::ceil<std::chrono::milliseconds>(*untilDue) + s_bulkWait);
    }
    const TimePoint waitsFrom = Clock::now();
    const int ready = poll(sources.data(), sources.size(), static_cast<int>(wait.count()));
    const TimePoint awake = Clock::now();
    meter.waited(awake - waitsFrom);
    meter.sent(outgoing.sent(), outgoing.bytes(), awake);
    linkQueue.advance(awake);
    if (ready <= 0) {
        isDrained = isDrained || ready == 0;
        adoptNewTable();
        adoptCoverage();
        return;
    }
    isDrained = isDrained || sources[1].revents == 0;
    for (const pollfd &source : sources) {
        if (source.revents != 0) {
            receiveFrom(source.fd);
        }
    }
}

void BalancerDataPath::Private::receiveFrom(int source)
{
    const int error = received.receive(source);
    if (source == socket) {
        // After an interruption by a signal, packets may be waiting.
        isDrained = error == EAGAIN || (error == 0 && received.size() < s_batchSize);
    }
    // After the wait, during which the process may have been paused.
    adoptNewTable();
    adoptCoverage();
    if (error == 0) {
        processBatch(source);
        return;
    }
    if (error != EAGAIN && error != EINTR) {
        // The system reports on this call that the destination port of an earlier datagram is closed.
        ++receiveErrors;
        publishCounters();
    }
}

void BalancerDataPath::Private::adoptNewTable()
{
    TablePointer table = newTable.take();
    if (!table) {
        return;
    }
    const TablePointer previous = router.table();
    router.replace(std::move(table));
    tableSince = Clock::now();
    // If the ring is full, the previous table is freed in this thread.
    retiredTables.push(previous);
}

void BalancerDataPath::Private::adoptCoverage()
{
    const TimePoint now = Clock::now();
    const bool mayHaveMissed = routing::mayMissOwner(usedCoverage);
    // The end is read first: a coverage that is set in between is not older than this end.
    const bool hasEnded = now >= coverageEnd.load();
    usedCoverage = hasEnded ? routing::Coverage::Partial : coverage.load();
    router.setCoverage(usedCoverage);
    // Read after the coverage, which is set later.
    if (const auto absent = newAbsentAgents.take()) {
        router.setAbsentAgents(*absent);
    }
    if (!mayHaveMissed || routing::mayMissOwner(usedCoverage) || incompleteSearches.empty()) {
        return;
    }
    std::size_t repeated = 0;
    for (const std::vector<std::byte> &bytes : incompleteSearches.takeAll(now)) {
        const auto packet = std::visit([&bytes](const auto &kind) { return kind.parse(bytes); }, format);
        if (!packet || router.hasHint(packet->key)) {
            continue;
        }
        forwardPacket(*packet, bytes, now, routing::SearchMode::EveryPacket);
        ++repeated;
    }
    outgoing.send(socket);
    publishCounters();
    telemetry::logEvent(telemetry::Severity::Info,
                        "searches-repeated",
                        {{"coverage", routing::coverageName(usedCoverage)}, {"flows", repeated}});
}

void BalancerDataPath::Private::processBatch(int source)
{
    const TimePoint now = Clock::now();
    logicalTime = events.logicalTime();
    counters.batches.add(1);
    counters.bytesIn.add(received.bytes());
    for (std::size_t index = 0; index < received.size(); ++index) {
        if (received.isTruncated(index)) {
            counters.droppedMalformed.add(1);
            continue;
        }
        processDatagram(source, received.datagram(index), now);
    }
    outgoing.send(socket);
    publishCounters();
    if (now >= nextSearchTimes) {
        nextSearchTimes = now + s_searchTimesPublishInterval;
        searchTimes.publish(std::make_shared<LatencyHistogram>(router.searchTimes()));
    }
}

void BalancerDataPath::Private::processDatagram(int source, std::span<const std::byte> datagram, TimePoint now)
{
    if (datagram.empty()) {
        counters.droppedMalformed.add(1);
        return;
    }
    if (isAgentMessage(source, datagram)) {
        handleAgentMessage(datagram, now);
        return;
    }
    const auto packet = std::visit([datagram](const auto &kind) { return kind.parse(datagram); }, format);
    if (!packet) {
        counters.droppedMalformed.add(1);
        return;
    }
    counters.packetsIn.add(1);
    forwardPacket(*packet, datagram, now);
}

bool BalancerDataPath::Private::isAgentMessage(int source, std::span<const std::byte> datagram) const
{
    if (hasHintSocket()) {
        return source == hintSocket;
    }
    // A Cap'n Proto message starts with its number of segments minus one in little-endian order, which is 0 in every
    // message of this project. An IPv4 packet starts with its version. PacketView later verifies that the total length
    // of the packet matches the datagram.
    return std::to_integer<unsigned>(datagram.front()) >> 4U != s_ipv4VersionNibble;
}

void BalancerDataPath::Private::forwardPacket(const flow::Segment &packet,
                                              std::span<const std::byte> bytes,
                                              TimePoint now,
                                              routing::SearchMode mode)
{
    const routing::RouteDecision decision = router.route(packet, now, mode);
    if (std::holds_alternative<routing::AwaitOwner>(decision)) {
        awaitOwner(packet, bytes, now);
        return;
    }
    const auto *dropped = std::get_if<routing::Drop>(&decision);
    if (packet.isFirstPacket() && settings.delivery == settings::Delivery::Passthrough) {
        callerResets.firstPacketArrived(packet, earliestArrival, dropped == nullptr);
    }
    if (dropped != nullptr && dropped->reason == routing::DropReason::OwnerAway) {
        counters.packetsOfAbsentOwners.add(1);
        incompleteSearches.keep(packet.key, bytes, now);
        return;
    }
    if (dropped != nullptr) {
        drop(packet, dropped->reason);
        return;
    }
    if (managedLinkRate() != 0) {
        const bool opensFlow = packet.isFirstPacket() && packet.synRetransmissions == 0;
        flowSizes.passed(packet.key.destination, bytes.size(), opensFlow, now);
    }
    const auto &forward = std::get<routing::Forward>(decision);
    const protocol::EnvelopeHeader &header = forward.header;
    if (forward.isIncompleteSearch) {
        incompleteSearches.keep(packet.key, bytes, now);
    }
    if (packet.isFirstPacket()) {
        counters.firstPackets.add(1);
        recordFirstPacket(packet, header, now);
    }
    if (forward.isSearch) {
        logSearch(packet, forward);
        searches.begin(forward, bytes, now);
        return;
    }
    const bool mustWait = !packet.isFirstPacket() && linkQueue.mustWait() && flowSizes.isBulk(packet.key.destination);
    sendEnvelope(header, bytes, mustWait);
}

void BalancerDataPath::Private::sendEnvelope(const protocol::EnvelopeHeader &header,
                                             std::span<const std::byte> bytes,
                                             bool mustWait)
{
    const auto envelope = codec.encodeEnvelope(header, bytes, logicalTime);
    if (!envelope || envelope->size() > SendBatch::s_bufferBytes) {
        counters.droppedMalformed.add(1);
        return;
    }
    const Endpoint &destination = header.chain[header.hop].endpoint;
    if (!mustWait) {
        append(destination, *envelope);
    } else if (!linkQueue.keep(destination, *envelope)) {
        counters.droppedAtLimit.add(1);
    }
}

void BalancerDataPath::Private::sendDueBulk()
{
    if (linkQueue.size() == 0) {
        return;
    }
    linkQueue.advance(Clock::now());
    while (const auto datagram = linkQueue.takeDue()) {
        append(datagram->destination, datagram->bytes);
    }
    outgoing.send(socket);
    publishCounters();
}

void BalancerDataPath::Private::append(const Endpoint &destination, std::span<const std::byte> bytes)
{
    // One datagram may release several packets, if it answers a search for which they waited.
    if (outgoing.isFull()) {
        outgoing.send(socket);
    }
    outgoing.add(destination, bytes);
    linkQueue.sent(bytes.size());
}

void BalancerDataPath::Private::awaitOwner(const flow::Segment &packet, std::span<const std::byte> bytes, TimePoint now)
{
    if (awaitingOwner.keep(packet.key, bytes, now)) {
        counters.packetsAwaitingOwner.add(1);
        return;
    }
    forwardPacket(packet, bytes, now, routing::SearchMode::EveryPacket);
}

void BalancerDataPath::Private::forwardWaitingPackets(const std::vector<routing::PacketsAwaitingOwner::Packet> &packets,
                                                      TimePoint now)
{
    for (const auto &bytes : packets) {
        const auto packet = std::visit([&bytes](const auto &kind) { return kind.parse(bytes); }, format);
        if (packet) {
            forwardPacket(*packet, bytes, now, routing::SearchMode::EveryPacket);
        }
    }
}

void BalancerDataPath::Private::drop(const flow::Segment &packet, routing::DropReason reason)
{
    const bool lacksMember = reason == routing::DropReason::NoMember || reason == routing::DropReason::Evacuated;
    (lacksMember ? counters.droppedNoMember : counters.droppedNoService).add(1);
    if (settings.delivery == settings::Delivery::Passthrough) {
        callerResets.handleDropped(packet, reason, router.table().get(), *confirmation.current());
    }
}

void BalancerDataPath::Private::sendResetToCaller(const flow::FlowKey &flow, std::uint32_t sequenceNumber)
{
    append({flow.source.address, settings.dataAddress.port}, platform::makeReset(flow, sequenceNumber));
}

void BalancerDataPath::Private::handleEndedSearch(const protocol::SearchEnded &ended, TimePoint now)
{
    const routing::AbsenceJudgement judgement = router.judgeAbsence(ended, now);
    counters.endedSearches[static_cast<std::size_t>(judgement.verdict)].add(1);
    const protocol::SearchAnswers &answers = ended.search.answers;
    telemetry::logEvent(telemetry::Severity::Info,
                        "search-ended",
                        {{"flow", flow::toString(ended.flow)},
                         {"verdict", routing::verdictName(judgement.verdict)},
                         {"age_ms", judgement.age ? telemetry::toMilliseconds(*judgement.age) : -1},
                         {"answers", answers.count},
                         {"returned", answers.returned},
                         {"no_upstream", answers.noUpstream},
                         {"omits_suspects", judgement.omitsSuspects},
                         {"suspects", judgement.suspects},
                         {"unanswered_searches", judgement.failedSearches},
                         {"last", toString(ended.lastAgent)},
                         {"coverage", routing::coverageName(usedCoverage)},
                         {"generation", router.table() ? router.table()->generation() : 0}});
    // Without a proof, the next retransmission of the caller starts a new search.
    if (judgement.verdict == routing::AbsenceVerdict::Proven) {
        recordProof(ended, judgement, now);
        sendResetToCaller(ended.flow, ended.acknowledgementNumber);
    }
}

void BalancerDataPath::Private::recordProof(const protocol::SearchEnded &ended,
                                            const routing::AbsenceJudgement &judgement,
                                            TimePoint now)
{
    const auto grounds = coverageGrounds.current();
    const auto ago = [now](TimePoint time) { return time == TimePoint() ? -1 : telemetry::toMilliseconds(now - time); };
    const protocol::SearchAnswers &answers = ended.search.answers;
    const routing::KnownAgents known = router.knownAgents(ended.flow);
    events.flowResets().record(telemetry::Severity::Warning,
                               "flow-without-owner-reset",
                               {{"flow", flow::toString(ended.flow)},
                                {"acknowledged", ended.acknowledgementNumber},
                                {"search_age_ms", judgement.age ? telemetry::toMilliseconds(*judgement.age) : -1},
                                {"answers", answers.count},
                                {"returned", answers.returned},
                                {"no_upstream", answers.noUpstream},
                                {"last", toString(ended.lastAgent)},
                                {"omits_suspects", judgement.omitsSuspects},
                                {"unanswered_searches", judgement.failedSearches},
                                {"reachable", known.reachable},
                                {"suspects", known.suspects},
                                {"stopped", known.stopped},
                                {"hinted_agent", known.hinted},
                                {"absent_agents", grounds->absentAgents},
                                {"expects_stopped", router.expectsAbsentAgent()},
                                {"coverage", routing::coverageName(usedCoverage)},
                                {"coverage_ends_in_ms", telemetry::toMilliseconds(coverageEnd.load() - now)},
                                {"agreed_ms_ago", ago(grounds->agreedAt)},
                                {"started_ms_ago", ago(grounds->startedAt)},
                                {"resumed_ms_ago", ago(grounds->resumedAt)},
                                {"table_ms_ago", ago(tableSince)},
                                {"generation", router.table() ? router.table()->generation() : 0}});
}

void BalancerDataPath::Private::logSearch(const flow::Segment &packet, const routing::Forward &forward) const
{
    if (settings.delivery != settings::Delivery::Passthrough) {
        return;
    }
    const protocol::EnvelopeHeader &header = forward.header;
    telemetry::logEvent(telemetry::Severity::Info,
                        "flow-searched",
                        {{"flow", flow::toString(packet.key)},
                         {"first", toString(header.chain[header.hop].endpoint)},
                         {"chain", header.chain.size()},
                         {"unanswered_searches", forward.unansweredSearches},
                         {"coverage", routing::coverageName(usedCoverage)},
                         {"exhaustive", header.exhaustive.has_value()},
                         {"generation", header.generation}});
}

void BalancerDataPath::Private::handleAgentMessage(std::span<const std::byte> datagram, TimePoint now)
{
    const auto decoded = codec.decode(datagram);
    if (!decoded) {
        counters.droppedMalformed.add(1);
        return;
    }
    events.observe(decoded->logicalTime);
    if (const auto *hint = std::get_if<protocol::OwnerHint>(&decoded->message)) {
        learnHint(*hint, now);
    } else if (const auto *receipt = std::get_if<protocol::Receipt>(&decoded->message)) {
        searches.acknowledge(receipt->number);
    } else if (const auto *envelope = std::get_if<protocol::Envelope>(&decoded->message)) {
        searches.handleUnanswered(envelope->header, envelope->packet, now);
    } else if (const auto *ended = std::get_if<protocol::SearchEnded>(&decoded->message)) {
        handleEndedSearch(*ended, now);
    } else if (const auto *refused = std::get_if<protocol::FirstPacketRefused>(&decoded->message)) {
        callerResets.handleRefused(*refused);
    } else {
        counters.droppedMalformed.add(1);
    }
}

void BalancerDataPath::Private::learnHint(const protocol::OwnerHint &hint, TimePoint now)
{
    router.learn(hint, now);
    const auto waited = awaitingOwner.take(hint.key);
    if (waited.empty()) {
        return;
    }
    telemetry::logEvent(telemetry::Severity::Info,
                        "flow-owner-found",
                        {{"flow", flow::toString(hint.key)},
                         {"agent", toString(hint.owner.endpoint)},
                         {"generation", hint.generation},
                         {"packets_waited", waited.size()}});
    forwardWaitingPackets(waited, now);
}

void BalancerDataPath::Private::recordFirstPacket(const flow::Segment &packet,
                                                  const protocol::EnvelopeHeader &header,
                                                  TimePoint now)
{
    const routing::RoutingTable &table = *router.table();
    const std::string &service = table.nameOf(*table.find(packet.key.destination));
    if (settings.delivery == settings::Delivery::Passthrough) {
        telemetry::logEvent(telemetry::Severity::Info,
                            "flow-routed",
                            {{"flow", flow::toString(packet.key)},
                             {"service", service},
                             {"generation", table.generation()},
                             {"agent", toString(header.chain.front().endpoint)},
                             {"candidates", header.chain.size()},
                             {"copy", packet.synRetransmissions}});
    }
    if (!eventLimiter.tryAcquire(now)) {
        counters.eventsSuppressed.add(1);
        return;
    }
    telemetry::EventRecord event;
    event.kind = "flow-routed";
    event.flow = flow::toString(packet.key);
    event.service = service;
    event.generation = table.generation();
    events.record(std::move(event));
    // The envelope must carry at least the logical time of this event, so that events of the agent are ordered after
    // it.
    logicalTime = events.logicalTime();
}

void BalancerDataPath::Private::publishCounters()
{
    counters.linkPermille.set(toPermille(meter.utilization().link));
    counters.busyPermille.set(toPermille(meter.utilization().busy));
    counters.packetsForwarded.set(outgoing.sent());
    counters.bytesOut.set(outgoing.bytes());
    counters.sendErrors.set(outgoing.errors() + receiveErrors);
    counters.hintsLearned.set(router.counters().hintsLearned);
    counters.hintsUsed.set(router.counters().hintsUsed);
    counters.hintsRejected.set(router.counters().hintsRejected);
    counters.hintsHeld.set(router.hints().size());
    counters.repeatedFirstPackets.set(router.counters().repeatedFirstPackets);
    counters.agentsSilenced.set(router.counters().agentsSilenced);
    counters.searches.set(router.counters().searches);
    counters.searchesRepeated.set(router.counters().searchesRepeated);
}

BalancerDataPath::BalancerDataPath(const BalancerDataSettings &settings, telemetry::EventLog &events)
    : m_d(std::make_unique<Private>(settings, events))
{
}

BalancerDataPath::~BalancerDataPath() = default;

Result<void> BalancerDataPath::open()
{
    return m_d->openSocket();
}

void BalancerDataPath::run()
{
    while (!m_d->stopRequested.load(std::memory_order_relaxed)) {
        m_d->receiveOnce();
    }
    telemetry::logEvent(
        telemetry::Severity::Info, "forwarding-ended", {{"packets_in", m_d->counters.packetsIn.value()}});
}

void BalancerDataPath::requestStop()
{
    m_d->stopRequested.store(true, std::memory_order_relaxed);
}

void BalancerDataPath::publish(Generation generation,
                               const std::vector<routing::RoutedService> &services,
                               const std::vector<routing::RoutedPool> &pools,
                               std::uint64_t contentHash)
{
    m_d->retiredTables.consume_all([](const TablePointer &) {});
    m_d->newTable.put(std::make_unique<const routing::RoutingTable>(generation, services, pools, contentHash));
}

void BalancerDataPath::setConfirmation(const StoreConfirmation &confirmation, TimePoint end)
{
    m_d->confirmation.publish(std::make_shared<const TimedConfirmation>(TimedConfirmation {confirmation, end}));
}

void BalancerDataPath::setAbsentAgents(routing::AbsentAgents agents)
{
    m_d->newAbsentAgents.put(std::make_unique<const routing::AbsentAgents>(std::move(agents)));
}

void BalancerDataPath::setCoverage(routing::Coverage coverage, TimePoint end, CoverageGrounds grounds)
{
    m_d->coverageGrounds.publish(std::make_shared<const CoverageGrounds>(std::move(grounds)));
    m_d->coverage = coverage;
    m_d->coverageEnd = end;
}

BalancerDataStatus BalancerDataPath::status() const
{
    BalancerDataStatus status;
    status.searchTimes = *m_d->searchTimes.current();
    copyCounters(m_d->counters, status);
    status.receiveOverflows = droppedDatagrams(m_d->socket) + droppedDatagrams(m_d->hintSocket);
    return status;
}

} // namespace samphireswitch::balancer
