#include "host.h"

#include "sockets.h"

#include <unistd.h>

#include <utility>
#include <vector>

namespace review {

namespace {

constexpr Milliseconds s_tick {20};
constexpr Milliseconds s_acknowledgementLimit {1000};
constexpr Milliseconds s_firstRepeat {200};
constexpr unsigned s_mostRepeats = 8;

} // namespace

Host::Host(Loop &loop, const HostSettings &settings, Record &record)
    : m_loop(loop)
    , m_settings(settings)
    , m_record(record)
    , m_socket(openUdp(settings.address))
    , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_random(static_cast<std::uint32_t>(m_born) + settings.address.ip)
{
    m_listener = serveHttp(loop, settings.address, [this](const HttpRequest &, const HttpRespond &respond) {
        if (!m_isSilent) {
            respond(200, "{}");
        }
    });
    loop.watch(m_socket, [this] {
        std::uint32_t senderIp = 0;
        for (std::string bytes; receiveUdp(m_socket, bytes, senderIp);) {
            handle(bytes);
        }
    });
    const auto whileAlive = [alive = m_isAlive](const Loop::Handler &handler) {
        return [alive, handler] {
            if (*alive) {
                handler();
            }
        };
    };
    loop.every(s_tick, whileAlive([this] { repeatLost(); }));
    loop.after(settings.firstReportAfter, whileAlive([this, whileAlive] {
                   m_loop.every(m_settings.reportInterval, whileAlive([this] { report(); }));
               }));
    record.line("host " + settings.id + " of " + settings.service + " starts at " + toString(settings.address));
}

Host::~Host()
{
    *m_isAlive = false;
    for (const int descriptor : {m_socket, m_listener}) {
        m_loop.unwatch(descriptor);
        close(descriptor);
    }
}

void Host::fallSilent()
{
    m_isSilent = true;
    m_record.line("host " + m_settings.id + " falls silent for good");
}

void Host::handle(const std::string &bytes)
{
    const auto packet = decode(bytes);
    if (m_isSilent || !packet || !packet->isAuthentic) {
        return;
    }
    if (packet->isFirst()) {
        firstPacket(*packet);
    } else {
        otherPacket(*packet, bytes);
    }
}

void Host::firstPacket(const Packet &packet)
{
    const Key key {packet.source, packet.destination};
    auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.callerSequence != packet.sequence) {
        Flow flow;
        flow.callerSequence = packet.sequence;
        flow.ownSequence = static_cast<std::uint32_t>(m_random());
        flow.nextToSend = flow.ownSequence + 1;
        flow.received = packet.sequence + 1;
        found = m_flows.insert_or_assign(key, flow).first;
        m_ended.erase(key);
        m_record.line("host " + m_settings.id + " of " + m_settings.service + " takes the flow of "
                      + toString(packet.source) + " to " + toString(packet.destination));
        if (tookFlow) {
            tookFlow(packet);
        }
    }
    if (!found->second.isOpen) {
        Packet answer;
        answer.sequence = found->second.ownSequence;
        answer.acknowledgement = packet.sequence + 1;
        answer.syn = true;
        answer.ack = true;
        sendTo(key, answer);
    }
}

void Host::otherPacket(const Packet &packet, const std::string &bytes)
{
    const Key key {packet.source, packet.destination};
    const auto found = m_flows.find(key);
    if (found == m_flows.end() && m_ended.contains(key)) {
        Packet answer;
        answer.sequence = packet.acknowledgement;
        answer.acknowledgement = packet.sequence + 1;
        answer.ack = packet.data.empty();
        answer.rst = !packet.data.empty();
        if (packet.fin || answer.rst) {
            sendTo(key, answer);
        }
        return;
    }
    const bool opens = found != m_flows.end() && packet.ack && packet.acknowledgement == found->second.ownSequence + 1;
    if (found == m_flows.end() || (!found->second.isOpen && !opens)) {
        sendUdp(m_socket, m_settings.outbound, bounced(bytes));
        return;
    }
    Flow &flow = found->second;
    flow.isOpen = true;
    if (packet.rst) {
        m_flows.erase(found);
        return;
    }
    const auto pending = static_cast<std::uint32_t>(flow.answer.size());
    if (pending > 0 && packet.acknowledgement == flow.nextToSend + pending) {
        flow.nextToSend += pending;
        flow.answer.clear();
    }
    if (!packet.data.empty() && packet.sequence == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        run(key, packet);
    }
    Packet answer;
    answer.sequence = flow.nextToSend;
    answer.acknowledgement = flow.received + (packet.fin ? 1 : 0);
    answer.ack = true;
    answer.fin = packet.fin;
    if (packet.fin) {
        m_flows.erase(found);
        m_ended.insert(key);
    }
    if (packet.fin || !packet.data.empty()) {
        sendTo(key, answer);
    }
}

void Host::run(const Key &key, const Packet &packet)
{
    m_record.line("host " + m_settings.id + " of " + m_settings.service + " runs " + packet.data);
    if (ran) {
        ran(packet, packet.data);
    }
    m_loop.after(m_settings.workTime, [this, alive = m_isAlive, key, request = packet.data] {
        const auto found = *alive ? m_flows.find(key) : m_flows.end();
        if (!*alive || found == m_flows.end() || m_isSilent) {
            return;
        }
        found->second.answer = "200 " + request + " by " + m_settings.id;
        found->second.sent = 0;
        sendAnswer(key, found->second);
    });
}

void Host::sendAnswer(const Key &key, Flow &flow)
{
    Packet answer;
    answer.sequence = flow.nextToSend;
    answer.acknowledgement = flow.received;
    answer.ack = true;
    answer.data = flow.answer;
    flow.sentAt = Clock::now();
    ++flow.sent;
    sendTo(key, answer);
}

void Host::repeatLost()
{
    if (m_isSilent) {
        return;
    }
    for (auto &[key, flow] : m_flows) {
        const bool isLost = !flow.answer.empty() && Clock::now() - flow.sentAt >= s_firstRepeat;
        if (isLost && flow.sent <= s_mostRepeats) {
            sendAnswer(key, flow);
        }
    }
}

void Host::report()
{
    if (m_isSilent) {
        return;
    }
    ++m_sequence;
    const std::string body = R"({"service":")" + m_settings.service + R"(","address":")" + toString(m_settings.address)
        + R"(","zone":")" + m_settings.zone + R"(","version":"v1","concurrency":)" + std::to_string(m_settings.slots)
        + R"(,"state":"ready","slow_start_ms":0,"sequence":)" + std::to_string(m_sequence) + R"(,"born":)"
        + std::to_string(m_born) + "}";
    callHttp(m_loop,
             m_settings.control,
             {"PUT", "/api/instances/" + m_settings.id, body},
             s_acknowledgementLimit,
             [alive = m_isAlive, this, sequence = m_sequence](int status) {
                 if (*alive) {
                     m_record.line("status report " + std::to_string(sequence) + " of host " + m_settings.id + " ("
                                   + m_settings.service + "): " + std::to_string(status));
                 }
             });
}

void Host::sendTo(const Key &key, Packet packet)
{
    packet.source = key.second;
    packet.destination = key.first;
    sendUdp(m_socket, m_settings.outbound, encode(packet));
}

} // namespace review
