#include "soak/stream.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace samphireswitch::soak {

namespace {

using std::chrono::milliseconds;

const flow::FlowKey s_caller {{0x64400007, 40001}, {0xc6120001, 443}};

/** Two ends of a flow, with packets that are lost, repeated and reordered between them. */
class SoakStreamTest : public testing::Test
{
protected:
    SoakStreamTest()
        : m_caller(s_caller,
                   101,
                   501,
                   [this](const flow::Segment &head, std::string_view data) {
                       m_toUpstream.push_back(encodePacket(head, data));
                   })
        , m_upstream(flow::reversed(s_caller), 501, 101, [this](const flow::Segment &head, std::string_view data) {
            m_toCaller.push_back(encodePacket(head, data));
        })
    {
    }

    std::string deliver(std::deque<std::string> &packets, Stream &to)
    {
        std::string bytes;
        std::deque<std::string> batch;
        batch.swap(packets);
        std::shuffle(batch.begin(), batch.end(), m_random);
        for (const std::string &packet : batch) {
            if (m_random() % 5 == 0) {
                continue;
            }
            const auto decoded = decodePacket(packet);
            EXPECT_TRUE(decoded && decoded->isAuthentic);
            bytes += to.receive(*decoded, m_now);
            if (m_random() % 7 == 0) {
                bytes += to.receive(*decoded, m_now);
            }
        }
        return bytes;
    }

    std::mt19937_64 m_random {11};
    TimePoint m_now {std::chrono::hours(1)};
    std::deque<std::string> m_toUpstream;
    std::deque<std::string> m_toCaller;
    Stream m_caller;
    Stream m_upstream;
};

} // namespace

// Guards against failures of the soak's own transport, which would look like lost or mixed answers.
TEST_F(SoakStreamTest, BytesArriveInOrderOverAnUnreliablePath)
{
    std::string request(40000, ' ');
    for (std::size_t index = 0; index < request.size(); ++index) {
        request[index] = static_cast<char>('a' + index % 23);
    }
    m_caller.write(request, m_now);
    m_caller.close(m_now);
    std::string received;
    for (int step = 0; step < 2000 && !(m_caller.isFinished() && m_upstream.isFinished()); ++step) {
        m_now += milliseconds(10);
        received += deliver(m_toUpstream, m_upstream);
        deliver(m_toCaller, m_caller);
        if (m_upstream.isClosedByPeer()) {
            m_upstream.close(m_now);
        }
        m_caller.repeatLost(m_now);
        m_upstream.repeatLost(m_now);
    }
    EXPECT_EQ(received, request);
    EXPECT_TRUE(m_caller.isFinished());
    EXPECT_TRUE(m_upstream.isFinished());
}

// Guards against an end that tries for ever when nobody answers.
TEST_F(SoakStreamTest, GivesUpAfterEightRetransmissions)
{
    m_caller.write("request", m_now);
    for (int step = 0; step < 9; ++step) {
        EXPECT_FALSE(m_caller.hasFailed());
        m_now += milliseconds(1600);
        m_caller.repeatLost(m_now);
    }
    EXPECT_TRUE(m_caller.hasFailed());
    EXPECT_EQ(m_toUpstream.size(), 9U);
}

// Guards against a changed packet that the soak's ends take for one that their peer wrote.
TEST(SoakPacketTest, SumCoversAllButTheFieldsOfTheSystem)
{
    flow::Segment head;
    head.key = s_caller;
    head.sequenceNumber = 7;
    head.ack = true;
    const std::string bytes = encodePacket(head, "data");
    constexpr std::size_t mark = 26;
    constexpr std::size_t flags = 30;
    for (std::size_t position = 4; position < bytes.size(); ++position) {
        std::string changed = bytes;
        changed[position] = static_cast<char>(changed[position] ^ (position == flags ? 1 : 0x40));
        const auto packet = decodePacket(changed);
        const bool isOfSystem = (position >= mark && position <= flags + 1);
        EXPECT_EQ(packet && packet->isAuthentic, isOfSystem) << position;
    }
}

} // namespace samphireswitch::soak
