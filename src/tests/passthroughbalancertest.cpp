#include "balancer/balancerdatapath.h"

#include "platform/packetformat.h"
#include "protocol/datagramcodec.h"
#include "standin/loopbacknetwork.h"
#include "testport.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;
using tests::Port;

constexpr std::uint16_t s_packetPort = 8172;
constexpr std::byte s_ack {32};
constexpr std::byte s_syn {2};
constexpr Endpoint s_service {0xc6120001, 443};
// How often a test that depends on a time limit of the packet path is tried. The machine may stall for longer than the
// limit during some of the tries, but not during all.
constexpr std::uint16_t s_attempts = 20;
// How long a caller that must not get a reset is observed.
constexpr std::chrono::milliseconds s_silence {300};

/** A balancer with passthrough delivery, two agents and a caller on loopback. */
class PassthroughBalancerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(path.open());
        thread = std::thread([this] { path.run(); });
        publish({first.endpoint(), second.endpoint()});
        path.setCoverage(routing::Coverage::Full, TimePoint::max());
        ASSERT_TRUE(eventually([](const BalancerDataStatus &) { return true; }));
    }

    void TearDown() override
    {
        path.requestStop();
        thread.join();
    }

    void publish(const std::vector<Endpoint> &agents)
    {
        publish(path, agents);
    }

    static void publish(BalancerDataPath &balancer, const std::vector<Endpoint> &agents)
    {
        routing::RoutedPool pool;
        pool.service = ServiceId::fromName("tally");
        for (const Endpoint &agent : agents) {
            pool.eligible.push_back({AgentId {agent.address}, agent});
        }
        routing::RoutedService service;
        service.service = ServiceId {1};
        service.address = s_service.address;
        service.requestPort = s_service.port;
        service.shares = {{0, 1}};
        balancer.publish(3, {service}, {pool});
    }

    /** Publishes a service all of whose agents are in evacuated failure domains. */
    void publishEvacuated(std::uint64_t contentHash)
    {
        routing::RoutedPool pool;
        pool.service = ServiceId::fromName("tally");
        pool.draining.push_back({AgentId {first.endpoint().address}, first.endpoint()});
        pool.hasEvacuated = true;
        routing::RoutedService service;
        service.service = ServiceId {1};
        service.address = s_service.address;
        service.requestPort = s_service.port;
        service.shares = {{0, 1}};
        path.publish(3, {service}, {pool}, contentHash);
    }

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

    /** Writes the number of a copy into a first packet, at the place of the acknowledgement number. */
    static void setCopy(Port::Bytes &bytes, std::byte copy)
    {
        constexpr std::size_t copyOffset = 13;
        bytes[copyOffset] = copy;
    }

    /** The first packet of the flow, as its caller sends it after @p copy others. */
    Port::Bytes firstPacket(std::uint8_t copy) const
    {
        Port::Bytes bytes = tests::callerPacket(key, s_syn);
        setCopy(bytes, std::byte {copy});
        return bytes;
    }

    /** Sends a packet of an open flow until the balancer begins an exhaustive search, and returns its header. */
    std::optional<protocol::EnvelopeHeader> search()
    {
        protocol::DatagramCodec codec;
        for (const TimePoint limit = Clock::now() + tests::s_ampleTime; Clock::now() < limit;) {
            caller.send(address, packet);
            for (const Port *agent : searched) {
                const auto bytes = agent->receive(5ms);
                if (!bytes) {
                    continue;
                }
                const auto datagram = codec.decode(*bytes);
                const auto *envelope = datagram ? std::get_if<protocol::Envelope>(&datagram->message) : nullptr;
                const bool isBegun = envelope != nullptr && envelope->header.unanswered == 0;
                if (isBegun && envelope->header.exhaustive) {
                    return envelope->header;
                }
            }
        }
        return std::nullopt;
    }

    /** Ends the search @p header as its last agent would. */
    void end(const protocol::EnvelopeHeader &header)
    {
        const auto segment = platform::parsePacket(packet);
        ASSERT_TRUE(segment);
        const protocol::SearchEnded ended {key, segment->acknowledgementNumber, *header.exhaustive, second.endpoint()};
        protocol::DatagramCodec codec;
        first.send(header.origin, codec.encode(ended).value());
    }

    /**
     * Begins and ends searches until the balancer judges one as @p expected. @p meanwhile happens between the two. An
     * answer that comes too late for any other judgement is outdated.
     */
    bool isJudged(
        routing::AbsenceVerdict expected,
        const std::function<void()> &meanwhile = [] {})
    {
        const auto position = static_cast<std::size_t>(expected);
        const auto outdated = static_cast<std::size_t>(routing::AbsenceVerdict::Outdated);
        for (int attempt = 0; attempt < s_attempts; ++attempt) {
            path.setCoverage(routing::Coverage::Full, TimePoint::max());
            const auto before = path.status().endedSearches;
            const auto header = search();
            if (!header) {
                return false;
            }
            meanwhile();
            end(*header);
            if (!eventually([&](const auto &status) { return status.endedSearches != before; })) {
                return false;
            }
            const auto after = path.status().endedSearches;
            if (after[outdated] == before[outdated]) {
                return after[position] == before[position] + 1;
            }
        }
        return false;
    }

    /** Has first packets of flows from port @p firstPort on refused until the balancer judges one as @p expected. */
    bool isRefusalJudged(routing::RefusalVerdict expected, std::uint16_t firstPort)
    {
        const auto position = static_cast<std::size_t>(expected);
        const auto late = static_cast<std::size_t>(routing::RefusalVerdict::CopyElsewhere);
        for (std::uint16_t port = firstPort; port < firstPort + s_attempts; ++port) {
            const flow::FlowKey refusedKey {{key.source.address, port}, s_service};
            const auto bytes = tests::callerPacket(refusedKey, s_syn);
            const auto before = path.status().refusedFirstPackets;
            const auto header = open(bytes);
            if (!header) {
                return false;
            }
            refuse(*header, refusedKey, bytes, 0);
            if (!eventually([&](const auto &status) { return status.refusedFirstPackets != before; })) {
                return false;
            }
            const auto after = path.status().refusedFirstPackets;
            if (after[late] == before[late]) {
                return after[position] == before[position] + 1;
            }
        }
        return false;
    }

    /** The acknowledgement number of the reset that the caller got within @p limit; nothing without one. */
    std::optional<std::uint32_t> receivedReset(std::chrono::milliseconds limit)
    {
        const auto bytes = caller.receive(limit);
        if (!bytes) {
            return std::nullopt;
        }
        const auto segment = platform::parsePacket(*bytes);
        return segment && segment->rst ? std::optional(segment->sequenceNumber) : std::nullopt;
    }

    /** Sends the first packet @p bytes and returns the header with which it arrives at an agent. */
    std::optional<protocol::EnvelopeHeader> open(const Port::Bytes &bytes)
    {
        caller.send(address, bytes);
        protocol::DatagramCodec codec;
        const TimePoint limit = Clock::now() + tests::s_ampleTime;
        while (Clock::now() < limit) {
            for (const Port *agent : searched) {
                const auto received = agent->receive(5ms);
                if (!received) {
                    continue;
                }
                const auto datagram = codec.decode(*received);
                const auto *envelope = datagram ? std::get_if<protocol::Envelope>(&datagram->message) : nullptr;
                if (envelope != nullptr) {
                    return envelope->header;
                }
            }
        }
        return std::nullopt;
    }

    /** Refuses the copy with the number @p copy of the first packet @p bytes of @p flow, as the last agent would. */
    void refuse(const protocol::EnvelopeHeader &header,
                const flow::FlowKey &flow,
                const Port::Bytes &bytes,
                std::uint32_t copy)
    {
        const auto segment = platform::parsePacket(bytes);
        ASSERT_TRUE(segment);
        const protocol::FirstPacketRefused refused {flow, segment->sequenceNumber, copy, second.endpoint()};
        protocol::DatagramCodec codec;
        first.send(header.origin, codec.encode(refused).value());
    }

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint address {network.address(1), s_packetPort};
    Port first {{network.address(2), s_packetPort}};
    Port second {{network.address(3), s_packetPort}};
    Port caller {{network.address(4), s_packetPort}};
    /** The agents that search() reads from: the one that a search asks first depends on the addresses. */
    std::vector<const Port *> searched {&first, &second};
    const flow::FlowKey key {{network.address(4), 40001}, s_service};
    const Port::Bytes packet = tests::callerPacket(key, s_ack);
    telemetry::EventLog events {"balancer-1", 100};
    BalancerDataPath path {{address, 1000, settings::Delivery::Passthrough, {network.address(1), 7720}}, events};
    std::thread thread;
};

} // namespace

