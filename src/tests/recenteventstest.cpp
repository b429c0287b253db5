#include "telemetry/recentevents.h"
#include "telemetry/eventlog.h"
#include "telemetry/metricsendpoint.h"

#include "standin/loopbacknetwork.h"

#include <boost/asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <iterator>
#include <string>
#include <thread>

namespace samphireswitch::telemetry {

namespace {

constexpr std::uint16_t s_port = 7723;

/** What an HTTP server at @p address answers to a GET request for @p path, with its headers. */
std::string answerOf(const Endpoint &address, const std::string &path)
{
    boost::asio::ip::tcp::iostream stream;
    stream.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(address.address), address.port));
    stream << "GET " << path << " HTTP/1.0\r\n\r\n" << std::flush;
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace

// Guards against a record that grows with the number of resets, or that keeps the first ones in place of the last.
TEST(RecentEventsTest, KeepsTheLastEvents)
{
    RecentEvents events(2);
    for (const int number : {1, 2, 3}) {
        events.record(Severity::Info, "flow-reset-by-agent", {{"number", number}});
    }
    EXPECT_EQ(events.total(), 3U);
    const std::string text = events.text();
    EXPECT_EQ(text.find("\"number\":1"), std::string::npos) << text;
    EXPECT_LT(text.find("\"number\":2"), text.find("\"number\":3")) << text;
    EXPECT_EQ(std::ranges::count(text, '\n'), 2);
}

// Guards against resets whose grounds are lost because the log bounds the number of lines of each kind.
TEST(RecentEventsTest, KeepsEventsThatTheLogSuppresses)
{
    constexpr std::size_t manyEvents = 2000;
    RecentEvents events(manyEvents);
    for (std::size_t number = 0; number < manyEvents; ++number) {
        events.record(Severity::Info, "recent-events-test", {{"number", number}});
    }
    EXPECT_NE(events.text().find("\"number\":1999"), std::string::npos);
    EXPECT_GT(logCounters().suppressed, 0U);
}

// Guards against resets, and packets that reached an upstream in vain, that nobody can read while the process runs.
TEST(RecentEventsTest, MetricsAddressServesTheLastResets)
{
    auto network = standin::LoopbackNetwork::reserve();
    ASSERT_TRUE(network);
    const Endpoint address {network->address(1), s_port};
    EventLog events("balancer-1", 10);
    events.flowResets().record(Severity::Info, "open-flow-reset", {{"flow", "a>b"}});
    events.firstPacketResets().record(Severity::Info, "first-packet-refused", {{"flow", "c>d"}});
    events.returnedPackets().record(Severity::Warning, "packet-returned", {{"flow", "e>f"}});
    MetricsEndpoint endpoint(address,
                             {[] { return std::vector<Metric> {}; },
                              [&] { return events.resetText(); },
                              [&] { return events.returnedPackets().text(); }});
    ASSERT_TRUE(endpoint.open());
    std::thread server([&endpoint] { endpoint.run(); });
    const std::string answer = answerOf(address, "/resets");
    const std::string returned = answerOf(address, "/returned-packets");
    endpoint.requestStop();
    server.join();
    EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
    EXPECT_LT(answer.find("a>b"), answer.find("c>d")) << answer;
    EXPECT_NE(answer.find("c>d"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("e>f"), std::string::npos) << answer;
    EXPECT_NE(returned.find("e>f"), std::string::npos) << returned;
}

} // namespace samphireswitch::telemetry
