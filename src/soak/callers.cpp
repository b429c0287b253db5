#include "soak/callers.h"

#include "standin/sockets.h"

#include <cstdlib>
#include <utility>

namespace samphireswitch::soak {

namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds s_tick {10};
// PROTOCOL.md, Flows: copies of a first packet after 200 and 600 ms, the end of the attempt after 1.4 s.
constexpr std::array<std::chrono::milliseconds, 3> s_firstPacketsAt {std::chrono::milliseconds(0),
                                                                     std::chrono::milliseconds(200),
                                                                     std::chrono::milliseconds(600)};
constexpr std::chrono::milliseconds s_openLimit {1400};
// A flow that is kept open is replaced after so long.
constexpr std::chrono::milliseconds s_flowAge {20000};
// Largest distance of a reset's number from the caller's last acknowledgement.
constexpr std::int64_t s_resetWindow = 76800;
constexpr std::size_t s_reportedFailures = 200;
constexpr std::uint16_t s_firstPort = 10000;

const char *outcomeName(std::uint64_t RequestCounts::*outcome)
{
    if (outcome == &RequestCounts::refused) {
        return "refused";
    }
    if (outcome == &RequestCounts::unopened) {
        return "unopened";
    }
    return outcome == &RequestCounts::broken ? "broken" : "late";
}

} // namespace

Callers::Source::Source(boost::asio::io_context &context, const Endpoint &boundTo)
    : socket(context)
    , endpoint(boundTo)
    , nextPort(s_firstPort)
{
}

Callers::Callers(boost::asio::io_context &context,
                 Fabric &fabric,
                 PromiseCheck &check,
                 const CallerSettings &settings,
                 std::uint64_t seed)
    : m_context(context)
    , m_fabric(fabric)
    , m_check(check)
    , m_settings(settings)
    , m_timer(context)
    , m_random(seed)
{
}

Result<void> Callers::listen(const Endpoint &endpoint)
{
    auto source = std::make_unique<Source>(m_context, endpoint);
    BOOST_LEAF_CHECK(standin::bindTo(source->socket, standin::toUdp(endpoint)));
    receive(*source);
    m_sources.push_back(std::move(source));
    return {};
}

void Callers::start()
{
    m_lastTick = Clock::now();
    tick();
}

void Callers::nameSender(std::uint32_t address, std::string name)
{
    m_senders[address] = std::move(name);
}

void Callers::add(const RequestKind &kind)
{
    m_kinds.push_back({kind, 0, 0});
}

void Callers::setServed(const Endpoint &route, bool isServed)
{
    for (Kind &kind : m_kinds) {
        if (kind.settings.route == route) {
            kind.settings.isServed = isServed;
        }
    }
}

void Callers::expectAnswers()
{
    m_answersExpected = true;
}

void Callers::finish()
{
    m_isFinishing = true;
}

void Callers::setFrozen(bool frozen)
{
    m_isFrozen = frozen;
    if (frozen) {
        return;
    }
    for (const auto &source : m_sources) {
        if (std::exchange(source->isPaused, false)) {
            readAll(*source);
        }
    }
}

bool Callers::hasRequestsUnderWay() const
{
    for (const auto &[key, flow] : m_flows) {
        // A flow that is not open yet has its request before it.
        if (flow.request || !flow.stream) {
            return true;
        }
    }
    return false;
}

const std::map<std::string, RequestCounts> &Callers::counts() const
{
    return m_counts;
}

const std::vector<FailedRequest> &Callers::failures() const
{
    return m_failures;
}

void Callers::receive(Source &source)
{
    source.socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this, &source](const error_code &error) {
        if (error) {
            return;
        }
        source.isPaused = m_isFrozen;
        if (!m_isFrozen) {
            readAll(source);
        }
    });
}

void Callers::readAll(Source &source)
{
    error_code receiveError;
    while (true) {
        boost::asio::ip::udp::endpoint sender;
        const std::size_t size = source.socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, receiveError);
        if (receiveError) {
            break;
        }
        const auto name = m_senders.find(sender.address().to_v4().to_uint());
        handle(std::string(m_buffer.data(), size), name == m_senders.end() ? "unknown" : name->second);
    }
    receive(source);
}

