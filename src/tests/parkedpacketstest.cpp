#include "agent/parkedpackets.h"

#include <gtest/gtest.h>

#include <array>

namespace samphireswitch::agent {

// Guards against packets that expired while they were held and stay for good, until no packet can be held any more.
TEST(ParkedPacketsTest, PacketsThatNobodyNeedsLeaveRoom)
{
    ParkedPackets parked;
    const std::array<std::byte, 40> packet {};
    const auto keyOf = [](std::uint16_t port) { return flow::FlowKey {{0x64400007, port}, {0xc6120001, 443}}; };
    std::uint16_t port = 1;
    while (parked.store(keyOf(port), packet)) {
        ++port;
    }
    parked.retain([&](const flow::FlowKey &key) { return key == keyOf(1); });
    EXPECT_EQ(parked.size(), 1U);
    EXPECT_TRUE(parked.store(keyOf(port), packet));
    EXPECT_EQ(parked.take(keyOf(1)).size(), packet.size());
}

} // namespace samphireswitch::agent