// Guards against the reset of a flow that was opened at a balancer which has a newer configuration, and against callers
// that get no reset after the route of their flow was removed.
TEST_F(PassthroughBalancerTest, OpenFlowWithoutServiceIsResetOnlyAfterALaterConfirmation)
{
    const flow::FlowKey unserved {key.source, {s_service.address + 1, s_service.port}};
    const auto bytes = tests::callerPacket(unserved, s_ack);
    path.setConfirmation({3, 0, Clock::now()}, Clock::now() + tests::s_ampleTime);
    caller.send(address, bytes);
    EXPECT_FALSE(receivedReset(s_silence)) << "the service may have been added since the confirmation";
    path.setConfirmation({4, 0, Clock::now()}, Clock::now() + tests::s_ampleTime);
    caller.send(address, bytes);
    EXPECT_FALSE(receivedReset(s_silence)) << "the confirmed configuration is newer than the one in force";
    path.setConfirmation({3, 0, Clock::now()}, Clock::now() + tests::s_ampleTime);
    caller.send(address, bytes);
    EXPECT_TRUE(receivedReset(tests::s_ampleTime));
}

// Guards against the reset of a caller by the table of an evacuation that has just been taken back: the store has
// confirmed the new content of the same generation before the packet path uses it.
TEST_F(PassthroughBalancerTest, OnlyAConfirmationOfTheEvacuationResetsCallers)
{
    constexpr std::uint64_t evacuated = 7;
    constexpr std::uint64_t takenBack = 8;
    publishEvacuated(evacuated);
    path.setConfirmation({3, takenBack, Clock::now()}, Clock::now() + tests::s_ampleTime);
    caller.send(address, firstPacket(0));
    EXPECT_FALSE(receivedReset(s_silence));
    path.setConfirmation({3, evacuated, Clock::now()}, Clock::now() + tests::s_ampleTime);
    std::optional<std::uint32_t> reset;
    for (std::uint16_t port = 40003; port < 40003 + s_attempts && !reset; ++port) {
        caller.send(address, tests::callerPacket({{key.source.address, port}, s_service}, s_syn));
        reset = receivedReset(s_silence);
    }
    EXPECT_EQ(reset, 0U);
}

