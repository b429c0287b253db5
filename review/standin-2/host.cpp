#include "host.h"

#include "soak/httpcall.h"
#include "standin/sockets.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <vector>

namespace samphireswitch::review {

namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds s_tick {50};
// `heartbeat_ms` of the deployments.
constexpr std::chrono::milliseconds s_reportInterval {1200};
constexpr std::chrono::milliseconds s_reportLimit {1000};
constexpr unsigned s_concurrency = 100;
const std::string s_requestEnd = "\r\n\r\n";
const std::string s_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::chrono::milliseconds timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

Host::Host(boost::asio::io_context &context, const HostSettings &settings, Judge &judge, Record &record)
    : m_context(context)
    , m_settings(settings)
    , m_judge(judge)
    , m_record(record)
    , m_socket(context)
    , m_acceptor(context)
    , m_reportTimer(context)
    , m_tickTimer(context)
    , m_random(settings.seed)
{
}

bool Host::start()
{
    if (!standin::bindTo(m_socket, standin::toUdp(m_settings.address))
        || !standin::listenOn(m_acceptor, m_settings.address)) {
        return false;
    }
    m_isRunning = true;
    m_sequence = m_settings.firstSequence;
    m_born = timeOfDay() + m_settings.clockAhead;
    m_record.write(m_settings.name + " starts, born " + std::to_string(m_born.count()));
    receive();
    acceptProbes();
    report();
    tick();
    return true;
}

const HostSettings &Host::settings() const
{
    return m_settings;
}

void Host::reportForeignService()
{
    const boost::json::object body {{"service", "unnamed"},
                                    {"address", toString(m_settings.address)},
                                    {"zone", m_settings.zone},
                                    {"version", "v1"},
                                    {"concurrency", s_concurrency},
                                    {"state", "ready"},
                                    {"slow_start_ms", 0},
                                    {"sequence", 1},
                                    {"born", timeOfDay().count()}};
    soak::startHttpCall(m_context,
                        m_settings.reports,
                        {"PUT", "/api/instances/i-other", boost::json::serialize(body)},
                        s_reportLimit,
                        [this](unsigned status) {
                            m_record.write("report of another writer at the agent of " + m_settings.name + ", status "
                                           + std::to_string(status));
                        });
}

std::size_t Host::openFlows() const
{
    std::size_t count = 0;
    for (const auto &[key, flow] : m_flows) {
        count += flow.stream ? 1 : 0;
    }
    return count;
}

void Host::receive()
{
    m_socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this](const error_code &error) {
        if (error || !m_isRunning) {
            return;
        }
        error_code receiveError;
        while (true) {
            const std::size_t size = m_socket.receive(boost::asio::buffer(m_buffer), 0, receiveError);
            if (receiveError) {
                break;
            }
            handle(std::string(m_buffer.data(), size));
        }
        receive();
    });
}

void Host::handle(const std::string &bytes)
{
    const auto packet = soak::decodePacket(bytes);
    if (!packet || !packet->isAuthentic) {
        m_record.write(m_settings.name + " got a packet that nobody wrote so");
        return;
    }
    if (packet->head.isFirstPacket()) {
        firstPacket(*packet);
    } else {
        otherPacket(*packet, bytes);
    }
}

void Host::firstPacket(const soak::Packet &packet)
{
    const flow::FlowKey &key = packet.head.key;
    const auto [found, isNew] = m_flows.try_emplace(key);
    Flow &flow = found->second;
    if (isNew) {
        flow.initialSequence = static_cast<std::uint32_t>(m_random());
        flow.requesterSequence = packet.head.sequenceNumber;
    }
    if (flow.stream) {
        return;
    }
    flow::Segment answer;
    answer.key = flow::reversed(key);
    answer.sequenceNumber = flow.initialSequence;
    answer.acknowledgementNumber = flow.requesterSequence + 1;
    answer.syn = true;
    answer.ack = true;
    send(answer, {});
}

