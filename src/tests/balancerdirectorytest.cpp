#include "control/balancerdirectory.h"

#include "http/server.h"
#include "standin/loopbacknetwork.h"
#include "store/base64.h"
#include "telemetry/logging.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <limits>
#include <mutex>
#include <thread>

namespace samphireswitch::control {

namespace {

using namespace std::chrono_literals;
using protocol::MemberRecord;

MemberRecord balancer(std::uint64_t id)
{
    MemberRecord record;
    record.id = id;
    record.role = protocol::MemberRole::Balancer;
    record.incarnation = 1;
    record.version = 1;
    record.name = "balancer-" + std::to_string(id);
    return record;
}

std::string encoded(const protocol::Message &message)
{
    protocol::DatagramCodec codec;
    const auto bytes = codec.encode(message).value();
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string item(const std::string &key, const std::string &value)
{
    return R"({"key":"samphireswitch/balancers/)" + key + R"(","value":")" + value + R"(","revision":3})";
}

/** A store with given directory entries, and a process that reads them. */
class BalancerDirectoryTest : public testing::Test
{
protected:
    http::Response respond(const http::Request &)
    {
        const std::lock_guard lock(mutex);
        return {200, "application/json", R"({"items":[)" + items + R"(],"has_more":false,"at":9})"};
    }

    /** Reads a list of two readable entries with @p unusualItem between them, and returns what was logged meanwhile. */
    std::string readListWith(const std::string &unusualItem)
    {
        items = item("2", store::encodeBase64(encoded(protocol::MemberUpdate {{balancer(2)}}))) + "," + unusualItem
            + "," + item("4", store::encodeBase64(encoded(protocol::MemberUpdate {{balancer(4)}})));
        testing::internal::CaptureStdout();
        telemetry::startLogging("test", telemetry::Severity::Info);
        telemetry::EventLog events("balancer-1", 100);
        ControlNode node(GossipSettings {}, balancer(1), {}, {[](const auto &) {}, [](const auto &) {}}, events);
        BalancerDirectory directory(address, node, false);
        http::Server server {{{address, [this](const http::Request &request) { return respond(request); }}}};
        EXPECT_TRUE(server.open());
        std::thread serving([&] { server.run(); });
        std::thread control([&] { node.run(); });
        std::thread reading([&] { directory.run(); });
        const TimePoint deadline = Clock::now() + tests::s_ampleTime;
        while (node.snapshot()->members->size() < 2 && Clock::now() < deadline) {
            std::this_thread::sleep_for(10ms);
        }
        directory.requestStop();
        reading.join();
        node.requestStop();
        control.join();
        server.requestStop();
        serving.join();
        telemetry::stopLogging();
        members = node.snapshot()->members->records();
        return testing::internal::GetCapturedStdout();
    }

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint address {network.address(1), 8170};
    std::mutex mutex;
    std::string items;
    std::vector<MemberRecord> members;
};

} // namespace

// Guards against a malformed entry that ends the thread, prevents the other entries from being read, or is skipped
// without a logged reason, so that operators cannot tell what is wrong with it.
TEST_F(BalancerDirectoryTest, MalformedEntryIsLoggedWithItsReasonAndSkipped)
{
    const std::string whole = encoded(protocol::MemberUpdate {{balancer(3)}});
    MemberRecord unknownState = balancer(3);
    unknownState.state = static_cast<protocol::MemberState>(9);
    MemberRecord outOfRange = balancer(3);
    outOfRange.incarnation = std::numeric_limits<std::uint64_t>::max();
    const std::vector<std::string> values {"",
                                           std::string(64, '\0'),
                                           std::string(64, '\xff'),
                                           std::string(200'000, '['),
                                           R"({"address":"10.0.0.1:70000","concurrency":1e400,"sequence":-1}  )",
                                           whole.substr(0, 24),
                                           whole + std::string(3, 'x'),
                                           encoded(protocol::Receipt {7}),
                                           encoded(protocol::MemberUpdate {{unknownState}}),
                                           encoded(protocol::MemberUpdate {{outOfRange}})};
    for (std::size_t index = 0; index < values.size(); ++index) {
        const std::string log = readListWith(item("3", store::encodeBase64(values[index])));
        EXPECT_EQ(members.size(), 2U) << index << ": " << log;
        const auto begin = log.find("directory-entry-unreadable");
        ASSERT_NE(begin, std::string::npos) << index << ": " << log;
        const std::string line = log.substr(begin, log.find('\n', begin) - begin);
        EXPECT_NE(line.find("samphireswitch/balancers/3"), std::string::npos) << line;
        EXPECT_NE(line.find("\"reason\":\""), std::string::npos) << line;
        EXPECT_EQ(line.find("\"reason\":\"\""), std::string::npos) << line;
    }
}

// Guards against an item whose value is not valid Base64: the whole list was rejected and read again in a loop, and a
// balancer that could not read the list wrote no entry of its own.
TEST_F(BalancerDirectoryTest, UnreadableItemHidesNoOtherBalancer)
{
    const std::string log = readListWith(R"({"key":"samphireswitch/balancers/3","value":"%%%","revision":3})");
    EXPECT_EQ(members.size(), 2U) << log;
    EXPECT_NE(log.find("directory-entry-unreadable"), std::string::npos) << log;
    EXPECT_EQ(log.find("directory-lost"), std::string::npos) << log;
}

} // namespace samphireswitch::control
