#include "balancer/linkqueue.h"

#include <gtest/gtest.h>

#include <vector>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;

constexpr Endpoint s_agent {0x0a010007, 8212};
constexpr std::uint32_t s_linkRate = 10'000;
constexpr std::size_t s_bulkBytes = 1372;
constexpr std::size_t s_smallBytes = 172;
constexpr TimePoint s_start = TimePoint() + 1h;

/** A link that gets bulk data and small datagrams at given rates, and what became of them. */
class Link
{
public:
    /** Offers @p bulk and @p small datagrams in each millisecond for @p duration. */
    void run(std::chrono::milliseconds duration, int bulk, int small)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 1ms) {
            queue.advance(m_now);
            for (int count = 0; count < small; ++count) {
                queue.sent(s_smallBytes);
            }
            for (int count = 0; count < bulk; ++count) {
                offerBulk();
            }
            while (const auto datagram = queue.takeDue()) {
                send(datagram->bytes);
            }
        }
    }

    LinkQueue queue {s_linkRate};
    std::size_t sentBulk = 0;
    std::size_t dropped = 0;
    /** Numbers of the datagrams that were sent, in this order. */
    std::vector<std::byte> order;

private:
    void offerBulk()
    {
        const std::vector<std::byte> bytes(s_bulkBytes, std::byte(m_number++));
        if (!queue.mustWait()) {
            send(bytes);
        } else if (!queue.keep(s_agent, bytes)) {
            ++dropped;
        }
    }

    void send(const std::vector<std::byte> &bytes)
    {
        queue.sent(bytes.size());
        ++sentBulk;
        order.push_back(bytes.front());
    }

    TimePoint m_now = s_start;
    std::uint8_t m_number = 0;
};

} // namespace

// Guards against uploads that fill a thin link, so that the packets of all other flows wait behind them or are lost.
TEST(LinkQueueTest, UploadsTakeWhatOtherDatagramsLeaveOfTheLink)
{
    Link link;
    // 22 Mbit/s of uploads and 1.6 Mbit/s of small datagrams for a link of 10 Mbit/s.
    link.run(1s, 2, 1);
    link.sentBulk = 0;
    link.run(1s, 2, 1);
    const std::size_t bits = 8 * link.sentBulk * (s_bulkBytes + 28);
    EXPECT_NEAR(static_cast<double>(bits), 7.4e6, 0.2e6);
    EXPECT_GT(link.dropped, 0U);
    // What waits is sent within the time after which a sender repeats it.
    EXPECT_LT(link.queue.size(), 90U);
}

// Guards against an upload that stops for good while small datagrams fill the link.
TEST(LinkQueueTest, BulkDataGetsAPartOfAFullLink)
{
    Link link;
    link.run(1s, 1, 10);
    link.sentBulk = 0;
    link.run(1s, 1, 10);
    const std::size_t bits = 8 * link.sentBulk * (s_bulkBytes + 28);
    EXPECT_NEAR(static_cast<double>(bits), 9e6 / 8, 0.2e6);
}

// Guards against packets of a flow that overtake each other, and against waits where there is room.
TEST(LinkQueueTest, KeepsTheOrderAndWaitsOnlyForTheLink)
{
    Link link;
    link.run(20ms, 5, 0);
    ASSERT_GT(link.queue.size(), 0U);
    EXPECT_TRUE(link.queue.untilDue());
    link.run(200ms, 0, 0);
    EXPECT_EQ(link.queue.size(), 0U);
    EXPECT_FALSE(link.queue.untilDue());
    EXPECT_FALSE(link.queue.mustWait());
    ASSERT_EQ(link.order.size(), 100U - link.dropped);
    for (std::size_t index = 1; index < link.order.size(); ++index) {
        EXPECT_LT(link.order[index - 1], link.order[index]);
    }
}

// Guards against a link that is not known and holds back everything, and against a burst of one window that waits.
TEST(LinkQueueTest, NothingWaitsWithoutARateOrBelowIt)
{
    LinkQueue unknown(0);
    unknown.advance(s_start);
    unknown.sent(s_bulkBytes);
    EXPECT_FALSE(unknown.mustWait());
    Link link;
    link.run(1s, 0, 3);
    EXPECT_FALSE(link.queue.mustWait());
}

} // namespace samphireswitch::balancer
