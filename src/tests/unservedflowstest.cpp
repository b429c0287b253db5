#include "routing/unservedflows.h"

#include <gtest/gtest.h>

namespace samphireswitch::routing {

namespace {

using namespace std::chrono_literals;

flow::FlowKey key(std::uint16_t port)
{
    return {{0x0a000001, port}, {0xc6120001, 443}};
}

} // namespace

// Guards against a flow that looks older or younger than it is, so that its caller is reset too early or never.
TEST(UnservedFlowsTest, RemembersTheFirstPacketOfEachFlow)
{
    const TimePoint start = TimePoint() + 1h;
    UnservedFlows flows(2);
    EXPECT_EQ(flows.firstPacketAt(key(1), start), start);
    EXPECT_EQ(flows.firstPacketAt(key(2), start + 1s), start + 1s);
    EXPECT_EQ(flows.firstPacketAt(key(1), start + 2s), start);
    EXPECT_EQ(flows.firstPacketAt(key(3), start + 3s), start + 3s) << "replaces the oldest one";
    EXPECT_EQ(flows.firstPacketAt(key(2), start + 4s), start + 1s);
    EXPECT_EQ(flows.firstPacketAt(key(1), start + 4s), start + 4s) << "forgotten, and so new";
}

// Guards against callers that get no reset after the route of many open flows was removed.
TEST(UnservedFlowsTest, EachOfManyFlowsIsRememberedUntilItsNextPacket)
{
    constexpr std::uint16_t count = 2000;
    const TimePoint start = TimePoint() + 1h;
    UnservedFlows flows;
    int remembered = 0;
    for (const auto time : {start, start + 1s}) {
        for (std::uint16_t port = 1; port <= count; ++port) {
            remembered += flows.firstPacketAt(key(port), time) < time ? 1 : 0;
        }
    }
    EXPECT_EQ(remembered, count);
}

// Guards against the reset of a new flow with the addresses and ports of an earlier one, whose packets arrived long
// before the confirmation: the confirmation says nothing about the new flow.
TEST(UnservedFlowsTest, FlowAfterALongPauseIsAnotherOne)
{
    const TimePoint start = TimePoint() + 1h;
    UnservedFlows flows;
    flows.firstPacketAt(key(1), start);
    EXPECT_EQ(flows.firstPacketAt(key(1), start + 3s), start) << "callers send a packet again after 1.6 s at most";
    EXPECT_EQ(flows.firstPacketAt(key(1), start + 6s), start);
    EXPECT_EQ(flows.firstPacketAt(key(1), start + 10s), start + 10s);
    EXPECT_EQ(flows.firstPacketAt(key(1), start + 11s), start + 10s);
}

} // namespace samphireswitch::routing
