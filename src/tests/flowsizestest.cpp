#include "balancer/flowsizes.h"

#include <gtest/gtest.h>

#include <array>

namespace samphireswitch::balancer {

namespace {

using namespace std::chrono_literals;

constexpr Endpoint s_uploads {0xc6120001, 443};
constexpr Endpoint s_writes {0xc6120001, 8080};
constexpr TimePoint s_start = TimePoint() + 1h;

} // namespace

// Guards against bulk that is told by a few flows, such as those to an address that has just been added.
TEST(FlowSizesTest, AddressThatIsHardlyKnownIsNoBulk)
{
    FlowSizes sizes;
    for (int flow = 0; flow < 3; ++flow) {
        sizes.passed(s_uploads, 90'000, true, s_start);
    }
    EXPECT_FALSE(sizes.isBulk(s_uploads));
    sizes.passed(s_uploads, 90'000, true, s_start);
    EXPECT_TRUE(sizes.isBulk(s_uploads));
}

// Guards against small requests that count as bulk because no others arrive.
TEST(FlowSizesTest, FlowsOfOneWindowAreNoBulk)
{
    FlowSizes sizes;
    for (int flow = 0; flow < 100; ++flow) {
        sizes.passed(s_writes, 15'000, true, s_start);
    }
    EXPECT_FALSE(sizes.isBulk(s_writes));
}

// Guards against bulk that is told by one large flow, and against sizes that count after a service has changed.
TEST(FlowSizesTest, BulkIsWhatBringsHalfOfTheBytes)
{
    FlowSizes sizes;
    const std::array<Endpoint, 3> services {Endpoint {1, 1}, Endpoint {1, 2}, Endpoint {1, 3}};
    const std::array<std::size_t, 3> bytes {10'000, 100'000, 150'000};
    for (int flow = 0; flow < 8; ++flow) {
        for (std::size_t service = 0; service < services.size(); ++service) {
            sizes.passed(services[service], bytes[service], true, s_start);
        }
    }
    EXPECT_FALSE(sizes.isBulk(services[0]));
    EXPECT_FALSE(sizes.isBulk(services[1]));
    EXPECT_TRUE(sizes.isBulk(services[2]));
    EXPECT_FALSE(sizes.isBulk({1, 4}));
    for (int second = 1; second < 60; ++second) {
        for (int flow = 0; flow < 8; ++flow) {
            sizes.passed(services[0], 200'000, true, s_start + std::chrono::seconds(second));
        }
    }
    EXPECT_TRUE(sizes.isBulk(services[0]));
    EXPECT_FALSE(sizes.isBulk(services[2]));
}

} // namespace samphireswitch::balancer
