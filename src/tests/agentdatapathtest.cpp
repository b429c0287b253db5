#include "agent/agentdatapath.h"
#include "protocol/datagramcodec.h"
#include "standin/loopbacknetwork.h"
#include "tests/testcaller.h"
#include "tests/testtimes.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace samphireswitch::tests {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr std::uint32_t s_loopback = 0x7f000001;
constexpr std::uint32_t s_serviceAddress = 0x0a140001;
constexpr std::uint32_t s_callerAddress = 0x0a630001;
constexpr std::uint16_t s_dataPort = 8172;
constexpr std::chrono::milliseconds s_noOwnerGrace {400};
// Number of flows in a test that depends on a time limit of the agent. The machine may stall for longer than the limit
// during some of them, but not during all.
constexpr std::uint16_t s_attempts = 20;

/** An upstream on the loopback address that calls a function for each accepted connection, one at a time. */
class TestUpstream
{
public:
    using Serve = std::function<void(tcp::socket &socket)>;

    explicit TestUpstream(Serve serve)
        : m_serve(std::move(serve))
        , m_thread([this] { run(); })
    {
    }

    ~TestUpstream()
    {
        m_stopping = true;
        tcp::socket wakeUp(m_io);
        boost::system::error_code ignored;
        wakeUp.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    TestUpstream(const TestUpstream &) = delete;
    TestUpstream &operator=(const TestUpstream &) = delete;

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    void run()
    {
        while (!m_stopping) {
            tcp::socket socket(m_io);
            m_acceptor.accept(socket);
            if (!m_stopping) {
                m_serve(socket);
            }
        }
    }

    Serve m_serve;
    std::atomic<bool> m_stopping {false};
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor {m_io, tcp::endpoint(boost::asio::ip::address_v4(s_loopback), 0)};
    std::thread m_thread;
};

/**
 * Reserves a loopback port on which nothing listens while the object exists, so that connections to the port are
 * refused.
 */
class ClosedPort
{
public:
    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    static tcp::acceptor bindOnly(boost::asio::io_context &io)
    {
        tcp::acceptor acceptor(io);
        acceptor.open(tcp::v4());
        acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4(s_loopback), 0));
        return acceptor;
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor {bindOnly(m_io)};
};

/** Sets a flag at the end of a test, also of one that fails, so that the upstream's thread ends. */
class SetAtEnd
{
public:
    explicit SetAtEnd(std::atomic<bool> &flag)
        : m_flag(flag)
    {
    }

    ~SetAtEnd()
    {
        m_flag = true;
    }

    SetAtEnd(const SetAtEnd &) = delete;
    SetAtEnd &operator=(const SetAtEnd &) = delete;

private:
    std::atomic<bool> &m_flag;
};

/** Simulates a path that loses, duplicates and reorders packets, with a fixed seed. */
class Impairment
{
public:
    void enable()
    {
        m_enabled = true;
    }

    void pass(std::vector<std::byte> packet, const std::function<void(const std::vector<std::byte> &)> &next)
    {
        const std::uint32_t draw = m_enabled ? m_random() % 100 : 100;
        if (draw < 2) {
            return;
        }
        if (draw < 4) {
            next(packet);
        } else if (draw < 8) {
            m_held.push_back(std::move(packet));
            return;
        }
        next(packet);
        for (const auto &held : std::exchange(m_held, {})) {
            next(held);
        }
    }

private:
    bool m_enabled = false;
    std::mt19937 m_random {20240611};
    std::vector<std::vector<std::byte>> m_held;
};

/** Fixture with a running AgentDataPath. The test takes the roles of the balancer, the fabric and the callers. */
class AgentDataPathTest : public testing::Test
{
protected:
    admission::ServiceTerms terms() const
    {
        admission::ServiceTerms terms;
        terms.service = ServiceId::fromName("tally");
        terms.address = s_serviceAddress;
        terms.requestPort = m_requestPort;
        terms.slots = 3;
        terms.connections = 100;
        terms.deadline = s_ampleTime;
        terms.namesHost = true;
        terms.generation = 1;
        return terms;
    }

