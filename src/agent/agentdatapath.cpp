#include "agent/agentdatapath.h"

#include "agent/datagramreceiver.h"
#include "agent/datagramsender.h"
#include "agent/flowserver.h"
#include "protocol/datagramcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace samphireswitch::agent {

namespace {

using namespace std::chrono_literals;

constexpr auto s_statusInterval = 250ms;

/** Capacity of the queue of events from the control thread to the data thread. A few events per second are usual. */
constexpr std::size_t s_eventRingSize = 1024;

/** Number of batches of datagrams that are received before the event loop serves upstreams and timers. */
constexpr int s_batchesPerTurn = 4;

/**
 * Requested size of the socket's receive buffer in bytes, which holds a burst of datagrams while the data thread is
 * busy. The kernel may grant less.
 */
constexpr int s_receiveBufferSize = 4 << 20;

auto socketError(const Endpoint &endpoint, const boost::system::error_code &error)
{
    return boost::leaf::new_error(
        Error {ResultCode::SocketError, "cannot bind " + toString(endpoint) + ": " + error.message()});
}

} // namespace

class AgentDataPath::Private
{
public:
    Private(const AgentDataSettings &settings, telemetry::EventLog &events);

    Result<void> open();
    void run();
    void requestStop();
    void post(const admission::Event &event);
    std::shared_ptr<const AgentDataStatus> status() const;

private:
    void awaitDatagrams();
    void receiveDatagrams();
    void handleDatagram(std::span<const std::byte> bytes, TimePoint now);
    void handleMessage(const protocol::Message &message, TimePoint now);
    void handlePostedEvents();
    void awaitTick();
    void awaitStatusTime();
    void publishStatus();
    void expireAdmission(TimePoint now);
    void armAdmissionTimer();
    TimePoint beginTurn();
    void finishTurn(TimePoint now);
    void requestTurn();

    AgentDataSettings m_settings;
    telemetry::EventLog &m_log;
    boost::asio::io_context m_io {1};
    boost::asio::ip::udp::socket m_socket {m_io};
    boost::asio::steady_timer m_tickTimer {m_io};
    boost::asio::steady_timer m_statusTimer {m_io};
    boost::asio::steady_timer m_admissionTimer {m_io};
    std::optional<TimePoint> m_admissionTime;
    DatagramReceiver m_receiver;
    DatagramSender m_sender;
    protocol::DatagramCodec m_codec;
    FlowServer m_flows;
    /**
     * A turn is running or posted to the event loop. A turn is one pass of work, from beginTurn() to finishTurn(),
     * which sends its packets together.
     */
    bool m_turnScheduled = false;
    std::uint64_t m_malformed = 0;

    boost::lockfree::spsc_queue<admission::Event, boost::lockfree::capacity<s_eventRingSize>> m_posted;
    std::atomic<std::uint64_t> m_droppedEvents {0};
    mutable std::mutex m_statusMutex;
    std::shared_ptr<const AgentDataStatus> m_status = std::make_shared<AgentDataStatus>();
};

AgentDataPath::Private::Private(const AgentDataSettings &settings, telemetry::EventLog &events)
    : m_settings(settings)
    , m_log(events)
    , m_flows(settings, events, m_io, m_sender, [this] { requestTurn(); })
{
}

Result<void> AgentDataPath::Private::open()
{
    using boost::asio::ip::udp;
    const Endpoint &endpoint = m_settings.dataAddress;
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (error) {
        return socketError(endpoint, error);
    }
    m_socket.bind(udp::endpoint(boost::asio::ip::address_v4(endpoint.address), endpoint.port), error);
    if (error) {
        return socketError(endpoint, error);
    }
    m_socket.non_blocking(true, error);
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::receive_buffer_size(s_receiveBufferSize), ignored);
    m_sender.setSocket(m_socket.native_handle());
    return {};
}

void AgentDataPath::Private::run()
{
    publishStatus();
    awaitDatagrams();
    awaitTick();
    awaitStatusTime();
    handlePostedEvents();
    m_io.run();
    publishStatus();
}

void AgentDataPath::Private::requestStop()
{
    m_io.stop();
}

void AgentDataPath::Private::post(const admission::Event &event)
{
    if (!m_posted.push(event)) {
        ++m_droppedEvents;
        return;
    }
    boost::asio::post(m_io, [this] { handlePostedEvents(); });
}

std::shared_ptr<const AgentDataStatus> AgentDataPath::Private::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

void AgentDataPath::Private::awaitDatagrams()
{
    m_socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        receiveDatagrams();
        awaitDatagrams();
    });
}

