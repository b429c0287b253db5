#include "flow/sequencetranslator.h"
#include "flow/packetview.h"
#include "tests/testcaller.h"

#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <random>

namespace samphireswitch::tests {

namespace {

const flow::FlowKey s_key {{0x0a630001, 5000}, {0x0a140001, 8001}};

} // namespace

// Guards against checksums that become invalid for some values, as with the carry that RFC 1624 corrects.
TEST(SequenceTranslatorTest, ChecksumsStayValidForEveryKindOfNumber)
{
    std::mt19937 random(1);
    const std::vector<std::uint32_t> special {0, 1, 0xffff, 0x10000, 0x7fffffff, 0xffff0000, 0xffffffff};
    for (int i = 0; i < 20000; ++i) {
        const auto draw = [&] { return random() % 2 == 0 ? special[random() % special.size()] : random(); };
        const flow::SequenceTranslator translator(draw());
        const std::uint32_t sequence = draw();
        const std::uint32_t acknowledgement = draw();
        auto packet = makePacket(s_key, {sequence, acknowledgement, TH_ACK, "payload"});
        translator.translateOutgoing(packet);
        translator.translateIncoming(packet);
        ASSERT_TRUE(hasValidChecksums(packet));
        const auto view = flow::PacketView::parse(packet);
        ASSERT_TRUE(view);
        EXPECT_EQ(view->sequenceNumber(), sequence + translator.offset());
        EXPECT_EQ(view->acknowledgementNumber(), acknowledgement - translator.offset());
    }
}

// Guards against a change of the field that means nothing without the ACK flag, as in a first packet.
TEST(SequenceTranslatorTest, LeavesPacketsWithoutAcknowledgementUnchanged)
{
    const auto original = makePacket(s_key, {7, 0, TH_SYN});
    auto packet = original;
    flow::SequenceTranslator(12345).translateIncoming(packet);
    EXPECT_EQ(packet, original);
}

} // namespace samphireswitch::tests