// Guards against resets of which nobody can tell what they rested on, since lines of the log were lost.
TEST_F(PassthroughBalancerTest, ResetOfAFlowWithoutOwnerIsRecordedWithItsGrounds)
{
    ASSERT_TRUE(isJudged(routing::AbsenceVerdict::Proven, [this] {
        path.setCoverage(
            routing::Coverage::Full, TimePoint::max(), {Clock::now(), Clock::now(), {}, "agent-7 stopping"});
    }));
    ASSERT_TRUE(receivedReset(tests::s_ampleTime));
    const std::string record = events.flowResets().text();
    for (const std::string &part : {flow::toString(key),
                                    toString(first.endpoint()) + ' ' + toString(second.endpoint()),
                                    std::string("\"absent_agents\":\"agent-7 stopping\""),
                                    std::string("\"resumed_ms_ago\":-1"),
                                    std::string("\"coverage\":\"full\"")}) {
        EXPECT_NE(record.find(part), std::string::npos) << part << " is missing in " << record;
    }
}

// Guards against a caller that waits until its attempt ends although no agent accepts its flow.
TEST_F(PassthroughBalancerTest, CallerIsResetOnceItsFirstPacketIsRefused)
{
    // The first datagram may have waited since the socket was opened.
    ASSERT_TRUE(open(tests::callerPacket({{network.address(4), 40002}, s_service}, s_syn)));
    ASSERT_TRUE(isRefusalJudged(routing::RefusalVerdict::Final, 40003));
    EXPECT_EQ(receivedReset(tests::s_ampleTime), 0U);
}

