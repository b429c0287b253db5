#include "soak/upstream.h"

#include "soak/httpcall.h"
#include "standin/sockets.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace samphireswitch::soak {

namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds s_tick {50};
constexpr std::chrono::milliseconds s_halfOpenLimit {3000};
// PROTOCOL.md, Service discovery: a report counts as acknowledged within a second.
constexpr std::chrono::milliseconds s_reportLimit {1000};
// An upstream that gets no acknowledgement of its departure exits anyway, some seconds later.
constexpr std::chrono::milliseconds s_longestLeave {8000};
constexpr unsigned s_acknowledged = 200;

} // namespace

Upstream::Upstream(boost::asio::io_context &context, const UpstreamSettings &settings, PromiseCheck &check)
    : m_context(context)
    , m_settings(settings)
    , m_check(check)
    , m_socket(context)
    , m_acceptor(context)
    , m_reportTimer(context)
    , m_tickTimer(context)
    , m_drainTimer(context)
    , m_random(settings.seed)
    , m_disturbance(settings.seed + 1)
{
}

Result<void> Upstream::start(bool isCold)
{
    BOOST_LEAF_CHECK(standin::bindTo(m_socket, standin::toUdp(m_settings.address)));
    if (m_settings.acceptsProbes) {
        BOOST_LEAF_CHECK(standin::listenOn(m_acceptor, m_settings.address));
    }
    ++m_run;
    m_isRunning = true;
    m_isLeaving = false;
    m_isPaused = false;
    m_leaveAcknowledged = false;
    m_sequence = m_settings.firstSequence;
    m_coldUntil = Clock::now() + (isCold ? m_settings.slowStart : std::chrono::milliseconds(0));
    m_check.upstreamStarted(m_settings.name, {m_settings.failureDomain, m_coldUntil, m_settings.coldRequestsPerSecond});
    m_startedSinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    if (m_settings.longestClockStep.count() > 0) {
        std::uniform_int_distribution<std::int64_t> step(-m_settings.longestClockStep.count(),
                                                         m_settings.longestClockStep.count());
        m_startedSinceEpoch += std::chrono::milliseconds(step(m_disturbance));
    }
    receive();
    if (m_settings.acceptsProbes) {
        acceptProbes();
    }
    report();
    tick();
    return {};
}

void Upstream::crash()
{
    if (!std::exchange(m_isRunning, false)) {
        return;
    }
    ++m_run;
    error_code ignored;
    m_socket.close(ignored);
    m_acceptor.close(ignored);
    m_reportTimer.cancel();
    m_tickTimer.cancel();
    m_drainTimer.cancel();
    m_flows.clear();
    m_ended.clear();
    m_waiting.clear();
    m_finished.clear();
    m_busySlots = 0;
    m_check.upstreamEnded(m_settings.name);
    if (auto left = std::exchange(m_left, nullptr)) {
        left();
    }
}

void Upstream::leave(std::function<void()> done)
{
    m_isLeaving = true;
    m_left = std::move(done);
    sendReport();
    m_drainTimer.expires_after(s_longestLeave);
    m_drainTimer.async_wait([this, run = m_run](const error_code &error) {
        if (!error && isCurrent(run)) {
            depart();
        }
    });
}

void Upstream::setFrozen(bool frozen)
{
    m_isFrozen = frozen;
    if (frozen || !m_isRunning) {
        return;
    }
    for (const Work &work : std::exchange(m_finished, {})) {
        finish(work);
    }
    if (std::exchange(m_isPaused, false)) {
        readAll();
    }
}

const UpstreamSettings &Upstream::settings() const
{
    return m_settings;
}

void Upstream::receive()
{
    m_socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this, run = m_run](const error_code &error) {
        if (error || !isCurrent(run)) {
            return;
        }
        m_isPaused = m_isFrozen;
        if (!m_isFrozen) {
            readAll();
        }
    });
}