    void start(std::uint16_t requestPort, std::chrono::milliseconds halfOpenTimeout = s_ampleTime)
    {
        m_requestPort = requestPort;
        discardPackets();
        agent::AgentDataSettings settings;
        settings.host = "h1";
        settings.service = "tally";
        settings.dataAddress = {m_network.address(1), s_dataPort};
        settings.fabricAddress = ownEndpoint();
        settings.upstreamAddress = s_loopback;
        settings.admission.noOwnerGrace = s_noOwnerGrace;
        settings.admission.halfOpenTimeout = halfOpenTimeout;
        m_self = {AgentId::fromHostName(settings.host), settings.dataAddress};
        m_path = std::make_unique<agent::AgentDataPath>(settings, m_events);
        ASSERT_TRUE(m_path->open());
        m_path->post(admission::ServiceTermsChanged {terms()});
        m_path->post(admission::MembersChanged {{m_self}, 1});
        m_thread = std::thread([this] { m_path->run(); });
    }

    void stop()
    {
        if (m_thread.joinable()) {
            m_path->requestStop();
            m_thread.join();
        }
        m_path.reset();
    }

    ~AgentDataPathTest() override
    {
        stop();
    }

    flow::FlowKey key(std::uint16_t callerPort) const
    {
        return {{s_callerAddress, callerPort}, {s_serviceAddress, m_requestPort}};
    }

    TestCaller &addCaller(std::uint16_t port, std::uint32_t initialSequence = TestCaller::s_initialSequence)
    {
        const auto send = [this](const std::vector<std::byte> &packet) {
            m_toAgent.pass(packet, [this](const auto &passed) { sendEnvelope(passed); });
        };
        return *m_callers.emplace(port, std::make_unique<TestCaller>(key(port), send, initialSequence)).first->second;
    }

    /** Header of an envelope whose chain contains only the agent under test. */
    protocol::EnvelopeHeader makeHeader() const
    {
        protocol::EnvelopeHeader header;
        header.service = ServiceId::fromName("tally");
        header.generation = 1;
        header.origin = ownEndpoint();
        header.chain = {m_self};
        header.eligible = 1;
        return header;
    }

    Endpoint ownEndpoint() const
    {
        return {s_loopback, m_fabric.local_endpoint().port()};
    }

    void sendEnvelope(std::span<const std::byte> packet)
    {
        sendEnvelope(makeHeader(), packet);
    }

    void sendEnvelope(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet)
    {
        const auto bytes = m_codec.encodeEnvelope(header, packet);
        ASSERT_TRUE(bytes);
        const udp::endpoint agent(boost::asio::ip::address_v4(m_self.endpoint.address), m_self.endpoint.port);
        m_fabric.send_to(boost::asio::buffer(bytes->data(), bytes->size()), agent);
    }

    /** Delivers packets to the callers until @p condition is true. Returns false if @p timeout is exceeded first. */
    bool runUntil(const std::function<bool()> &condition, Clock::duration timeout = s_ampleTime)
    {
        const TimePoint end = Clock::now() + timeout;
        while (!condition()) {
            if (Clock::now() > end) {
                return false;
            }
            receivePackets();
            for (const auto &[port, caller] : m_callers) {
                caller->retransmit(Clock::now());
            }
        }
        return true;
    }

    void receivePackets()
    {
        pollfd descriptor {m_fabric.native_handle(), POLLIN, 0};
        if (::poll(&descriptor, 1, 5) <= 0) {
            return;
        }
        std::vector<std::byte> packet(2048);
        packet.resize(m_fabric.receive(boost::asio::buffer(packet)));
        m_toCallers.pass(std::move(packet), [this](const auto &passed) { dispatch(passed); });
    }

    /** Discards what an agent that has stopped has sent. */
    void discardPackets()
    {
        std::vector<std::byte> packet(2048);
        while (m_fabric.available() > 0) {
            m_fabric.receive(boost::asio::buffer(packet));
        }
    }

    void dispatch(std::span<const std::byte> packet)
    {
        const auto view = flow::PacketView::parse(packet);
        if (!view) {
            const auto datagram = m_codec.decode(packet);
            ASSERT_TRUE(datagram);
            m_message = datagram->message;
            return;
        }
        ++m_packetsFromAgent;
        EXPECT_TRUE(hasValidChecksums(packet));
        const auto caller = m_callers.find(view->key().destination.port);
        if (caller != m_callers.end()) {
            caller->second->receive(*view);
        }
    }

    /** Whether the published status has counted a flow and shows that all flows have ended. */
    bool hasNoFlows() const
    {
        const auto status = m_path->status();
        return status->counters.accepted > 0 && status->connectionsHeld == 0 && status->busySlots == 0;
    }