// Guards against the reset of a flow that an earlier copy of the same first packet opens.
TEST_F(PassthroughBalancerTest, RefusedCopyDoesNotResetACallerWithAnotherCopyUnderWay)
{
    ASSERT_TRUE(open(firstPacket(0)));
    const auto copy = firstPacket(1);
    const auto header = open(copy);
    ASSERT_TRUE(header);
    refuse(*header, key, copy, 1);
    const auto pending = static_cast<std::size_t>(routing::RefusalVerdict::CopyPending);
    EXPECT_TRUE(eventually([&](const auto &status) { return status.refusedFirstPackets[pending] == 1; }));
    EXPECT_FALSE(receivedReset(s_silence));
}

// Guards against the reset of a flow that a later copy opened at another balancer while this one was refused late.
TEST_F(PassthroughBalancerTest, LateRefusalResetsNobody)
{
    const auto bytes = firstPacket(0);
    const auto header = open(bytes);
    ASSERT_TRUE(header);
    std::this_thread::sleep_for(200ms);
    refuse(*header, key, bytes, 0);
    const auto elsewhere = static_cast<std::size_t>(routing::RefusalVerdict::CopyElsewhere);
    EXPECT_TRUE(eventually([&](const auto &status) { return status.refusedFirstPackets[elsewhere] == 1; }));
    EXPECT_FALSE(receivedReset(s_silence));
}

// Guards against the reset of a flow by a balancer that lacks its service, while another one has forwarded an earlier
// copy of the first packet; and against a caller that waits although there is no service.
TEST_F(PassthroughBalancerTest, CopyForAnUnknownServiceResetsNobodyUnlessTheFirstOneArrivedHere)
{
    const flow::FlowKey unserved {key.source, {s_service.address + 1, s_service.port}};
    path.setConfirmation({3, 0, Clock::now()}, Clock::now() + tests::s_ampleTime);
    Port::Bytes bytes = tests::callerPacket(unserved, s_syn);
    setCopy(bytes, std::byte {1});
    caller.send(address, bytes);
    EXPECT_FALSE(receivedReset(s_silence));
    std::optional<std::uint32_t> reset;
    for (std::uint16_t port = 40003; port < 40003 + s_attempts && !reset; ++port) {
        const flow::FlowKey other {{key.source.address, port}, unserved.destination};
        caller.send(address, tests::callerPacket(other, s_syn));
        reset = receivedReset(s_silence);
    }
    EXPECT_EQ(reset, 0U);
}

