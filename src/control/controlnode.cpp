#include "control/controlnode.h"

#include "base/published.h"
#include "base/standstilldetector.h"
#include "protocol/datagramcodec.h"
#include "telemetry/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <array>
#include <atomic>
#include <random>

namespace samphireswitch::control {

namespace {

using boost::asio::ip::udp;

constexpr std::chrono::milliseconds s_timerInterval {100};
// Several times the interval of the timer; digests count for three times as long.
constexpr std::chrono::milliseconds s_standstillLimit {500};
constexpr std::size_t s_ringCapacity = 256;
constexpr std::size_t s_sourceCount = 4;

udp::endpoint toAsio(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

Endpoint fromAsio(const udp::endpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

using EventRing = boost::lockfree::spsc_queue<GossipEvent, boost::lockfree::capacity<s_ringCapacity>>;

} // namespace

class ControlNode::Private
{
public:
    Private(const GossipSettings &settings,
            const protocol::MemberRecord &self,
            std::vector<Endpoint> seeds,
            ControlCallbacks controlCallbacks,
            telemetry::EventLog &eventLog)
        : engine(settings, self, std::move(seeds), std::mt19937_64(std::random_device {}()))
        , callbacks(std::move(controlCallbacks))
        , events(eventLog)
    {
        // Other threads may read the snapshot, to answer peers or write the directory, before this thread runs.
        ControlSnapshot initial;
        initial.self = engine.self();
        published.publish(std::make_shared<ControlSnapshot>(std::move(initial)));
    }

    void startReceive();
    void startTimer();
    void processDatagram(std::size_t size);
    void processRings();
    /** Notices a standstill, after which the datagrams in the socket may be old until it is empty. */
    void observeStandstill(TimePoint now);
    bool isSocketEmpty();
    void handle(const GossipEvent &event);
    void perform(const SendDatagram &action);
    void perform(const PullConfiguration &action);
    void perform(const PullMembers &action);
    void perform(const ConfigurationChanged &action);
    void perform(const MembershipChanged &action);
    void publishIfChanged();

    boost::asio::io_context context {1};
    udp::socket socket {context};
    boost::asio::steady_timer timer {context};
    GossipEngine engine;
    ControlCallbacks callbacks;
    telemetry::EventLog &events;
    protocol::DatagramCodec codec;
    std::array<std::byte, protocol::s_maximumDatagramSize> buffer {};
    udp::endpoint sender;
    std::array<EventRing, s_sourceCount> rings;
    StandstillDetector standstill {s_standstillLimit};
    /** Whether datagrams that arrived during a standstill may be in the socket. */
    bool hasBacklog = false;
    bool configurationChanged = false;
    bool membershipChanged = false;
    ControlSnapshot current;
    Published<ControlSnapshot> published;
    std::atomic<TimePoint> lastHeard {TimePoint()};
    std::atomic<TimePoint> agreedAt {TimePoint()};
    std::atomic<bool> hasPeerAnswered {false};
    /** The epoch of the clock if the time is not known. */
    std::atomic<TimePoint> configurationConfirmedAt {TimePoint()};

    struct
    {
        std::atomic<std::uint64_t> datagramsIn {0};
        std::atomic<std::uint64_t> bytesIn {0};
        std::atomic<std::uint64_t> datagramsOut {0};
        std::atomic<std::uint64_t> bytesOut {0};
        std::atomic<std::uint64_t> malformed {0};
        std::atomic<std::uint64_t> eventsDropped {0};
        std::atomic<std::uint64_t> configurationConflicts {0};
        std::atomic<std::uint64_t> configurationRepairs {0};
    } counters;
};

void ControlNode::Private::startReceive()
{
    socket.async_receive_from(
        boost::asio::buffer(buffer), sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                processDatagram(size);
            }
            startReceive();
        });
}

void ControlNode::Private::startTimer()
{
    timer.expires_after(s_timerInterval);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        observeStandstill(Clock::now());
        handle(TimerExpired {});
        startTimer();
    });
}

void ControlNode::Private::processDatagram(std::size_t size)
{
    ++counters.datagramsIn;
    counters.bytesIn += size;
    observeStandstill(Clock::now());
    const bool mayHaveWaited = hasBacklog;
    hasBacklog = hasBacklog && !isSocketEmpty();
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(datagram, codec.decode(std::span(buffer).first(size)));
            events.observe(datagram.logicalTime);
            lastHeard = Clock::now();
            handle(DatagramReceived {fromAsio(sender), std::move(datagram.message), mayHaveWaited});
            return {};
        },
        [this]() { ++counters.malformed; });
}

void ControlNode::Private::observeStandstill(TimePoint now)
{
    if (standstill.observe(now)) {
        hasBacklog = true;
        telemetry::logEvent(telemetry::Severity::Warning, "control-stood-still", {});
    }
}

bool ControlNode::Private::isSocketEmpty()
{
    boost::system::error_code error;
    return socket.available(error) == 0;
}

void ControlNode::Private::processRings()
{
    for (EventRing &ring : rings) {
        ring.consume_all([this](const GossipEvent &event) { handle(event); });
    }
}