    std::vector<std::string> eventKinds() const
    {
        std::vector<std::string> kinds;
        for (const auto &event : m_events.eventsSince(0)) {
            kinds.push_back(event.kind);
        }
        return kinds;
    }

    standin::LoopbackNetwork m_network = standin::LoopbackNetwork::reserve().value();
    boost::asio::io_context m_io;
    udp::socket m_fabric {m_io, udp::endpoint(boost::asio::ip::address_v4(s_loopback), 0)};
    telemetry::EventLog m_events {"agent", 10000};
    protocol::DatagramCodec m_codec;
    protocol::Candidate m_self;
    std::unique_ptr<agent::AgentDataPath> m_path;
    std::thread m_thread;
    std::uint16_t m_requestPort = 0;
    std::map<std::uint16_t, std::unique_ptr<TestCaller>> m_callers;
    Impairment m_toAgent;
    Impairment m_toCallers;
    std::size_t m_packetsFromAgent = 0;
    /** The last message of the agent that is not a packet to a caller. The packet inside an envelope is not kept. */
    std::optional<protocol::Message> m_message;
};

std::string readAll(tcp::socket &socket)
{
    std::string bytes;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
}

std::string readSome(tcp::socket &socket)
{
    std::array<char, 4096> buffer {};
    boost::system::error_code error;
    return {buffer.data(), socket.read_some(boost::asio::buffer(buffer), error)};
}

/**
 * Waits until the peer's kernel has acknowledged all bytes written to @p socket, because a reset discards unsent bytes.
 */
void awaitDelivery(tcp::socket &socket)
{
    int unsent = 1;
    while (::ioctl(socket.native_handle(), SIOCOUTQ, &unsent) == 0 && unsent > 0) {
        std::this_thread::sleep_for(1ms);
    }
}

void resetConnection(tcp::socket &socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

std::string makeBytes(std::size_t size)
{
    std::mt19937 random(7);
    std::string bytes(size, '\0');
    std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(random()); });
    return bytes;
}

} // namespace

