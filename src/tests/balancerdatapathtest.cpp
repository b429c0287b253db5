#include "balancer/balancerdatapath.h"

#include "base/time.h"
#include "protocol/datagramcodec.h"
#include "standin/loopbacknetwork.h"
#include "tests/testpacket.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <random>
#include <thread>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t s_dataPort = 8172;
constexpr Endpoint s_service {0x0a140001, 8001};
// Number of flows in tests that depend on a time limit. The machine may stall for longer than the limit during some of
// them, but not during all.
constexpr std::uint16_t s_attempts = 20;

sockaddr_in toSockaddr(const Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

/** UDP socket that acts as the fabric or as an agent. */
class Peer
{
public:
    explicit Peer(const Endpoint &endpoint)
        : m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
        , m_endpoint(endpoint)
    {
        const sockaddr_in address = toSockaddr(endpoint);
        EXPECT_EQ(bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }

    ~Peer()
    {
        close(m_socket);
    }

    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    void send(const Endpoint &destination, std::span<const std::byte> bytes)
    {
        const sockaddr_in address = toSockaddr(destination);
        sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    /** Receives and decodes the next datagram. Returns nothing after @p limit or if the datagram is malformed. */
    std::optional<protocol::Datagram> receive(std::chrono::milliseconds limit = tests::s_ampleTime)
    {
        pollfd waiting {m_socket, POLLIN, 0};
        poll(&waiting, 1, static_cast<int>(limit.count()));
        const ssize_t size = recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (size < 0) {
            return std::nullopt;
        }
        auto decoded = m_codec.decode(std::span(m_buffer).first(static_cast<std::size_t>(size)));
        if (!decoded) {
            return std::nullopt;
        }
        return std::move(*decoded);
    }

private:
    int m_socket;
    Endpoint m_endpoint;
    protocol::DatagramCodec m_codec;
    alignas(8) std::array<std::byte, 16384> m_buffer {};
};

class BalancerDataPathTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(path.open());
        thread = std::thread([this] { path.run(); });
    }

    void TearDown() override
    {
        path.requestStop();
        if (thread.joinable()) {
            thread.join();
        }
    }

    routing::RoutedService service(std::vector<protocol::Candidate> eligible)
    {
        return {ServiceId {1}, s_service.address, s_service.port, 0, std::move(eligible), {}, "tally"};
    }

    void sendPacket(std::uint16_t port, std::uint8_t flags, std::size_t payloadSize = 0)
    {
        fabric.send(address, tests::tcpPacket({{0xc0a80001, port}, s_service}, flags, payloadSize));
    }

    /** Waits until @p condition holds for the status. Returns false if it never does. */
    bool eventually(const std::function<bool(const BalancerDataStatus &)> &condition)
    {
        const TimePoint end = Clock::now() + tests::s_ampleTime;
        while (!condition(path.status())) {
            if (Clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(1ms);
        }
        return true;
    }

    /** Publishes a service whose pool consists of the agent of this fixture and @p other. */
    void publishPool(const Peer &other)
    {
        routing::RoutedService pooled = service({});
        pooled.shares = {{0, 1}};
        routing::RoutedPool pool;
        pool.service = ServiceId {2};
        pool.eligible = {candidate, {AgentId {8}, other.endpoint()}};
        path.publish(3, {pooled}, {pool});
    }

    Endpoint endpoint(std::uint8_t host) const
    {
        return {network.address(host), s_dataPort};
    }

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint address = endpoint(1);
    telemetry::EventLog events {"balancer-1", 1000};
    BalancerDataPath path {{address, 1000}, events};
    Peer fabric {endpoint(2)};
    Peer agent {endpoint(3)};
    const protocol::Candidate candidate {AgentId {7}, agent.endpoint()};
    std::thread thread;
};

} // namespace

// Guards against modified packets, wrong envelope headers, and logical times with which an event of the agent would
// precede the routing event.
TEST_F(BalancerDataPathTest, ForwardsPacketsInEnvelopes)
{
    path.publish(3, {service({candidate})});
    for (const std::size_t payloadSize : {std::size_t {0}, std::size_t {1}, std::size_t {1460}, std::size_t {8960}}) {
        sendPacket(1000, tests::s_synFlag, payloadSize);
        const auto datagram = agent.receive();
        ASSERT_TRUE(datagram) << payloadSize;
        const auto &envelope = std::get<protocol::Envelope>(datagram->message);
        EXPECT_EQ(envelope.header.service, ServiceId {1});
        EXPECT_EQ(envelope.header.generation, 3U);
        EXPECT_EQ(envelope.header.origin, address);
        EXPECT_EQ(envelope.header.chain, protocol::CandidateChain {candidate});
        const auto expected = tests::tcpPacket({{0xc0a80001, 1000}, s_service}, tests::s_synFlag, payloadSize);
        EXPECT_TRUE(std::equal(expected.begin(), expected.end(), envelope.packet.begin(), envelope.packet.end()));
        const auto recorded = events.eventsSince(0);
        ASSERT_FALSE(recorded.empty());
        EXPECT_EQ(recorded.back().kind, "flow-routed");
        EXPECT_EQ(recorded.back().flow, "192.168.0.1:1000>10.20.0.1:8001");
        EXPECT_EQ(recorded.back().service, "tally");
        EXPECT_EQ(recorded.back().generation, 3U);
        EXPECT_GE(datagram->logicalTime, recorded.back().logicalTime);
    }
    EXPECT_TRUE(
        eventually([](const auto &status) { return status.packetsForwarded == 4 && status.firstPackets == 4; }));
}

// Guards against a caller of a lost flow that has to retransmit, because its packet arrived while a balancer that had
// just started could not tell yet whether it knew all agents.
TEST_F(BalancerDataPathTest, SearchIsRepeatedOnceNoAgentIsMissing)
{
    Peer other {endpoint(4)};
    publishPool(other);
    sendPacket(1, tests::s_ackFlag);
    ASSERT_TRUE(eventually([](const auto &status) { return status.packetsForwarded == 1; }));
    path.setCoverage(routing::Coverage::Full, TimePoint::max());
    EXPECT_TRUE(eventually([](const auto &status) { return status.packetsForwarded == 2; }));
    int searches = 0;
    int exhaustive = 0;
    for (const TimePoint limit = Clock::now() + tests::s_ampleTime; searches < 2 && Clock::now() < limit;) {
        // Both searches visit the agents in the same order, so either agent may receive both.
        auto datagram = agent.receive(10ms);
        if (!datagram) {
            datagram = other.receive(10ms);
        }
        if (!datagram) {
            continue;
        }
        ++searches;
        exhaustive += std::get<protocol::Envelope>(datagram->message).header.exhaustive.has_value() ? 1 : 0;
    }
    EXPECT_EQ(searches, 2);
    EXPECT_EQ(exhaustive, 1);
}

// Guards against a search for every packet of an upload, against the loss of packets that wait for the owner of their
// flow, and against answers that release more packets than an outgoing batch holds.
TEST_F(BalancerDataPathTest, PacketsOfASearchedFlowGoStraightToItsOwner)
{
    constexpr std::size_t packets = 100;
    Peer owner {endpoint(4)};
    publishPool(owner);
    protocol::DatagramCodec codec;
    const protocol::Candidate ownerCandidate {AgentId {8}, owner.endpoint()};
    std::size_t direct = 0;
    for (std::uint16_t port = 1; port <= s_attempts && direct == 0; ++port) {
        const std::uint64_t waitedBefore = path.status().packetsAwaitingOwner;
        for (std::size_t sent = 0; sent < packets; ++sent) {
            sendPacket(port, tests::s_ackFlag, sent);
        }
        ASSERT_TRUE(eventually([&](const auto &status) {
            return status.packetsAwaitingOwner > waitedBefore || status.packetsForwarded == packets * port;
        }));
        agent.send(address, *codec.encode(protocol::OwnerHint {{{0xc0a80001, port}, s_service}, ownerCandidate, 3}, 1));
        ASSERT_TRUE(eventually([&](const auto &status) { return status.packetsForwarded == packets * port; }));
        while (const auto datagram = owner.receive(100ms)) {
            direct += std::get<protocol::Envelope>(datagram->message).header.chain.size() == 1 ? 1 : 0;
        }
    }
    EXPECT_GT(direct, 0U);
}

// Guards against packets that stay queued until their caller retransmits, because the answer to a search was lost.
TEST_F(BalancerDataPathTest, PacketsOfAnUnansweredSearchAreSearchedFor)
{
    Peer other {endpoint(4)};
    publishPool(other);
    for (std::uint16_t port = 1; port <= s_attempts && path.status().packetsAwaitingOwner == 0; ++port) {
        sendPacket(port, tests::s_ackFlag);
        sendPacket(port, tests::s_ackFlag);
        EXPECT_TRUE(eventually([&](const auto &status) { return status.packetsForwarded == 2U * port; }));
    }
    EXPECT_GT(path.status().packetsAwaitingOwner, 0U);
}

// Guards against hints that are received but not learned, and against a new routing table that discards the hints.
TEST_F(BalancerDataPathTest, LearnsHintsAndKeepsThemOverTables)
{
    Peer owner {endpoint(4)};
    const protocol::Candidate ownerCandidate {AgentId {8}, owner.endpoint()};
    path.publish(3, {service({candidate, ownerCandidate})});
    // Hints for unknown services are rejected, so the table must be in use before the first hint arrives.
    sendPacket(1, tests::s_synFlag);
    ASSERT_TRUE(eventually([](const auto &status) { return status.packetsForwarded == 1; }));
    protocol::DatagramCodec codec;
    for (std::uint16_t port = 1000; port < 1020; ++port) {
        const auto hint =
            codec.encode(protocol::OwnerHint {{{0xc0a80001, port}, s_service}, ownerCandidate, 3}, 1000 + port);
        ASSERT_TRUE(hint);
        agent.send(address, *hint);
    }
    ASSERT_TRUE(eventually([](const auto &status) { return status.hintsLearned == 20; }));
    EXPECT_GE(events.logicalTime(), 2019U);
    path.publish(4, {service({candidate, ownerCandidate})});
    for (std::uint16_t port = 1000; port < 1020; ++port) {
        sendPacket(port, tests::s_ackFlag);
    }
    EXPECT_TRUE(eventually([](const auto &status) { return status.hintsUsed == 20 && status.hintsHeld == 20; }));
    EXPECT_TRUE(eventually([](const auto &status) { return status.packetsForwarded == 21; }));
}

// Guards against crashes on malformed datagrams, and against drops that are not counted or counted twice.
TEST_F(BalancerDataPathTest, CountsEveryDatagramThatItDrops)
{
    sendPacket(1000, tests::s_synFlag);
    ASSERT_TRUE(eventually([](const auto &status) { return status.droppedNoService == 1; }));
    path.publish(3, {service({})});
    sendPacket(1000, tests::s_synFlag);
    ASSERT_TRUE(eventually([](const auto &status) { return status.droppedNoMember == 1; }));

    const auto packet = tests::tcpPacket({{0xc0a80001, 1000}, s_service}, tests::s_synFlag);
    std::uint64_t malformed = 0;
    for (std::size_t size = 0; size < packet.size(); ++size) {
        fabric.send(address, std::span(packet).first(size));
        ++malformed;
    }
    protocol::DatagramCodec codec;
    fabric.send(address, *codec.encode(protocol::Waiting {ServiceId {1}, candidate, 1, 1us}));
    fabric.send(address, std::vector<std::byte>(20000, std::byte {0x45}));
    malformed += 2;
    std::mt19937 random(20261204);
    for (int round = 0; round < 500; ++round) {
        std::vector<std::byte> bytes(1 + random() % 200);
        std::generate(bytes.begin(), bytes.end(), [&random] { return static_cast<std::byte>(random()); });
        fabric.send(address, bytes);
        ++malformed;
        ASSERT_TRUE(eventually([malformed](const auto &status) { return status.droppedMalformed == malformed; }));
    }
    EXPECT_EQ(path.status().packetsForwarded, 0U);
}

// Guards against a closed port of one agent that stops packets to other agents.
TEST_F(BalancerDataPathTest, ContinuesAfterRefusedDatagrams)
{
    path.publish(3, {service({{AgentId {9}, endpoint(5)}})});
    for (std::uint16_t port = 1; port <= 100; ++port) {
        sendPacket(port, tests::s_synFlag);
    }
    ASSERT_TRUE(eventually([](const auto &status) { return status.packetsForwarded + status.sendErrors >= 100; }));
    path.publish(4, {service({candidate})});
    sendPacket(1000, tests::s_synFlag);
    EXPECT_TRUE(agent.receive());
}

// Guards against the loss of the newest table when several are published before the thread adopts one.
TEST_F(BalancerDataPathTest, NewestTableWins)
{
    constexpr Generation last = 500;
    for (Generation generation = 1; generation <= last; ++generation) {
        path.publish(generation, {service({candidate})});
    }
    sendPacket(1000, tests::s_synFlag);
    const auto datagram = agent.receive();
    ASSERT_TRUE(datagram);
    EXPECT_EQ(std::get<protocol::Envelope>(datagram->message).header.generation, last);
}

// Guards against the cost of an event for every new flow at a high rate of flows.
TEST_F(BalancerDataPathTest, LimitsTheRateOfEvents)
{
    path.publish(3, {service({candidate})});
    constexpr std::uint16_t flows = 2000;
    // No more at a time than the socket holds, whose size the system may limit.
    constexpr std::uint16_t portion = 100;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        sendPacket(port, tests::s_synFlag);
        if (port % portion == 0) {
            ASSERT_TRUE(eventually([port](const auto &status) { return status.firstPackets == port; }));
        }
    }
    EXPECT_EQ(events.eventsSince(0).size() + path.status().eventsSuppressed, flows);
    EXPECT_GT(path.status().eventsSuppressed, flows / 2);
}

} // namespace samphireswitch::balancer