void Upstream::readAll()
{
    error_code receiveError;
    const unsigned run = m_run;
    while (isCurrent(run)) {
        const std::size_t size = m_socket.receive(boost::asio::buffer(m_buffer), 0, receiveError);
        if (receiveError) {
            break;
        }
        handle(std::string(m_buffer.data(), size));
    }
    if (isCurrent(run)) {
        receive();
    }
}

void Upstream::handle(const std::string &bytes)
{
    const TimePoint now = Clock::now();
    const auto packet = decodePacket(bytes);
    if (!packet || !packet->isAuthentic || packet->head.returned) {
        m_check.violated(Promise::Unasked, now, m_settings.name + " got a packet that no caller wrote so");
        return;
    }
    if (packet->head.syn && packet->head.ack) {
        m_check.violated(Promise::Unasked, now, m_settings.name + " got the packet of an upstream");
        return;
    }
    if (packet->head.isFirstPacket()) {
        firstPacket(*packet, bytes, now);
    } else {
        otherPacket(*packet, bytes, now);
    }
}

void Upstream::firstPacket(const Packet &packet, const std::string &bytes, TimePoint now)
{
    const flow::FlowKey &key = packet.head.key;
    auto found = m_flows.find(key);
    if (found != m_flows.end() && found->second.callerInitialSequence != packet.head.sequenceNumber) {
        endFlow(key);
        found = m_flows.end();
    }
    if (found == m_flows.end()) {
        if (m_waiting.size() >= std::size_t {m_settings.waitingPerSlot} * m_settings.slots) {
            giveBack(bytes);
            return;
        }
        m_check.firstPacketTaken(key, m_settings.name, m_settings.pool, now);
        Flow flow;
        flow.initialSequence = static_cast<std::uint32_t>(m_random());
        flow.callerInitialSequence = packet.head.sequenceNumber;
        flow.begunAt = now;
        found = m_flows.emplace(key, std::move(flow)).first;
        m_ended.erase(key);
    }
    if (found->second.phase == Phase::Open) {
        return;
    }
    flow::Segment answer;
    answer.key = flow::reversed(key);
    answer.sequenceNumber = found->second.initialSequence;
    answer.acknowledgementNumber = packet.head.sequenceNumber + 1;
    answer.syn = true;
    answer.ack = true;
    send(answer, {});
}

void Upstream::otherPacket(const Packet &packet, const std::string &bytes, TimePoint now)
{
    const flow::FlowKey &key = packet.head.key;
    m_check.packetArrived(key, m_settings.name, now);
    const auto found = m_flows.find(key);
    if (found == m_flows.end() && m_ended.contains(key)) {
        if (!packet.data.empty()) {
            sendReset(packet);
        } else if (packet.head.fin) {
            flow::Segment answer;
            answer.key = flow::reversed(key);
            answer.sequenceNumber = packet.head.acknowledgementNumber;
            answer.acknowledgementNumber = packet.head.sequenceNumber + 1;
            answer.ack = true;
            send(answer, {});
        }
        return;
    }
    const bool isHalfOpen = found != m_flows.end() && found->second.phase == Phase::HalfOpen;
    const bool opens =
        isHalfOpen && packet.head.ack && packet.head.acknowledgementNumber == found->second.initialSequence + 1;
    if (found == m_flows.end() || (isHalfOpen && !opens)) {
        giveBack(bytes);
        return;
    }
    Flow &flow = found->second;
    if (packet.head.rst) {
        endFlow(key);
        return;
    }
    if (opens) {
        openFlow(key, flow);
    }
    flow.activeAt = now;
    flow.received += flow.stream->receive(packet, now);
    takeRequests(key, flow, now);
    if (flow.stream->isClosedByPeer() && flow.requestsUnderWay == 0) {
        flow.stream->close(now);
    }
    if (flow.stream->isFinished()) {
        endFlow(key);
    }
}

void Upstream::openFlow(const flow::FlowKey &key, Flow &flow)
{
    flow.phase = Phase::Open;
    flow.stream =
        std::make_unique<Stream>(flow::reversed(key),
                                 flow.initialSequence + 1,
                                 flow.callerInitialSequence + 1,
                                 [this](const flow::Segment &head, std::string_view data) { send(head, data); });
    m_check.flowOpened(key, m_settings.name);
}