void Callers::handle(const std::string &bytes, const std::string &sender)
{
    const TimePoint now = Clock::now();
    const auto packet = decodePacket(bytes);
    const bool isSystemReset = packet && packet->head.rst && packet->data.empty() && !packet->isAuthentic;
    if (!packet || (!packet->isAuthentic && !isSystemReset)) {
        m_check.violated(Promise::Mixed, now, "a caller got a packet of " + sender + " that no upstream wrote so");
        return;
    }
    const auto flow = m_flows.find(flow::reversed(packet->head.key));
    if (flow == m_flows.end()) {
        return;
    }
    if (packet->head.rst) {
        handleReset(flow, *packet, sender, now);
        return;
    }
    if (packet->head.syn && !flow->second.stream) {
        flow->second.stream =
            std::make_unique<Stream>(flow->first,
                                     flow->second.initialSequence + 1,
                                     packet->head.sequenceNumber + 1,
                                     [this, key = flow->first](const flow::Segment &head, std::string_view data) {
                                         m_fabric.send(key, false, encodePacket(head, data), Clock::now());
                                     });
        flow->second.stream->acknowledge();
        beginRequest(flow->second, now);
        return;
    }
    if (!packet->head.syn && flow->second.stream) {
        handleAnswer(flow, *packet, now);
    }
}

void Callers::handleReset(Flows::iterator flow, const Packet &packet, const std::string &sender, TimePoint now)
{
    const bool isOpen = flow->second.stream != nullptr;
    if (isOpen && !checkReset(flow->first, flow->second, packet, sender, now)) {
        return;
    }
    endRequest(flow->first, flow->second, isOpen ? &RequestCounts::broken : &RequestCounts::refused, now);
    erase(flow);
}

bool Callers::checkReset(const flow::FlowKey &key,
                         const Flow &flow,
                         const Packet &packet,
                         const std::string &sender,
                         TimePoint now)
{
    if (packet.isAuthentic) {
        m_check.upstreamResetArrived(key, sender, now);
        return true;
    }
    const auto distance = static_cast<std::int32_t>(packet.head.sequenceNumber - flow.stream->acknowledged());
    if (std::abs(std::int64_t {distance}) > s_resetWindow) {
        m_check.violated(Promise::Mixed, now, "a reset of " + sender + " has a number that is far off");
        return false;
    }
    m_check.resetArrived(key, sender, now);
    return true;
}

void Callers::handleAnswer(Flows::iterator flow, const Packet &packet, TimePoint now)
{
    flow->second.received += flow->second.stream->receive(packet, now);
    takeAnswer(flow->first, flow->second, now);
    Flow &state = flow->second;
    if (state.stream->isClosedByPeer() && !state.isClosing) {
        state.isClosing = true;
        state.stream->close(now);
        if (state.request) {
            endRequest(flow->first, state, &RequestCounts::broken, now);
        }
    }
    if (state.stream->isFinished()) {
        m_check.flowEnded(flow->first);
        erase(flow);
    }
}

void Callers::takeAnswer(const flow::FlowKey &key, Flow &flow, TimePoint now)
{
    if (!flow.request) {
        if (!flow.received.empty()) {
            m_check.violated(Promise::Mixed, now, "bytes without a request on " + flow::toString(key));
            flow.received.clear();
        }
        return;
    }
    const std::size_t size = answerSize(*flow.request);
    if (flow.received.size() < size) {
        return;
    }
    if (flow.received != encodeAnswer(*flow.request)) {
        m_check.violated(Promise::Mixed, now, "a wrong answer on " + flow::toString(key));
    }
    flow.received.clear();
    endRequest(key, flow, &RequestCounts::answered, now);
    flow.nextRequestAt = now + m_kinds[flow.kind].settings.pause;
    const bool isKept = m_kinds[flow.kind].settings.keptFlows > 0 && now - flow.begunAt < s_flowAge && !m_isFinishing;
    if (!isKept && !flow.isClosing) {
        flow.isClosing = true;
        flow.stream->close(now);
    }
}

