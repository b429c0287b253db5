#include "balancer/balancerdatapath.h"

#include "balancer/mailbox.h"
#include "balancer/ratelimiter.h"
#include "balancer/receivebatch.h"
#include "balancer/sendbatch.h"
#include "base/socketaddress.h"
#include "protocol/datagramcodec.h"
#include "routing/flowrouter.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <random>
#include <system_error>
#include <utility>

namespace samphireswitch::balancer {

namespace {

using TablePointer = std::shared_ptr<const routing::RoutingTable>;

// Bounds how long the first packet of a batch waits for the others.
constexpr std::size_t s_batchSize = 64;
// Absorbs bursts while the thread does not run. The system limits it to net.core.rmem_max.
constexpr int s_socketBufferBytes = 4 * 1024 * 1024;
// An idle thread looks for a stop request and for a new table this often; a packet wakes it at once.
constexpr std::chrono::milliseconds s_idleWait {50};
// An event takes a lock and allocates memory, which must not happen for each of thousands of new flows a second.
constexpr double s_eventsPerSecond = 200;
constexpr std::size_t s_retiredTableRingSize = 64;
constexpr unsigned s_ipv4VersionNibble = 4;

Error socketError(const char *action, int code)
{
    return {ResultCode::SocketError, std::string(action) + ": " + std::generic_category().message(code)};
}

routing::SipHashKey randomKey()
{
    std::random_device device;
    const auto word = [&device] { return (std::uint64_t {device()} << 32U) | device(); };
    return {word(), word()};
}

timeval toTimeval(std::chrono::microseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    timeval value {};
    value.tv_sec = seconds.count();
    value.tv_usec = (duration - seconds).count();
    return value;
}

/** A counter that one thread raises and any thread reads. */
class Counter
{
public:
    void set(std::uint64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(std::uint64_t amount)
    {
        set(value() + amount);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value {0};
};

} // namespace

class BalancerDataPath::Private
{
public:
    Private(const BalancerDataSettings &dataSettings, telemetry::EventLog &eventLog)
        : settings(dataSettings)
        , events(eventLog)
        , router(dataSettings.dataAddress, routing::HintTable(dataSettings.hintCapacity, randomKey()))
    {
    }

    ~Private()
    {
        if (socket >= 0) {
            close(socket);
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Result<void> openSocket();
    void adoptNewTable();
    void processBatch();
    void processDatagram(std::span<const std::byte> datagram, TimePoint now);
    void forwardPacket(const flow::PacketView &packet, TimePoint now);
    void countDrop(routing::DropReason reason);
    void learnHint(std::span<const std::byte> datagram, TimePoint now);
    void recordFirstPacket(const flow::FlowKey &key, TimePoint now);
    void publishCounters();

    BalancerDataSettings settings;
    telemetry::EventLog &events;
    int socket = -1;
    std::atomic<bool> stopRequested {false};

    Mailbox<const routing::RoutingTable> newTable;
    // Tables go back to the publishing thread, because freeing a large one takes longer than a batch.
    boost::lockfree::spsc_queue<TablePointer, boost::lockfree::capacity<s_retiredTableRingSize>> retiredTables;

    // Used by the thread in run() only.
    routing::FlowRouter router;
    protocol::DatagramCodec codec;
    ReceiveBatch received {s_batchSize};
    SendBatch outgoing {s_batchSize};
    RateLimiter eventLimiter {s_eventsPerSecond};
    std::uint64_t logicalTime = 0;
    std::uint64_t receiveErrors = 0;

    struct
    {
        Counter packetsIn;
        Counter packetsForwarded;
        Counter firstPackets;
        Counter hintsLearned;
        Counter hintsUsed;
        Counter hintsRejected;
        Counter hintsHeld;
        Counter droppedMalformed;
        Counter droppedNoService;
        Counter droppedNoMember;
        Counter sendErrors;
        Counter eventsSuppressed;
    } counters;
};

Result<void> BalancerDataPath::Private::openSocket()
{
    socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return boost::leaf::new_error(socketError("cannot create a UDP socket", errno));
    }
    // A smaller buffer than requested loses packets in bursts but is no reason not to serve.
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &s_socketBufferBytes, sizeof(s_socketBufferBytes));
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &s_socketBufferBytes, sizeof(s_socketBufferBytes));
    const timeval wait = toTimeval(s_idleWait);
    if (setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait)) != 0
        || setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait)) != 0) {
        return boost::leaf::new_error(socketError("cannot set the timeouts of a UDP socket", errno));
    }
    const sockaddr_in address = toSocketAddress(settings.dataAddress);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const std::string action = "cannot bind " + toString(settings.dataAddress);
        return boost::leaf::new_error(socketError(action.c_str(), errno));
    }
    return {};
}

void BalancerDataPath::Private::adoptNewTable()
{
    TablePointer table = newTable.take();
    if (!table) {
        return;
    }
    const TablePointer previous = router.table();
    router.replace(std::move(table));
    // If the ring is full, this thread frees the table.
    retiredTables.push(previous);
}