void Upstream::takeRequests(const flow::FlowKey &key, Flow &flow, TimePoint now)
{
    bool isDamaged = false;
    while (const auto request = takeRequest(flow.received, isDamaged)) {
        if (isDamaged) {
            m_check.violated(Promise::Unasked, now, "the body of a request changed on its way to " + m_settings.name);
        }
        ++flow.requestsUnderWay;
        m_waiting.push_back({key, *request});
    }
    startWork();
}

void Upstream::startWork()
{
    while (m_busySlots < m_settings.slots && !m_waiting.empty()) {
        const Work work = m_waiting.front();
        m_waiting.pop_front();
        ++m_busySlots;
        m_check.requestRan(work.request.request, m_settings.name, Clock::now());
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            m_context,
            std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::milliseconds(work.request.workMilliseconds) * m_settings.workFactor));
        timer->async_wait([this, timer, work, run = m_run](const error_code &) {
            if (!isCurrent(run)) {
                return;
            }
            if (m_isFrozen) {
                m_finished.push_back(work);
                return;
            }
            finish(work);
        });
    }
}

void Upstream::finish(const Work &work)
{
    --m_busySlots;
    const auto found = m_flows.find(work.key);
    if (found != m_flows.end()) {
        const TimePoint now = Clock::now();
        Flow &flow = found->second;
        --flow.requestsUnderWay;
        flow.activeAt = now;
        flow.stream->write(encodeAnswer(work.request), now);
        if (m_isLeaving || flow.stream->isClosedByPeer()) {
            flow.stream->close(now);
        }
    }
    startWork();
}

void Upstream::send(const flow::Segment &head, std::string_view data)
{
    sendBytes(encodePacket(head, data));
}

void Upstream::sendBytes(const std::string &bytes)
{
    error_code ignored;
    m_socket.send_to(boost::asio::buffer(bytes), standin::toUdp(m_settings.outbound), 0, ignored);
}

void Upstream::giveBack(const std::string &bytes)
{
    if (m_settings.longestReturn.count() == 0) {
        sendBytes(returnedPacket(bytes));
        return;
    }
    const std::chrono::milliseconds delay(m_random() % static_cast<std::uint64_t>(m_settings.longestReturn.count()));
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, bytes, run = m_run](const error_code &) {
        if (isCurrent(run)) {
            sendBytes(returnedPacket(bytes));
        }
    });
}

void Upstream::sendReset(const Packet &packet)
{
    flow::Segment answer;
    answer.key = flow::reversed(packet.head.key);
    answer.sequenceNumber = packet.head.acknowledgementNumber;
    answer.rst = true;
    send(answer, {});
}

void Upstream::acceptProbes()
{
    m_acceptor.async_accept([this, run = m_run](const error_code &error, boost::asio::ip::tcp::socket) {
        // The connection closes with its socket: agents only look whether anybody listens.
        if (!error && isCurrent(run)) {
            acceptProbes();
        }
    });
}

void Upstream::report()
{
    if (!m_isFrozen) {
        sendReport();
    }
    if (std::bernoulli_distribution(m_settings.otherWriterShare)(m_disturbance)) {
        callAsOtherWriter();
    }
    m_reportTimer.expires_after(m_settings.reportInterval);
    m_reportTimer.async_wait([this, run = m_run](const error_code &error) {
        if (!error && isCurrent(run)) {
            report();
        }
    });
}

