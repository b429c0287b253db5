#include "requesters.h"

#include "standin/sockets.h"

#include <utility>

namespace samphireswitch::review {

namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds s_tick {10};
constexpr std::array<std::chrono::milliseconds, 3> s_firstPacketsAt {std::chrono::milliseconds(0),
                                                                     std::chrono::milliseconds(200),
                                                                     std::chrono::milliseconds(600)};
constexpr std::chrono::milliseconds s_openLimit {1400};
// The time budget of a weigh entry.
constexpr std::chrono::milliseconds s_timeBudget {2500};
const std::string s_answerEnd = "\r\n\r\nok";

} // namespace

Requesters::Requesters(boost::asio::io_context &context, soak::Fabric &fabric, Judge &judge, Record &record)
    : m_fabric(fabric)
    , m_judge(judge)
    , m_record(record)
    , m_socket(context)
    , m_timer(context)
    , m_random(std::random_device {}())
{
}

bool Requesters::start(const Endpoint &endpoint)
{
    m_endpoint = endpoint;
    if (!standin::bindTo(m_socket, standin::toUdp(endpoint))) {
        return false;
    }
    receive();
    tick();
    return true;
}

void Requesters::nameSender(std::uint32_t address, std::string name)
{
    m_senders[address] = std::move(name);
}

void Requesters::open(const FlowPlan &plan)
{
    const flow::FlowKey key {{m_endpoint.address, m_nextPort++}, plan.route};
    Flow &flow = m_flows[key];
    flow.plan = plan;
    flow.initialSequence = static_cast<std::uint32_t>(m_random());
    flow.begunAt = Clock::now();
    sendFirstPacket(key, flow);
}

std::size_t Requesters::answered() const
{
    return m_answered;
}

std::size_t Requesters::unanswered() const
{
    return m_unanswered;
}

void Requesters::receive()
{
    m_socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this](const error_code &error) {
        if (error) {
            return;
        }
        error_code receiveError;
        while (true) {
            boost::asio::ip::udp::endpoint sender;
            const std::size_t size = m_socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, receiveError);
            if (receiveError) {
                break;
            }
            const auto name = m_senders.find(sender.address().to_v4().to_uint());
            handle(std::string(m_buffer.data(), size), name == m_senders.end() ? "unknown" : name->second);
        }
        receive();
    });
}

void Requesters::handle(const std::string &bytes, const std::string &sender)
{
    const auto packet = soak::decodePacket(bytes);
    if (!packet) {
        return;
    }
    const auto found = m_flows.find(flow::reversed(packet->head.key));
    if (found == m_flows.end()) {
        return;
    }
    const flow::FlowKey &key = found->first;
    Flow &flow = found->second;
    if (packet->head.rst) {
        handleReset(found, *packet, sender);
        return;
    }
    if (packet->head.syn && !flow.stream) {
        flow.stream =
            std::make_unique<soak::Stream>(key,
                                           flow.initialSequence + 1,
                                           packet->head.sequenceNumber + 1,
                                           [this, key](const flow::Segment &head, std::string_view data) {
                                               m_fabric.send(key, false, soak::encodePacket(head, data), Clock::now());
                                           });
        flow.stream->acknowledge();
        begin(key, flow);
        return;
    }
    if (packet->head.syn || !flow.stream) {
        return;
    }
    flow.received += flow.stream->receive(*packet, Clock::now());
    takeAnswer(key, flow);
    if (flow.stream->isClosedByPeer() && !std::exchange(flow.isClosing, true)) {
        flow.stream->close(Clock::now());
    }
    if (flow.stream->isFinished()) {
        m_judge.flowEnded(key);
        m_flows.erase(found);
    }
}

void Requesters::handleReset(Flows::iterator found, const soak::Packet &packet, const std::string &sender)
{
    const flow::FlowKey key = found->first;
    if (found->second.stream && !packet.isAuthentic) {
        m_judge.resetArrived(key, sender);
    }
    fail(key, found->second, "reset by " + sender);
    m_flows.erase(found);
}

void Requesters::begin(const flow::FlowKey &key, Flow &flow)
{
    flow.request = "a-" + std::to_string(m_nextRequest++);
    ++flow.begun;
    flow.requestAt = Clock::now();
    m_record.write("request " + flow.request + " sent on " + flow::toString(key));
    flow.stream->write("POST /entries/" + flow.request + " HTTP/1.1\r\nHost: tally\r\nContent-Length: 0\r\nAttempt-Id: "
                           + flow.request + "\r\n\r\n",
                       flow.requestAt);
}

void Requesters::takeAnswer(const flow::FlowKey &key, Flow &flow)
{
    const std::size_t end = flow.received.find(s_answerEnd);
    if (flow.request.empty() || end == std::string::npos) {
        return;
    }
    flow.received.erase(0, end + s_answerEnd.size());
    m_record.write("request " + flow.request + " answered on " + flow::toString(key));
    flow.request.clear();
    ++m_answered;
    flow.nextRequestAt = Clock::now() + flow.plan.pause;
    if (flow.begun == flow.plan.requests) {
        flow.isClosing = true;
        flow.stream->close(Clock::now());
    }
}

void Requesters::sendFirstPacket(const flow::FlowKey &key, Flow &flow)
{
    flow::Segment head;
    head.key = key;
    head.sequenceNumber = flow.initialSequence;
    head.syn = true;
    head.synRetransmissions = flow.firstPackets++;
    m_fabric.send(key, true, soak::encodePacket(head, {}), Clock::now());
}

bool Requesters::advance(const flow::FlowKey &key, Flow &flow)
{
    const TimePoint now = Clock::now();
    if (!flow.stream) {
        if (flow.firstPackets < s_firstPacketsAt.size() && now - flow.begunAt >= s_firstPacketsAt[flow.firstPackets]) {
            sendFirstPacket(key, flow);
        }
        if (now - flow.begunAt >= s_openLimit) {
            fail(key, flow, "not opened");
            return false;
        }
        return true;
    }
    flow.stream->repeatLost(now);
    const bool isLate = !flow.request.empty() && now - flow.requestAt >= s_timeBudget;
    if (isLate || flow.stream->hasFailed()) {
        fail(key, flow, "no answer in time");
        m_judge.flowEnded(key);
        return false;
    }
    if (flow.request.empty() && !flow.isClosing && now >= flow.nextRequestAt) {
        begin(key, flow);
    }
    return true;
}

void Requesters::fail(const flow::FlowKey &key, Flow &flow, const std::string &reason)
{
    if (flow.stream && flow.request.empty()) {
        return;
    }
    ++m_unanswered;
    m_record.write("request " + flow.request + " failed on " + flow::toString(key) + ": " + reason);
    flow.request.clear();
}

void Requesters::tick()
{
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        flow = advance(flow->first, flow->second) ? std::next(flow) : m_flows.erase(flow);
    }
    m_timer.expires_after(s_tick);
    m_timer.async_wait([this](const error_code &error) {
        if (!error) {
            tick();
        }
    });
}

} // namespace samphireswitch::review
