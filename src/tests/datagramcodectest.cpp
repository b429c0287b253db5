#include "protocol/datagramcodec.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace samphireswitch::protocol {

namespace {

EnvelopeHeader sampleHeader()
{
    EnvelopeHeader header;
    header.service = ServiceId::fromName("tally");
    header.generation = 7;
    header.origin = {0x7f000001, 7000};
    header.chain = {{AgentId {1}, {0x7f000001, 7101}}, {AgentId {2}, {0x7f000001, 7102}}};
    header.eligible = 2;
    header.hop = 1;
    header.grant = 99;
    return header;
}

template<typename T>
void expectRoundTrip(const T &message)
{
    DatagramCodec codec;
    const auto bytes = codec.encode(message, 12);
    ASSERT_TRUE(bytes);
    const auto decoded = codec.decode(*bytes);
    ASSERT_TRUE(decoded);
    ASSERT_TRUE(std::holds_alternative<T>(decoded->message));
    EXPECT_EQ(std::get<T>(decoded->message), message);
    EXPECT_EQ(decoded->logicalTime, 12U);
}

} // namespace

// Guards against a field that is written but not read, or the other way round.
TEST(DatagramCodecTest, RoundTripKeepsEveryField)
{
    MemberRecord record {11,
                         MemberRole::Balancer,
                         3,
                         4,
                         MemberState::Draining,
                         Liveness::Suspect,
                         ServiceId {5},
                         {1, 2},
                         {3, 4},
                         "ghiffa-1",
                         "Ghiffa",
                         10'000,
                         28,
                         std::chrono::milliseconds(1'700'000'000'000)};
    expectRoundTrip(OwnerHint {{{1, 2}, {3, 4}}, {AgentId {5}, {6, 7}}, 8});
    expectRoundTrip(Waiting {ServiceId {1}, {AgentId {5}, {6, 7}}, 3, std::chrono::microseconds(400)});
    expectRoundTrip(SlotOffer {ServiceId {1}, {AgentId {5}, {6, 7}}, 3, std::chrono::microseconds(400)});
    expectRoundTrip(OfferDeclined {ServiceId {1}, {AgentId {5}, {6, 7}}, 3});
    expectRoundTrip(Announce {record, 9, 10, true});
    expectRoundTrip(AnnounceAck {9, {record}, {record, record}, 10, true, {11, std::chrono::milliseconds(12)}});
    expectRoundTrip(MemberUpdate {{record}});
    expectRoundTrip(Heartbeat {1, 2, 3, 4, 5, true, true});
    expectRoundTrip(Digest {{1, 2}, 9, 10, {11, std::chrono::milliseconds(0)}});
    expectRoundTrip(Digest {{1, 2}, 9, 10, {}});
    expectRoundTrip(ConfirmationNotice {9, {11, std::chrono::milliseconds(12)}});
    expectRoundTrip(Receipt {12});
    expectRoundTrip(LocationRecords {
        {AgentId {5}, {6, 7}}, {{{{1, 2}, {3, 4}}, 5}, {{{0xffffffff, 65535}, {8, 9}}, 0xffffffff}}, {10, 11}});
    expectRoundTrip(LocationRequest {{AgentId {5}, {6, 7}}});
    expectRoundTrip(FirstPacketRefused {{{1, 2}, {3, 4}}, 5, 6, {7, 8}});
    expectRoundTrip(SearchEnded {{{1, 2}, {3, 4}}, 5, {{78, 79, 80}, {3, 2, 1}}, {6, 7}});
}

// Guards against a search that is lost or goes astray on its way: each of its fields reaches the next agent.
TEST(DatagramCodecTest, EnvelopeKeepsTheStateOfASearch)
{
    DatagramCodec codec;
    EnvelopeHeader header = sampleHeader();
    header.hop = 0;
    header.search = 77;
    header.allowsTrial = true;
    header.deferred = 1;
    header.unanswered = 1;
    header.repeats = 2;
    header.sender = {1, 2};
    header.receipt = 5;
    header.located = AgentId {9};
    header.exhaustive = ExhaustiveSearch {{78, 79, 80}, {3, 2, 1}};
    const auto bytes = codec.encodeEnvelope(header, {});
    ASSERT_TRUE(bytes);
    const auto decoded = codec.decode(*bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<Envelope>(decoded->message).header, header);
}