void Upstream::sendReport()
{
    const auto coldFor = std::chrono::ceil<std::chrono::milliseconds>(m_coldUntil - Clock::now());
    const boost::json::object body {{"service", m_settings.pool},
                                    {"address", toString(m_settings.address)},
                                    {"zone", m_settings.failureDomain},
                                    {"version", "v1"},
                                    {"concurrency", m_settings.slots},
                                    {"state", m_isLeaving ? "draining" : "ready"},
                                    {"slow_start_ms", std::max<std::int64_t>(0, coldFor.count())},
                                    {"sequence", m_sequence++},
                                    {"born", m_startedSinceEpoch.count()}};
    const std::string target = "/api/instances/" + m_settings.name + "-" + std::to_string(m_run);
    startHttpCall(m_context,
                  m_settings.reports,
                  {"PUT", target, boost::json::serialize(body)},
                  s_reportLimit,
                  [this, run = m_run, wasLeaving = m_isLeaving](unsigned status) {
                      const bool isConfirmed = isCurrent(run) && wasLeaving && status == s_acknowledged;
                      if (!isConfirmed || std::exchange(m_leaveAcknowledged, true)) {
                          return;
                      }
                      m_check.drainAcknowledged(m_settings.name, Clock::now());
                      m_drainTimer.expires_after(m_settings.drain);
                      m_drainTimer.async_wait([this, run](const error_code &error) {
                          if (!error && isCurrent(run)) {
                              depart();
                          }
                      });
                  });
}

void Upstream::callAsOtherWriter()
{
    const std::string target = "/api/instances/other-" + std::to_string(m_disturbance() % 4);
    const std::uint64_t kind = m_disturbance() % 4;
    if (kind == 3) {
        startHttpCall(m_context, m_settings.reports, {"DELETE", target, {}}, s_reportLimit, [](unsigned) {});
        return;
    }
    const Endpoint nobody {m_settings.address.address, 1};
    const boost::json::object body {{"service", kind == 0 ? "nobody" : m_settings.pool},
                                    {"address", toString(kind == 1 ? nobody : m_settings.address)},
                                    {"zone", kind == 2 ? "nowhere" : m_settings.failureDomain},
                                    {"version", "v1"},
                                    {"concurrency", m_settings.slots},
                                    {"state", "ready"},
                                    {"slow_start_ms", 0},
                                    {"sequence", m_disturbance() % 3},
                                    {"born", m_startedSinceEpoch.count() + 1000}};
    startHttpCall(
        m_context, m_settings.reports, {"PUT", target, boost::json::serialize(body)}, s_reportLimit, [](unsigned) {});
}

void Upstream::depart()
{
    const std::string target = "/api/instances/" + m_settings.name + "-" + std::to_string(m_run);
    startHttpCall(m_context, m_settings.reports, {"DELETE", target, {}}, s_reportLimit, [this, run = m_run](unsigned) {
        if (isCurrent(run)) {
            crash();
        }
    });
}

void Upstream::tick()
{
    const TimePoint now = Clock::now();
    std::vector<flow::FlowKey> over;
    for (auto &[key, flow] : m_flows) {
        if (m_isFrozen) {
            break;
        }
        if (flow.phase == Phase::HalfOpen) {
            if (now - flow.begunAt >= s_halfOpenLimit) {
                over.push_back(key);
            }
            continue;
        }
        const bool isIdle = flow.requestsUnderWay == 0 && now - flow.activeAt >= m_settings.idleClose;
        if (m_settings.idleClose.count() > 0 && isIdle) {
            flow.stream->close(now);
        }
        flow.stream->repeatLost(now);
        if (flow.stream->hasFailed()) {
            over.push_back(key);
        }
    }
    for (const flow::FlowKey &key : over) {
        endFlow(key);
    }
    m_tickTimer.expires_after(s_tick);
    m_tickTimer.async_wait([this, run = m_run](const error_code &error) {
        if (!error && isCurrent(run)) {
            tick();
        }
    });
}

void Upstream::endFlow(const flow::FlowKey &key)
{
    const auto found = m_flows.find(key);
    if (found != m_flows.end() && found->second.phase == Phase::Open) {
        m_ended.insert(key);
        m_check.flowEnded(key);
    }
    m_flows.erase(key);
}

bool Upstream::isCurrent(unsigned run) const
{
    return m_isRunning && run == m_run;
}

} // namespace samphireswitch::soak