void ControlNode::Private::handle(const GossipEvent &event)
{
    for (const GossipAction &action : engine.handle(event, Clock::now())) {
        std::visit([this](const auto &kind) { perform(kind); }, action);
    }
    agreedAt = engine.agreedAt().value_or(TimePoint());
    hasPeerAnswered = engine.hasPeerAnswered();
    counters.configurationConflicts = engine.configurationConflicts();
    publishIfChanged();
    // Other threads must not see the confirmation of a newer configuration together with an older one.
    configurationConfirmedAt = engine.configurationConfirmedAt().value_or(TimePoint());
}

void ControlNode::Private::perform(const SendDatagram &action)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(bytes, codec.encode(action.message, events.logicalTime()));
            boost::system::error_code error;
            socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toAsio(action.to), 0, error);
            // A send error is ignored: the next heartbeat or digest makes up for a lost control datagram.
            ++counters.datagramsOut;
            counters.bytesOut += bytes.size();
            return {};
        },
        [](const Error &error) { telemetry::log(telemetry::Severity::Warning, error.message); },
        []() {});
}

void ControlNode::Private::perform(const PullConfiguration &action)
{
    callbacks.pull(action);
}

void ControlNode::Private::perform(const PullMembers &action)
{
    callbacks.pull(action);
}

void ControlNode::Private::perform(const ConfigurationChanged &action)
{
    configurationChanged = true;
    const Generation generation = engine.configuration().generation();
    if (action.isRepair) {
        ++counters.configurationRepairs;
        telemetry::logEvent(telemetry::Severity::Warning, "configuration-repaired", {{"generation", generation}});
    }
    telemetry::EventRecord event;
    event.kind = "configuration-in-force";
    event.generation = generation;
    events.record(std::move(event));
    telemetry::log(telemetry::Severity::Info,
                   "configuration generation " + std::to_string(generation) + " is in force");
}

void ControlNode::Private::perform(const MembershipChanged &)
{
    membershipChanged = true;
}

void ControlNode::Private::publishIfChanged()
{
    const bool selfChanged = current.self != engine.self();
    if (!configurationChanged && !membershipChanged && !selfChanged) {
        return;
    }
    if (configurationChanged) {
        current.configuration = std::make_shared<configuration::ConfigurationTable>(engine.configuration());
    }
    if (membershipChanged) {
        current.members = std::make_shared<membership::MembershipTable>(engine.members());
    }
    current.self = engine.self();
    configurationChanged = false;
    membershipChanged = false;
    published.publish(std::make_shared<ControlSnapshot>(current));
    callbacks.changed(current);
}

ControlNode::ControlNode(const GossipSettings &settings,
                         const protocol::MemberRecord &self,
                         std::vector<Endpoint> seeds,
                         ControlCallbacks callbacks,
                         telemetry::EventLog &events)
    : m_d(std::make_unique<Private>(settings, self, std::move(seeds), std::move(callbacks), events))
{
}

ControlNode::~ControlNode() = default;

Result<void> ControlNode::open()
{
    boost::system::error_code error;
    const udp::endpoint address = toAsio(m_d->engine.self().control);
    m_d->socket.open(udp::v4(), error);
    if (!error) {
        m_d->socket.bind(address, error);
    }
    if (error) {
        return boost::leaf::new_error(
            Error {ResultCode::SocketError,
                   "cannot bind UDP " + toString(m_d->engine.self().control) + ": " + error.message()});
    }
    return {};
}

void ControlNode::run()
{
    m_d->publishIfChanged();
    m_d->startReceive();
    m_d->handle(TimerExpired {});
    m_d->startTimer();
    m_d->context.run();
}

void ControlNode::requestStop()
{
    m_d->context.stop();
}

void ControlNode::post(EventSource source, const GossipEvent &event)
{
    if (!m_d->rings[static_cast<std::size_t>(source)].push(event)) {
        ++m_d->counters.eventsDropped;
        return;
    }
    boost::asio::post(m_d->context, [this]() { m_d->processRings(); });
}

std::shared_ptr<const ControlSnapshot> ControlNode::snapshot() const
{
    return m_d->published.current();
}

ControlCounters ControlNode::counters() const
{
    return {m_d->counters.datagramsIn,
            m_d->counters.bytesIn,
            m_d->counters.datagramsOut,
            m_d->counters.bytesOut,
            m_d->counters.malformed,
            m_d->counters.eventsDropped,
            m_d->counters.configurationConflicts,
            m_d->counters.configurationRepairs};
}

TimePoint ControlNode::agreedAt() const
{
    return m_d->agreedAt;
}

std::optional<TimePoint> ControlNode::configurationConfirmedAt() const
{
    const TimePoint at = m_d->configurationConfirmedAt;
    return at == TimePoint() ? std::nullopt : std::optional(at);
}

bool ControlNode::hasPeerAnswered() const
{
    return m_d->hasPeerAnswered;
}

TimePoint ControlNode::lastHeard() const
{
    return m_d->lastHeard;
}

} // namespace samphireswitch::control