// Guards against small requests that wait behind bulk data or are lost with it where the link is thin, and against bulk
// data that is held for good.
TEST_F(PassthroughBalancerTest, BulkDataWaitsForAThinLinkBehindEverythingElse)
{
    constexpr std::uint32_t linkRate = 2000;
    const Endpoint thinAddress {network.address(6), s_packetPort};
    BalancerDataPath thin {{thinAddress, 1000, settings::Delivery::Passthrough, {network.address(6), 7720}, linkRate},
                           events};
    ASSERT_TRUE(thin.open());
    std::thread thinThread([&thin] { thin.run(); });
    publish(thin, {first.endpoint()});
    std::uint64_t opened = 0;
    std::uint64_t bulk = 0;
    const auto receive = [&](std::chrono::milliseconds limit) {
        protocol::DatagramCodec codec;
        while (const auto bytes = first.receive(limit)) {
            const auto datagram = codec.decode(*bytes);
            const auto *envelope = datagram ? std::get_if<protocol::Envelope>(&datagram->message) : nullptr;
            if (envelope == nullptr) {
                continue;
            }
            const auto segment = platform::parsePacket(envelope->packet);
            opened += segment && segment->isFirstPacket() ? 1 : 0;
            bulk += segment && segment->payloadSize > 0 ? 1 : 0;
        }
    };
    constexpr std::uint16_t flows = 50;
    constexpr int packets = 20;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        const flow::FlowKey flow {{network.address(4), port}, s_service};
        caller.send(thinAddress, tests::callerPacket(flow, s_syn));
        for (int sent = 0; sent < packets; ++sent) {
            caller.send(thinAddress, tests::callerPacket(flow, s_ack, 1200));
        }
        receive(5ms);
    }
    receive(200ms);
    const auto status = thin.status();
    thin.requestStop();
    thinThread.join();
    EXPECT_EQ(opened, flows);
    EXPECT_GT(status.droppedAtLimit, 0U);
    EXPECT_EQ(bulk + status.droppedAtLimit, std::uint64_t {flows} * packets);
}

// Guards against callers of a lost flow that wait until their deadline, and against a reset far from the number that
// the caller expects, which it would ignore.
TEST_F(PassthroughBalancerTest, CallerIsResetOnceEveryAgentHasAnswered)
{
    ASSERT_TRUE(isJudged(routing::AbsenceVerdict::Proven));
    const auto expected = platform::parsePacket(packet);
    ASSERT_TRUE(expected);
    EXPECT_EQ(receivedReset(tests::s_ampleTime), expected->acknowledgementNumber);
}

// Guards against the reset of an open flow by a search that an agent held while it stood still (review, case 2).
TEST_F(PassthroughBalancerTest, OldAnswersResetNobody)
{
    const auto header = search();
    ASSERT_TRUE(header);
    std::this_thread::sleep_for(1100ms);
    end(*header);
    const auto outdated = static_cast<std::size_t>(routing::AbsenceVerdict::Outdated);
    EXPECT_TRUE(eventually([&](const auto &status) { return status.endedSearches[outdated] == 1; }));
    EXPECT_FALSE(receivedReset(s_silence));
}

// Guards against the reset of an open flow by a balancer that was paused and resets by what it knew before the pause.
TEST_F(PassthroughBalancerTest, CoverageThatHasEndedResetsNobody)
{
    EXPECT_TRUE(isJudged(routing::AbsenceVerdict::Insufficient,
                         [this] { path.setCoverage(routing::Coverage::Full, Clock::now()); }));
    EXPECT_FALSE(receivedReset(s_silence));
}

// Guards against a reset although an agent joined that was not asked, and against a caller that has to retransmit
// before that agent is asked.
TEST_F(PassthroughBalancerTest, AgentThatJoinedMeanwhileHasToBeAsked)
{
    std::deque<Port> joined;
    std::vector<Endpoint> agents {first.endpoint(), second.endpoint()};
    // The packet path uses a new table with the next datagram at the latest.
    EXPECT_TRUE(isJudged(routing::AbsenceVerdict::AgentJoined, [&] {
        const auto host = static_cast<std::uint8_t>(5 + joined.size());
        searched.push_back(&joined.emplace_back(Endpoint {network.address(host), s_packetPort}));
        agents.push_back(joined.back().endpoint());
        publish(agents);
    }));
    EXPECT_FALSE(receivedReset(s_silence));
    // Envelopes of the search before may still be in the sockets.
    std::optional<protocol::EnvelopeHeader> next;
    for (int attempt = 0; attempt < s_attempts && (!next || next->chain.size() != agents.size()); ++attempt) {
        next = search();
    }
    ASSERT_TRUE(next);
    EXPECT_EQ(next->chain.size(), agents.size());
}

} // namespace samphireswitch::balancer