void Host::otherPacket(const soak::Packet &packet, const std::string &bytes)
{
    const flow::FlowKey &key = packet.head.key;
    const auto found = m_flows.find(key);
    if (found == m_flows.end() && m_ended.contains(key)) {
        answerEnded(packet);
        return;
    }
    const bool isHalfOpen = found != m_flows.end() && !found->second.stream;
    const bool opens =
        isHalfOpen && packet.head.ack && packet.head.acknowledgementNumber == found->second.initialSequence + 1;
    if (found == m_flows.end() || (isHalfOpen && !opens)) {
        m_record.write(m_settings.name + " gives back a packet of " + flow::toString(key));
        const std::string returned = soak::returnedPacket(bytes);
        error_code ignored;
        m_socket.send_to(boost::asio::buffer(returned), standin::toUdp(m_settings.outbound), 0, ignored);
        return;
    }
    Flow &flow = found->second;
    if (packet.head.rst) {
        m_judge.flowEnded(key);
        m_flows.erase(found);
        return;
    }
    if (opens) {
        flow.stream = std::make_unique<soak::Stream>(
            flow::reversed(key),
            flow.initialSequence + 1,
            flow.requesterSequence + 1,
            [this](const flow::Segment &head, std::string_view data) { send(head, data); });
        m_judge.flowOpened(key, m_settings.name);
    }
    const TimePoint now = Clock::now();
    flow.received += flow.stream->receive(packet, now);
    runRequests(key, flow);
    if (flow.stream->isClosedByPeer()) {
        flow.stream->close(now);
    }
    if (flow.stream->isFinished()) {
        m_ended.insert(key);
        m_judge.flowEnded(key);
        m_flows.erase(found);
    }
}

void Host::runRequests(const flow::FlowKey &key, Flow &flow)
{
    for (std::size_t end = flow.received.find(s_requestEnd); end != std::string::npos;
         end = flow.received.find(s_requestEnd)) {
        const std::string request = flow.received.substr(0, flow.received.find('\r'));
        flow.received.erase(0, end + s_requestEnd.size());
        m_record.write(m_settings.name + " runs '" + request + "' of " + flow::toString(key));
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_settings.work);
        timer->async_wait([this, timer, key, request](const error_code &) { answer(key, request); });
    }
}

void Host::answer(const flow::FlowKey &key, const std::string &request)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        m_record.write(m_settings.name + " has no flow left for the answer to '" + request + "'");
        return;
    }
    m_record.write(m_settings.name + " answers '" + request + "' of " + flow::toString(key));
    found->second.stream->write(s_answer, Clock::now());
}

void Host::answerEnded(const soak::Packet &packet)
{
    if (packet.data.empty() && !packet.head.fin) {
        return;
    }
    flow::Segment answer;
    answer.key = flow::reversed(packet.head.key);
    answer.sequenceNumber = packet.head.acknowledgementNumber;
    answer.acknowledgementNumber = packet.head.sequenceNumber + 1;
    answer.rst = !packet.data.empty();
    answer.ack = !answer.rst;
    send(answer, {});
}

void Host::send(const flow::Segment &head, std::string_view data)
{
    const std::string bytes = soak::encodePacket(head, data);
    error_code ignored;
    m_socket.send_to(boost::asio::buffer(bytes), standin::toUdp(m_settings.outbound), 0, ignored);
}

void Host::acceptProbes()
{
    m_acceptor.async_accept([this](const error_code &error, boost::asio::ip::tcp::socket) {
        if (!error && m_isRunning) {
            acceptProbes();
        }
    });
}

void Host::report()
{
    const unsigned sequence = m_sequence++;
    const boost::json::object body {{"service", m_settings.service},
                                    {"address", toString(m_settings.address)},
                                    {"zone", m_settings.zone},
                                    {"version", "v1"},
                                    {"concurrency", s_concurrency},
                                    {"state", "ready"},
                                    {"slow_start_ms", 0},
                                    {"sequence", sequence},
                                    {"born", m_born.count()}};
    soak::startHttpCall(m_context,
                        m_settings.reports,
                        {"PUT", "/api/instances/i-" + m_settings.name, boost::json::serialize(body)},
                        s_reportLimit,
                        [this, sequence](unsigned status) {
                            m_record.write(m_settings.name + " reported with sequence " + std::to_string(sequence)
                                           + ", status " + std::to_string(status));
                        });
    m_reportTimer.expires_after(s_reportInterval);
    m_reportTimer.async_wait([this](const error_code &error) {
        if (!error && m_isRunning) {
            report();
        }
    });
}

void Host::tick()
{
    const TimePoint now = Clock::now();
    std::vector<flow::FlowKey> failed;
    for (auto &[key, flow] : m_flows) {
        if (!flow.stream) {
            continue;
        }
        flow.stream->repeatLost(now);
        if (flow.stream->hasFailed()) {
            failed.push_back(key);
        }
    }
    for (const flow::FlowKey &key : failed) {
        m_judge.flowEnded(key);
        m_flows.erase(key);
    }
    m_tickTimer.expires_after(s_tick);
    m_tickTimer.async_wait([this](const error_code &error) {
        if (!error && m_isRunning) {
            tick();
        }
    });
}

} // namespace samphireswitch::review