void AgentDataPath::Private::receiveDatagrams()
{
    TimePoint now = beginTurn();
    // Run due timers first: after a pause of the process, packets that waited in the socket must not refresh state that
    // expired in the meantime.
    expireAdmission(now);
    for (int batch = 0; batch < s_batchesPerTurn; ++batch) {
        const std::size_t count = m_receiver.receive(m_socket.native_handle());
        for (std::size_t i = 0; i < count; ++i) {
            handleDatagram(m_receiver.datagram(i), now);
        }
        now = Clock::now();
        m_flows.processPendingWork(now);
        if (count < DatagramReceiver::s_batchSize) {
            break;
        }
    }
    finishTurn(now);
}

void AgentDataPath::Private::handleDatagram(std::span<const std::byte> bytes, TimePoint now)
{
    const Result<protocol::Datagram> datagram = m_codec.decode(bytes);
    if (!datagram) {
        ++m_malformed;
        return;
    }
    m_log.observe(datagram->logicalTime);
    handleMessage(datagram->message, now);
}

void AgentDataPath::Private::handleMessage(const protocol::Message &message, TimePoint now)
{
    std::visit(
        [&](const auto &alternative) {
            using Alternative = std::decay_t<decltype(alternative)>;
            if constexpr (std::is_same_v<Alternative, protocol::Envelope>) {
                if (!m_flows.receive(alternative, now)) {
                    ++m_malformed;
                }
            } else if constexpr (std::is_constructible_v<admission::Event, const Alternative &>) {
                m_flows.handle(alternative, now);
            } else {
                // Other messages are sent to the control address and are not valid here.
                ++m_malformed;
            }
        },
        message);
}

void AgentDataPath::Private::handlePostedEvents()
{
    const TimePoint now = beginTurn();
    m_posted.consume_all([&](const admission::Event &event) { m_flows.handle(event, now); });
    finishTurn(now);
}

void AgentDataPath::Private::awaitTick()
{
    m_tickTimer.expires_after(TcpStack::s_tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (m_flows.hasConnections()) {
            const TimePoint now = beginTurn();
            m_flows.tick(now);
            finishTurn(now);
        }
        awaitTick();
    });
}

void AgentDataPath::Private::awaitStatusTime()
{
    m_statusTimer.expires_after(s_statusInterval);
    m_statusTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint now = beginTurn();
        m_flows.expire(now);
        finishTurn(now);
        publishStatus();
        awaitStatusTime();
    });
}

void AgentDataPath::Private::publishStatus()
{
    auto status = std::make_shared<AgentDataStatus>(m_flows.status());
    status->malformedDatagrams = m_malformed;
    status->droppedEvents = m_droppedEvents;
    const std::lock_guard lock(m_statusMutex);
    m_status = std::move(status);
}

void AgentDataPath::Private::expireAdmission(TimePoint now)
{
    const std::optional<TimePoint> due = m_flows.nextTimer();
    if (due && *due <= now) {
        m_flows.handle(admission::TimerExpired {}, now);
    }
}

void AgentDataPath::Private::armAdmissionTimer()
{
    const std::optional<TimePoint> due = m_flows.nextTimer();
    if (due == m_admissionTime) {
        return;
    }
    m_admissionTime = due;
    if (!due) {
        m_admissionTimer.cancel();
        return;
    }
    m_admissionTimer.expires_at(*due);
    m_admissionTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_admissionTime.reset();
        const TimePoint now = beginTurn();
        expireAdmission(now);
        finishTurn(now);
    });
}

TimePoint AgentDataPath::Private::beginTurn()
{
    m_turnScheduled = true;
    return Clock::now();
}

void AgentDataPath::Private::finishTurn(TimePoint now)
{
    m_flows.processPendingWork(now);
    m_sender.flush();
    armAdmissionTimer();
    m_turnScheduled = false;
}

void AgentDataPath::Private::requestTurn()
{
    if (m_turnScheduled) {
        return;
    }
    // Post the turn instead of running it now, so that all upstreams that are ready share one turn and its system
    // calls.
    m_turnScheduled = true;
    boost::asio::post(m_io, [this] { finishTurn(beginTurn()); });
}

AgentDataPath::AgentDataPath(const AgentDataSettings &settings, telemetry::EventLog &events)
    : m_private(std::make_unique<Private>(settings, events))
{
}

AgentDataPath::~AgentDataPath() = default;

Result<void> AgentDataPath::open()
{
    return m_private->open();
}

void AgentDataPath::run()
{
    m_private->run();
}

void AgentDataPath::requestStop()
{
    m_private->requestStop();
}

void AgentDataPath::post(const admission::Event &event)
{
    m_private->post(event);
}

std::shared_ptr<const AgentDataStatus> AgentDataPath::status() const
{
    return m_private->status();
}

} // namespace samphireswitch::agent