void BalancerDataPath::Private::processBatch()
{
    const TimePoint now = Clock::now();
    logicalTime = events.logicalTime();
    for (std::size_t index = 0; index < received.size(); ++index) {
        if (received.isTruncated(index)) {
            counters.droppedMalformed.add(1);
            continue;
        }
        processDatagram(received.datagram(index), now);
    }
    outgoing.send(socket);
    publishCounters();
}

void BalancerDataPath::Private::processDatagram(std::span<const std::byte> datagram, TimePoint now)
{
    if (datagram.empty()) {
        counters.droppedMalformed.add(1);
        return;
    }
    // A Cap'n Proto datagram starts with its number of segments less one, little-endian, which is 0 in every message
    // that is encoded here. PacketView checks that the packet's total length matches the datagram.
    if (std::to_integer<unsigned>(datagram.front()) >> 4U != s_ipv4VersionNibble) {
        learnHint(datagram, now);
        return;
    }
    const auto packet = flow::PacketView::parse(datagram);
    if (!packet) {
        counters.droppedMalformed.add(1);
        return;
    }
    counters.packetsIn.add(1);
    forwardPacket(*packet, now);
}

void BalancerDataPath::Private::forwardPacket(const flow::PacketView &packet, TimePoint now)
{
    const routing::RouteDecision decision = router.route(packet, now);
    if (const auto *drop = std::get_if<routing::Drop>(&decision)) {
        countDrop(drop->reason);
        return;
    }
    if (packet.isFirstPacket()) {
        counters.firstPackets.add(1);
        recordFirstPacket(packet.key(), now);
    }
    const protocol::EnvelopeHeader &header = std::get<routing::Forward>(decision).header;
    const auto bytes = codec.encodeEnvelope(header, packet.bytes(), logicalTime);
    if (!bytes || bytes->size() > SendBatch::s_bufferBytes) {
        counters.droppedMalformed.add(1);
        return;
    }
    outgoing.add(header.chain[header.hop].endpoint, *bytes);
}

void BalancerDataPath::Private::countDrop(routing::DropReason reason)
{
    if (reason == routing::DropReason::NoMember) {
        counters.droppedNoMember.add(1);
    } else {
        counters.droppedNoService.add(1);
    }
}

void BalancerDataPath::Private::learnHint(std::span<const std::byte> datagram, TimePoint now)
{
    const auto decoded = codec.decode(datagram);
    if (!decoded || !std::holds_alternative<protocol::OwnerHint>(decoded->message)) {
        counters.droppedMalformed.add(1);
        return;
    }
    events.observe(decoded->logicalTime);
    router.learn(std::get<protocol::OwnerHint>(decoded->message), now);
}

void BalancerDataPath::Private::recordFirstPacket(const flow::FlowKey &key, TimePoint now)
{
    if (!eventLimiter.tryAcquire(now)) {
        counters.eventsSuppressed.add(1);
        return;
    }
    const routing::RoutingTable &table = *router.table();
    telemetry::EventRecord event;
    event.kind = "flow-routed";
    event.flow = flow::toString(key);
    event.service = table.nameOf(*table.find(key.destination));
    event.generation = table.generation();
    events.record(std::move(event));
    // The envelope must carry at least the time of this event, so that the agent's events follow it in the time line.
    logicalTime = events.logicalTime();
}

void BalancerDataPath::Private::publishCounters()
{
    counters.packetsForwarded.set(outgoing.sent());
    counters.sendErrors.set(outgoing.errors() + receiveErrors);
    counters.hintsLearned.set(router.counters().hintsLearned);
    counters.hintsUsed.set(router.counters().hintsUsed);
    counters.hintsRejected.set(router.counters().hintsRejected);
    counters.hintsHeld.set(router.hints().size());
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
        const int error = m_d->received.receive(m_d->socket);
        m_d->adoptNewTable();
        if (error == 0) {
            m_d->processBatch();
            continue;
        }
        if (error != EAGAIN && error != EINTR) {
            // The system reports here that the port of an earlier datagram is closed.
            ++m_d->receiveErrors;
            m_d->publishCounters();
        }
    }
}

void BalancerDataPath::requestStop()
{
    m_d->stopRequested.store(true, std::memory_order_relaxed);
}

void BalancerDataPath::publish(Generation generation, const std::vector<routing::RoutedService> &services)
{
    m_d->retiredTables.consume_all([](const TablePointer &) {});
    m_d->newTable.put(std::make_unique<const routing::RoutingTable>(generation, services));
}

BalancerDataStatus BalancerDataPath::status() const
{
    const auto &counters = m_d->counters;
    BalancerDataStatus status;
    status.packetsIn = counters.packetsIn.value();
    status.packetsForwarded = counters.packetsForwarded.value();
    status.firstPackets = counters.firstPackets.value();
    status.hintsLearned = counters.hintsLearned.value();
    status.hintsUsed = counters.hintsUsed.value();
    status.hintsRejected = counters.hintsRejected.value();
    status.hintsHeld = counters.hintsHeld.value();
    status.droppedMalformed = counters.droppedMalformed.value();
    status.droppedNoService = counters.droppedNoService.value();
    status.droppedNoMember = counters.droppedNoMember.value();
    status.sendErrors = counters.sendErrors.value();
    status.eventsSuppressed = counters.eventsSuppressed.value();
    return status;
}

} // namespace samphireswitch::balancer