// Guards against lost bytes or missing events in the simplest case, and against a flow that never ends.
TEST_F(AgentDataPathTest, RelaysARequestAndItsAnswer)
{
    TestUpstream upstream([](tcp::socket &socket) {
        const std::string request = readSome(socket);
        boost::asio::write(socket, boost::asio::buffer("answer to " + request));
    });
    start(upstream.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    caller.write("request");
    ASSERT_TRUE(runUntil([&] { return caller.receivedFin(); }));
    EXPECT_EQ(caller.received(), "answer to request");
    caller.finish();
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
    const std::vector<std::string> expected {
        "flow-accepted", "handshake-completed", "upstream-connected", "answer-started", "flow-ended"};
    EXPECT_EQ(eventKinds(), expected);
    EXPECT_EQ(m_path->status()->counters.answered, 1U);
}

// Guards against a caller that gets no answer to its FIN, or a reset, because the last acknowledgement was lost. An
// ended flow answers for a limited time.
TEST_F(AgentDataPathTest, RetransmittedFinIsAcknowledgedAgain)
{
    TestUpstream upstream([](tcp::socket &socket) { readSome(socket); });
    start(upstream.port());
    bool isAcknowledged = false;
    for (std::uint16_t port = 5000; port < 5000 + s_attempts && !isAcknowledged; ++port) {
        TestCaller &caller = addCaller(port);
        caller.connect();
        caller.write("request");
        ASSERT_TRUE(runUntil([&] { return caller.receivedFin(); }));
        const std::size_t beforeFin = m_packetsFromAgent;
        caller.finish();
        ASSERT_TRUE(runUntil([&] { return m_packetsFromAgent > beforeFin; }));
        ASSERT_TRUE(runUntil([&] { return m_path->status()->connectionsHeld == 0; }));
        const std::size_t before = m_packetsFromAgent;
        const std::uint32_t finSequence = TestCaller::s_initialSequence + 1 + std::string_view("request").size();
        const auto next = caller.offeredSequence() + 2 + static_cast<std::uint32_t>(caller.received().size());
        sendEnvelope(makePacket(key(port), {finSequence, next, TH_ACK | TH_FIN}));
        isAcknowledged = runUntil([&] { return m_packetsFromAgent > before; }, 1s);
        EXPECT_FALSE(caller.wasReset());
    }
    EXPECT_TRUE(isAcknowledged);
}

// Guards against initial sequence numbers that are predictable, or equal on two agents: if both accepted the same flow,
// the caller's acknowledgement would complete the handshake on both, and the request would run twice.
TEST_F(AgentDataPathTest, AgentsAnswerTheSameFirstPacketWithDifferentNumbers)
{
    std::set<std::uint32_t> offered;
    for (int agent = 0; agent < 2; ++agent) {
        ClosedPort closed;
        start(closed.port());
        m_callers.clear();
        TestCaller &caller = addCaller(5000);
        caller.connect();
        ASSERT_TRUE(runUntil([&] { return caller.isEstablished(); }));
        offered.insert(caller.offeredSequence());
        stop();
    }
    EXPECT_EQ(offered.size(), 2U);
}

// Guards against the TCP stack resetting connections that are unknown to it but may be owned by another agent.
TEST_F(AgentDataPathTest, ResetsAFlowWithoutOwnerOnlyAfterTheGracePeriod)
{
    ClosedPort closed;
    start(closed.port());
    TestCaller &caller = addCaller(5000);
    const auto packet = makePacket(key(5000), {100, 200, TH_ACK, "data"});
    // The agent counts from the first packet that it has handled, which is later by as much as its thread was not
    // scheduled. So the caller goes on to send, as callers do.
    const TimePoint firstSent = Clock::now();
    TimePoint lastSent;
    ASSERT_TRUE(runUntil([&] {
        if (Clock::now() - lastSent >= 50ms) {
            lastSent = Clock::now();
            sendEnvelope(packet);
        }
        return caller.wasReset();
    }));
    EXPECT_GE(Clock::now() - firstSent, s_noOwnerGrace);
}

// Guards against lost, repeated or swapped bytes when packets are dropped, duplicated and reordered both ways.
TEST_F(AgentDataPathTest, LargeTransfersArriveWholeOverAnUnreliablePath)
{
    const std::string request = makeBytes(256 << 10);
    const std::string answer = makeBytes(3 << 20);
    std::string received;
    TestUpstream upstream([&](tcp::socket &socket) {
        received = readAll(socket);
        boost::asio::write(socket, boost::asio::buffer(answer));
    });
    start(upstream.port());
    m_toAgent.enable();
    m_toCallers.enable();
    TestCaller &caller = addCaller(5000);
    caller.connect();
    caller.write(request);
    caller.finish();
    ASSERT_TRUE(runUntil([&] { return caller.receivedFin() || caller.wasReset(); }, 5 * s_ampleTime));
    EXPECT_TRUE(caller.received() == answer) << caller.received().size();
    EXPECT_TRUE(received == request) << received.size();
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
}

// Guards against a truncated answer: an upstream that closes with unread request bytes causes a reset, which must not
// reach the caller before the end of the answer.
TEST_F(AgentDataPathTest, AnswerArrivesWholeBeforeTheUpstreamsReset)
{
    const std::string answer = makeBytes(1 << 20);
    TestUpstream upstream([&](tcp::socket &socket) {
        readSome(socket);
        boost::asio::write(socket, boost::asio::buffer(answer));
        awaitDelivery(socket);
        resetConnection(socket);
    });
    start(upstream.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    caller.write(makeBytes(100000));
    ASSERT_TRUE(runUntil([&] { return caller.receivedFin() || caller.wasReset(); }));
    EXPECT_TRUE(caller.wasReset());
    EXPECT_EQ(caller.received().size(), answer.size());
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
}

// Guards against leaked slots and connections after the upstream refuses a connection, and against a caller that is not
// told.
TEST_F(AgentDataPathTest, ResetsTheCallerWhenTheUpstreamPortIsClosed)
{
    ClosedPort closed;
    start(closed.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    ASSERT_TRUE(runUntil([&] { return caller.wasReset(); }));
    EXPECT_EQ(caller.received(), "");
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
    EXPECT_EQ(m_path->status()->counters.failed, 1U);
}

// Guards against a leaked slot when the caller resets its connection, and against an upstream that keeps working on the
// request.
TEST_F(AgentDataPathTest, CallersResetFreesTheSlotAndCancelsAtTheUpstream)
{
    std::atomic<bool> cancelled {false};
    TestUpstream upstream([&](tcp::socket &socket) {
        readSome(socket);
        std::array<char, 1> byte {};
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(byte), error);
        cancelled = error == boost::asio::error::connection_reset;
    });
    start(upstream.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    caller.write("request");
    ASSERT_TRUE(runUntil([&] { return m_path->status()->busySlots == 1; }));
    caller.reset();
    EXPECT_TRUE(runUntil([&] { return hasNoFlows() && cancelled; }));
    EXPECT_EQ(m_path->status()->counters.failed, 0U);
}

// Guards against reporting success, and against a leaked slot, when the upstream resets the connection before it
// answers.
TEST_F(AgentDataPathTest, UpstreamsResetWithoutAnswerFreesTheSlot)
{
    TestUpstream upstream([&](tcp::socket &socket) {
        readSome(socket);
        resetConnection(socket);
    });
    start(upstream.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    caller.write("request");
    ASSERT_TRUE(runUntil([&] { return caller.wasReset(); }));
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
    EXPECT_EQ(m_path->status()->counters.failed, 1U);
}

// Guards against a leaked slot when the caller never completes the handshake.
TEST_F(AgentDataPathTest, HalfOpenFlowIsCededAfterTheTimeout)
{
    ClosedPort closed;
    start(closed.port(), 500ms);
    sendEnvelope(makePacket(key(5000), {TestCaller::s_initialSequence, 0, TH_SYN}));
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
    const auto kinds = eventKinds();
    EXPECT_EQ(std::count(kinds.begin(), kinds.end(), "flow-ceded"), 1);
}

// Guards against the TCP stack dropping a half-open connection before the half-open timeout. A request would be lost if
// the caller retransmits its acknowledgement late.
TEST_F(AgentDataPathTest, TcpStackKeepsHandshakeForTheHalfOpenTimeout)
{
    TestUpstream upstream([](tcp::socket &socket) { readSome(socket); });
    start(upstream.port(), 15s);
    sendEnvelope(makePacket(key(5000), {TestCaller::s_initialSequence, 0, TH_SYN}));
    ASSERT_TRUE(runUntil([&] { return m_path->status()->connectionsHeld == 1; }));
    EXPECT_FALSE(runUntil([&] { return hasNoFlows(); }, 6s));
    EXPECT_EQ(eventKinds(), std::vector<std::string> {"flow-accepted"});
}

// Guards against ending a flow when the caller closes its sending direction before the answer has arrived.
TEST_F(AgentDataPathTest, CallerThatHasFinishedSendingGetsItsAnswer)
{
    TestUpstream upstream([](tcp::socket &socket) {
        const std::string request = readAll(socket);
        std::this_thread::sleep_for(100ms);
        boost::asio::write(socket, boost::asio::buffer(request));
    });
    start(upstream.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    caller.write("request");
    caller.finish();
    ASSERT_TRUE(runUntil([&] { return caller.receivedFin(); }));
    EXPECT_EQ(caller.received(), "request");
    EXPECT_TRUE(runUntil([&] { return hasNoFlows(); }));
}

// Guards against parked packets that are never accepted, or are accepted while no slot is free. A new host has one
// slot.
TEST_F(AgentDataPathTest, ParkedRequestRunsWhenTheSlotIsFree)
{
    std::atomic<bool> mayAnswer {false};
    std::atomic<bool> isServing {false};
    TestUpstream upstream([&](tcp::socket &socket) {
        isServing = true;
        while (!mayAnswer) {
            std::this_thread::sleep_for(5ms);
        }
        boost::asio::write(socket, boost::asio::buffer(readSome(socket)));
    });
    const SetAtEnd end(mayAnswer);
    bool wasParked = false;
    // A request is accepted ahead, and not parked, if the first handshake took long by comparison with the requests.
    for (int attempt = 0; attempt < s_attempts && !wasParked; ++attempt) {
        stop();
        m_callers.clear();
        isServing = false;
        mayAnswer = false;
        start(upstream.port());
        TestCaller &first = addCaller(5000);
        first.connect();
        first.write("first");
        // Until its handshake is complete at the agent, the first request holds the slot for a limited time only.
        ASSERT_TRUE(runUntil([&] { return isServing.load(); }));
        TestCaller &second = addCaller(5001);
        second.connect();
        second.write("second");
        ASSERT_TRUE(runUntil([&] { return second.isEstablished() || m_path->status()->parkedPackets == 1; }));
        wasParked = !second.isEstablished();
        mayAnswer = true;
        ASSERT_TRUE(runUntil([&] { return first.receivedFin() && second.receivedFin(); }));
        EXPECT_EQ(first.received(), "first");
        EXPECT_EQ(second.received(), "second");
    }
    EXPECT_TRUE(wasParked);
}

// Guards against a draining agent that accepts new flows, and against passing packets on modified or to the wrong
// agent.
TEST_F(AgentDataPathTest, PassesAFirstPacketOnWhileDraining)
{
    ClosedPort closed;
    start(closed.port());
    m_path->post(admission::DrainOrdered {});
    protocol::EnvelopeHeader header = makeHeader();
    header.chain.push_back({AgentId::fromHostName("h2"), ownEndpoint()});
    header.eligible = 2;
    sendEnvelope(header, makePacket(key(5000), {TestCaller::s_initialSequence, 0, TH_SYN}));
    ASSERT_TRUE(runUntil([&] { return m_message.has_value(); }));
    ASSERT_TRUE(std::holds_alternative<protocol::Envelope>(*m_message));
    header.hop = 1;
    EXPECT_EQ(std::get<protocol::Envelope>(*m_message).header, header);
    EXPECT_EQ(eventKinds(), (std::vector<std::string> {"drained", "flow-passed"}));
}

// Guards against a missing hint, without which balancers do not learn the owner of a flow that was passed on.
TEST_F(AgentDataPathTest, SendsAHintWhenItAcceptsAFlowThatWasPassedOn)
{
    ClosedPort closed;
    start(closed.port());
    protocol::EnvelopeHeader header = makeHeader();
    header.chain = {{AgentId::fromHostName("h2"), ownEndpoint()}, m_self};
    header.eligible = 2;
    header.hop = 1;
    sendEnvelope(header, makePacket(key(5000), {TestCaller::s_initialSequence, 0, TH_SYN}));
    ASSERT_TRUE(runUntil([&] { return m_message.has_value(); }));
    EXPECT_EQ(std::get<protocol::OwnerHint>(*m_message), (protocol::OwnerHint {key(5000), m_self, 1}));
}

// Guards against treating the first packet of a new connection as a retransmission of an ended connection with the same
// ports.
TEST_F(AgentDataPathTest, CallerMayReuseItsPortAtOnce)
{
    TestUpstream upstream([](tcp::socket &socket) {
        const std::string request = readSome(socket);
        boost::asio::write(socket, boost::asio::buffer(request));
    });
    start(upstream.port());
    std::uint32_t initialSequence = TestCaller::s_initialSequence;
    for (const std::string request : {"first", "second"}) {
        m_callers.clear();
        TestCaller &caller = addCaller(5000, initialSequence += 1'000'000);
        caller.connect();
        caller.write(request);
        ASSERT_TRUE(runUntil([&] { return caller.receivedFin(); }));
        EXPECT_EQ(caller.received(), request);
        const std::size_t before = m_packetsFromAgent;
        caller.finish();
        ASSERT_TRUE(runUntil([&] { return m_packetsFromAgent > before; }));
    }
}

// Guards against a drain that interrupts a request, and against a completed drain that is not reported or is cleared
// when the service's terms are sent again.
TEST_F(AgentDataPathTest, DrainWaitsForTheFlowsThatExist)
{
    std::atomic<bool> mayAnswer {false};
    TestUpstream upstream([&](tcp::socket &socket) {
        while (!mayAnswer) {
            std::this_thread::sleep_for(5ms);
        }
        boost::asio::write(socket, boost::asio::buffer(std::string("done")));
    });
    const SetAtEnd end(mayAnswer);
    start(upstream.port());
    TestCaller &caller = addCaller(5000);
    caller.connect();
    ASSERT_TRUE(runUntil([&] { return m_path->status()->busySlots == 1; }));
    m_path->post(admission::DrainOrdered {});
    ASSERT_TRUE(runUntil([&] { return m_path->status()->draining; }));
    EXPECT_FALSE(m_path->status()->drained);
    EXPECT_EQ(m_path->status()->ownedFlows.size(), 1U);
    mayAnswer = true;
    ASSERT_TRUE(runUntil([&] { return caller.receivedFin(); }));
    EXPECT_EQ(caller.received(), "done");
    caller.finish();
    EXPECT_TRUE(runUntil([&] { return m_path->status()->drained; }));
    m_path->post(admission::ServiceTermsChanged {terms()});
    EXPECT_FALSE(runUntil([&] { return !m_path->status()->drained; }, 600ms));
}

} // namespace samphireswitch::tests
