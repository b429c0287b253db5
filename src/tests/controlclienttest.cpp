#include "control/controlclient.h"
#include "base/time.h"
#include "tests/controlstub.h"
#include "tests/resulterror.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace samphireswitch::control {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::uint32_t s_loopback = 0x7f000001;
// For the test of the limit itself.
constexpr milliseconds s_timeLimit {300};

protocol::Status sampleStatus()
{
    protocol::MemberRecord member;
    member.name = "ghiffa-1";
    return {
        "balancer-1", protocol::MemberRole::Balancer, "Ghiffa", 3, "active", {{"flows", 7}}, {member}, {"one flow"}};
}

} // namespace

// Guards against answers that are incomplete or belong to another call.
TEST(ControlClientTest, ReadsEveryAnswer)
{
    telemetry::EventRecord event;
    event.sequence = 4;
    event.process = "balancer-1";
    const ControlStub stub({sampleStatus(), {event}, false, false, {}});
    const ControlClient client(stub.endpoint(), tests::s_ampleTime);
    EXPECT_EQ(*client.status(), sampleStatus());
    EXPECT_EQ(client.members()->size(), 1U);
    EXPECT_EQ(*client.configurationSince(1), (configuration::ConfigurationDelta {1, 3, {}}));
    const auto page = client.events(0);
    ASSERT_TRUE(page);
    EXPECT_EQ(page->events.size(), 1U);
    EXPECT_EQ(page->next, 4U);
    const auto offer = client.offerConfiguration({3, 5, {}});
    ASSERT_TRUE(offer);
    EXPECT_EQ(offer->generation, 5U);
    EXPECT_EQ(stub.offers().size(), 1U);
}

// Guards against commands that hang on a frozen process, or on one that accepts connections without answering.
TEST(ControlClientTest, SilentProcessIsReportedInTime)
{
    const ControlStub frozen({sampleStatus(), {}, true, false, {}});
    boost::asio::io_context context;
    tcp::acceptor silentAcceptor(context, {boost::asio::ip::address_v4(s_loopback), 0});
    for (const Endpoint &endpoint :
         {frozen.endpoint(), Endpoint {s_loopback, silentAcceptor.local_endpoint().port()}}) {
        const TimePoint start = Clock::now();
        const ControlClient client(endpoint, s_timeLimit);
        EXPECT_EQ(errorOf([&] { return client.status(); }).code, ResultCode::PeerUnavailable);
        EXPECT_LT(Clock::now() - start, 10 * s_timeLimit);
    }
    const Endpoint closed {s_loopback, silentAcceptor.local_endpoint().port()};
    silentAcceptor.close();
    const ControlClient client(closed, s_timeLimit);
    EXPECT_EQ(errorOf([&] { return client.status(); }).code, ResultCode::PeerUnavailable);
}

// Guards against invalid answers of a faulty process that are accepted as a configuration or as a result.
TEST(ControlClientTest, RejectsAnswersThatBreakRules)
{
    const ControlStub stub({sampleStatus(), {}, false, true, {}});
    const ControlClient client(stub.endpoint(), tests::s_ampleTime);
    EXPECT_EQ(errorOf([&] { return client.configurationSince(1); }).code, ResultCode::MessageMalformed);
    EXPECT_EQ(errorOf([&] { return client.offerConfiguration({3, 5, {}}); }).code, ResultCode::MessageMalformed);
}

} // namespace samphireswitch::control