// Guards against out-of-range access through counts that exceed the chain of a search.
TEST(DatagramCodecTest, RejectsMoreUnansweredAgentsThanTheChainHas)
{
    DatagramCodec codec;
    EnvelopeHeader unanswered = sampleHeader();
    unanswered.hop = 0;
    unanswered.unanswered = static_cast<std::uint8_t>(unanswered.chain.size());
    EXPECT_FALSE(codec.decode(codec.encodeEnvelope(unanswered, {}).value()));
    EnvelopeHeader deferred = sampleHeader();
    deferred.hop = 0;
    deferred.unanswered = 1;
    deferred.deferred = static_cast<std::uint8_t>(deferred.chain.size());
    EXPECT_FALSE(codec.decode(codec.encodeEnvelope(deferred, {}).value()));
}

// Guards against a packet that is cut or shifted inside its envelope, also when the receive buffer is not aligned.
TEST(DatagramCodecTest, EnvelopeKeepsPacketAtAnyAlignment)
{
    DatagramCodec codec;
    const std::array<std::byte, 5> packet {std::byte {1}, std::byte {2}, std::byte {3}, std::byte {4}, std::byte {5}};
    const auto bytes = codec.encodeEnvelope(sampleHeader(), packet);
    ASSERT_TRUE(bytes);
    std::vector<std::byte> shifted(bytes->size() + 1);
    std::copy(bytes->begin(), bytes->end(), shifted.begin() + 1);
    const auto decoded = codec.decode(std::span(shifted).subspan(1));
    ASSERT_TRUE(decoded);
    const auto &envelope = std::get<Envelope>(decoded->message);
    EXPECT_EQ(envelope.header, sampleHeader());
    EXPECT_TRUE(std::equal(packet.begin(), packet.end(), envelope.packet.begin(), envelope.packet.end()));
}

// Guards against out-of-range access through a hop that lies outside the chain.
TEST(DatagramCodecTest, RejectsHopOutsideChain)
{
    DatagramCodec codec;
    EnvelopeHeader header = sampleHeader();
    header.hop = 2;
    const auto bytes = codec.encodeEnvelope(header, {});
    ASSERT_TRUE(bytes);
    EXPECT_FALSE(codec.decode(*bytes));
}

// Guards against enumerators without a meaning in the membership table, and against times that overflow when they are
// used.
TEST(DatagramCodecTest, RejectsMembersOutOfRange)
{
    DatagramCodec codec;
    MemberRecord unknownLiveness;
    unknownLiveness.liveness = static_cast<Liveness>(4);
    MemberRecord unknownState;
    unknownState.state = static_cast<MemberState>(4);
    MemberRecord distantDeparture;
    distantDeparture.upstreamLeftAt = std::chrono::milliseconds::max();
    for (const MemberRecord &record : {unknownLiveness, unknownState, distantDeparture}) {
        for (const Message &message : {Message {Announce {record, 1, 2, true}}, Message {MemberUpdate {{record}}}}) {
            const auto bytes = codec.encode(message);
            ASSERT_TRUE(bytes);
            EXPECT_FALSE(codec.decode(*bytes)) << message.index();
        }
    }
}

// Guards against crashes and over-reads on truncated, altered and random datagrams. AddressSanitizer sees over-reads.
TEST(DatagramCodecTest, SurvivesDamagedDatagrams)
{
    constexpr int damagedDatagrams = 20000;
    std::mt19937 random(20261204);
    DatagramCodec encoder;
    DatagramCodec decoder;
    const std::array<std::byte, 64> packet {};
    for (int round = 0; round < damagedDatagrams; ++round) {
        const auto bytes = encoder.encodeEnvelope(sampleHeader(), packet);
        ASSERT_TRUE(bytes);
        std::vector<std::byte> damaged(bytes->begin(), bytes->end());
        const int changes = 1 + static_cast<int>(random() % 8);
        for (int change = 0; change < changes; ++change) {
            damaged[random() % damaged.size()] = static_cast<std::byte>(random());
        }
        damaged.resize(random() % (damaged.size() + 1));
        const auto decoded = decoder.decode(damaged);
        if (!decoded || !std::holds_alternative<Envelope>(decoded->message)) {
            continue;
        }
        const auto &header = std::get<Envelope>(decoded->message).header;
        ASSERT_LT(header.hop, header.chain.size());
        ASSERT_LE(header.eligible, header.chain.size());
    }
}

} // namespace samphireswitch::protocol