void Callers::tick()
{
    const TimePoint now = Clock::now();
    if (!m_isFrozen) {
        startFlows(now);
        advanceAll(now);
        m_lastTick = now;
    }
    m_timer.expires_after(s_tick);
    m_timer.async_wait([this](const error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void Callers::advanceAll(TimePoint now)
{
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        flow = advance(flow->first, flow->second, now) ? std::next(flow) : erase(flow);
    }
}

void Callers::startFlows(TimePoint now)
{
    if (m_isFinishing) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_lastTick).count();
    for (std::size_t index = 0; index < m_kinds.size(); ++index) {
        Kind &kind = m_kinds[index];
        kind.due += kind.settings.flowsPerSecond * seconds;
        for (; kind.due >= 1; kind.due -= 1) {
            openFlow(index, now);
        }
        while (kind.open < kind.settings.keptFlows && openFlow(index, now)) { }
    }
}

bool Callers::openFlow(std::size_t kind, TimePoint now)
{
    const auto key = nextKey(m_kinds[kind].settings.route);
    if (!key) {
        return false;
    }
    // The port's former flow may be on record still, as one that its upstream has not seen the end of.
    m_check.flowEnded(*key);
    Flow flow;
    flow.kind = kind;
    flow.initialSequence = static_cast<std::uint32_t>(m_random());
    flow.begunAt = now;
    flow.requestBegunAt = now;
    flow.isExpected = m_answersExpected && m_kinds[kind].settings.isServed;
    m_flows.emplace(*key, std::move(flow));
    ++m_kinds[kind].open;
    return true;
}

std::optional<flow::FlowKey> Callers::nextKey(const Endpoint &route)
{
    if (m_sources.empty()) {
        return std::nullopt;
    }
    Source &source = *m_sources[m_nextSource++ % m_sources.size()];
    for (unsigned tried = 0; tried < m_settings.ports; ++tried) {
        const std::uint16_t port = source.nextPort;
        source.nextPort = static_cast<std::uint16_t>(s_firstPort + (port - s_firstPort + 1U) % m_settings.ports);
        const flow::FlowKey key {{source.endpoint.address, port}, route};
        if (!m_flows.contains(key)) {
            return key;
        }
    }
    return std::nullopt;
}

void Callers::beginRequest(Flow &flow, TimePoint now)
{
    const RequestKind &kind = m_kinds[flow.kind].settings;
    RequestHead request;
    request.request = m_nextRequest++;
    request.bodySize = kind.bodySize;
    request.answerSize = kind.answerSize;
    request.workMilliseconds = kind.workMilliseconds;
    flow.request = request;
    flow.requestBegunAt = now;
    flow.isExpected = flow.isExpected || (m_answersExpected && kind.isServed);
    m_check.requestSent(request.request);
    flow.stream->write(encodeRequest(request), now);
}

void Callers::sendFirstPacket(const flow::FlowKey &key, Flow &flow, TimePoint now)
{
    flow::Segment head;
    head.key = key;
    head.sequenceNumber = flow.initialSequence;
    head.syn = true;
    head.synRetransmissions = flow.firstPackets++;
    m_fabric.send(key, true, encodePacket(head, {}), now);
}

bool Callers::advance(const flow::FlowKey &key, Flow &flow, TimePoint now)
{
    if (!flow.stream) {
        if (flow.firstPackets < s_firstPacketsAt.size() && now - flow.begunAt >= s_firstPacketsAt[flow.firstPackets]) {
            sendFirstPacket(key, flow, now);
        }
        if (now - flow.begunAt >= s_openLimit) {
            endRequest(key, flow, &RequestCounts::unopened, now);
            return false;
        }
        return true;
    }
    flow.stream->repeatLost(now);
    const bool isLate =
        (flow.request || flow.isClosing) && now - flow.requestBegunAt >= m_kinds[flow.kind].settings.timeBudget;
    if (isLate || flow.stream->hasFailed()) {
        abort(key, flow, now);
        return false;
    }
    if (!flow.request && !flow.isClosing) {
        if (m_isFinishing) {
            flow.isClosing = true;
            flow.stream->close(now);
        } else if (now >= flow.nextRequestAt) {
            beginRequest(flow, now);
        }
    }
    return true;
}

void Callers::endRequest(const flow::FlowKey &key, Flow &flow, std::uint64_t RequestCounts::*outcome, TimePoint now)
{
    const bool hadRequest = flow.request || !flow.stream;
    if (!hadRequest) {
        return;
    }
    const RequestKind &kind = m_kinds[flow.kind].settings;
    ++(m_counts[kind.name].*outcome);
    const bool hasFailed = outcome != &RequestCounts::answered && kind.isServed;
    if (hasFailed && m_failures.size() < s_reportedFailures) {
        m_failures.push_back({now, kind.name, outcomeName(outcome), key});
    }
    if (hasFailed && flow.isExpected) {
        m_check.violated(Promise::Recovery,
                         now,
                         "a request of " + kind.name + " failed in calm times: " + flow::toString(key)
                             + (flow.stream ? ", open" : ", not open"));
    }
    flow.request.reset();
}

void Callers::abort(const flow::FlowKey &key, Flow &flow, TimePoint now)
{
    endRequest(key, flow, &RequestCounts::late, now);
    flow::Segment head;
    head.key = key;
    head.acknowledgementNumber = flow.stream->acknowledged();
    head.ack = true;
    head.rst = true;
    m_fabric.send(key, false, encodePacket(head, {}), now);
    m_check.flowEnded(key);
}

Callers::Flows::iterator Callers::erase(Flows::iterator flow)
{
    --m_kinds[flow->second.kind].open;
    return m_flows.erase(flow);
}

} // namespace samphireswitch::soak
