#include "routing/flowrouter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace samphireswitch::routing {

namespace {

using namespace std::chrono_literals;

constexpr Endpoint s_origin {0x7f000001, 7000};
constexpr Endpoint s_address {0xc6120001, 443};
const TimePoint s_start = TimePoint() + 1h;

protocol::Candidate agent(std::uint64_t number)
{
    return {AgentId {mixHash(number, 1)}, {0x7f000002, static_cast<std::uint16_t>(number)}};
}

RoutedPool pool(const std::string &name, std::uint64_t first, std::uint64_t count)
{
    RoutedPool result;
    result.service = ServiceId::fromName(name);
    for (std::uint64_t number = first; number < first + count; ++number) {
        result.eligible.push_back(agent(number));
    }
    return result;
}

RoutedService service(std::vector<RoutedShare> shares)
{
    RoutedService result;
    result.service = ServiceId {1};
    result.address = s_address.address;
    result.requestPort = s_address.port;
    result.shares = std::move(shares);
    return result;
}

FlowRouter makeRouter(const std::vector<RoutedService> &services, const std::vector<RoutedPool> &pools)
{
    FlowRouter router(s_origin, HintTable(1000, {1, 2}));
    router.replace(std::make_shared<const RoutingTable>(5, services, pools));
    return router;
}

flow::Segment packet(std::uint16_t port, bool first, std::uint32_t copy = 0)
{
    flow::Segment segment;
    segment.key = {{0x64400007, port}, s_address};
    segment.syn = first;
    segment.ack = !first;
    segment.earlierCopies = copy;
    return segment;
}

protocol::EnvelopeHeader route(FlowRouter &router, const flow::Segment &segment, TimePoint now = s_start)
{
    const RouteDecision decision = router.route(segment, now);
    const auto *forward = std::get_if<Forward>(&decision);
    return forward == nullptr ? protocol::EnvelopeHeader() : forward->header;
}

} // namespace

// Guards against weights that are not kept, and against a share of 0 that gets flows.
TEST(FlowRouterPoolsTest, NewFlowsAreSharedByWeight)
{
    FlowRouter router =
        makeRouter({service({{0, 90}, {1, 10}, {2, 0}})}, {pool("a", 1, 3), pool("b", 11, 3), pool("c", 21, 3)});
    std::map<std::uint64_t, int> flows;
    for (std::uint16_t port = 1; port <= 5000; ++port) {
        ++flows[route(router, packet(port, true)).service.value];
    }
    EXPECT_NEAR(flows[ServiceId::fromName("a").value], 4500, 150);
    EXPECT_NEAR(flows[ServiceId::fromName("b").value], 500, 150);
    EXPECT_EQ(flows.contains(ServiceId::fromName("c").value), false);
}

// Guards against an open flow that is lost when the operator moves its service to another pool.
TEST(FlowRouterPoolsTest, OpenFlowIsSearchedInAllPools)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("new", 1, 3), pool("old", 11, 3)});
    const auto header = route(router, packet(1, false));
    EXPECT_EQ(header.chain.size(), 6U);
    EXPECT_TRUE(std::ranges::find(header.chain, agent(12)) != header.chain.end());
    router.learn({packet(1, false).key, agent(12), 5}, s_start);
    const auto hinted = route(router, packet(1, false));
    ASSERT_EQ(hinted.chain.size(), 1U);
    EXPECT_EQ(hinted.chain.front(), agent(12));
}

// Guards against a search that does not reach the agents of a service with more of them than a chain once held.
TEST(FlowRouterPoolsTest, SearchCoversServicesWithManyAgents)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 42)});
    EXPECT_EQ(route(router, packet(1, false)).chain.size(), 42U);
}

// Guards against a caller whose repeated packets all go to the same dead agent.
TEST(FlowRouterPoolsTest, RepeatedFirstPacketGoesToTheNextAgent)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 5)});
    const auto first = route(router, packet(1, true, 0)).chain;
    const auto second = route(router, packet(1, true, 1)).chain;
    EXPECT_EQ(second.front(), first[1]);
    EXPECT_EQ(second.back(), first.front());
}

// Guards against new flows that go to an agent that does not answer, until its heartbeats are missed.
TEST(FlowRouterPoolsTest, SilentAgentIsAskedLast)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 3)});
    const auto silent = route(router, packet(1, true)).chain.front();
    std::uint16_t port = 1;
    for (int repeated = 0; repeated < 2; ++port) {
        if (route(router, packet(port, true)).chain.front() == silent) {
            route(router, packet(port, true, 1), s_start + 200ms);
            ++repeated;
        }
    }
    for (port = 2000; port < 2100; ++port) {
        EXPECT_NE(route(router, packet(port, true), s_start + 300ms).chain.front(), silent);
    }
}

// Guards against a reset of a flow whose owner may be an agent that was not asked.
TEST(FlowRouterPoolsTest, SearchIsExhaustiveOnlyWithACompleteTableAndWithoutSuspects)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 3)});
    EXPECT_FALSE(route(router, packet(1, false)).exhaustive);
    router.setTableComplete(true);
    EXPECT_TRUE(route(router, packet(1, false)).exhaustive);
    RoutedPool withSuspect = pool("a", 1, 3);
    withSuspect.suspect.push_back(agent(9));
    router.replace(std::make_shared<const RoutingTable>(6, std::vector {service({{0, 1}})}, std::vector {withSuspect}));
    EXPECT_FALSE(route(router, packet(1, false)).exhaustive);
}

// Guards against an outage while every agent is only suspected, as after a pause of this balancer.
TEST(FlowRouterPoolsTest, SuspectsServeWhenNobodyElseDoes)
{
    RoutedPool suspects;
    suspects.service = ServiceId::fromName("a");
    suspects.suspect = {agent(1), agent(2)};
    FlowRouter router = makeRouter({service({{0, 1}})}, {suspects});
    EXPECT_EQ(route(router, packet(1, true)).chain.size(), 2U);
}

} // namespace samphireswitch::routing
