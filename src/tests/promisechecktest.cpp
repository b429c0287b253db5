#include "soak/promisecheck.h"

#include <gtest/gtest.h>

namespace samphireswitch::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint s_route {0xc6120001, 443};
const flow::FlowKey s_flow {{0x64400007, 40001}, s_route};

} // namespace

/** The soak is trusted only as far as it finds faults that are put in on purpose: one for each promise. */
class PromiseCheckTest : public testing::Test
{
protected:
    PromiseCheckTest()
    {
        m_check.configurationConfirmed({{s_route, "orders"}}, at(seconds(0)));
    }

    /** Times begin long after the clock's epoch, so that nothing counts as lately disturbed. */
    static TimePoint at(milliseconds time)
    {
        return TimePoint(std::chrono::hours(1)) + time;
    }

    void openFlow(milliseconds time)
    {
        m_check.packetSent(s_flow, "balancer-1", true, at(time));
        m_check.firstPacketTaken(s_flow, "upstream-1", "orders", at(time));
        m_check.flowOpened(s_flow, "upstream-1");
    }

    std::vector<Promise> violated() const
    {
        std::vector<Promise> promises;
        for (const Violation &violation : m_check.violations()) {
            promises.push_back(violation.promise);
        }
        return promises;
    }

    PromiseCheck m_check;
};

// Guards against a check that takes allowed behaviour for a fault.
TEST_F(PromiseCheckTest, OrdinaryFlowBreaksNothing)
{
    openFlow(seconds(1));
    m_check.requestSent(7);
    m_check.requestRan(7, "upstream-1", at(seconds(1)));
    m_check.packetArrived(s_flow, "upstream-1", at(seconds(2)));
    m_check.flowEnded(s_flow);
    m_check.resetArrived(s_flow, "agent-1", at(seconds(3)));
    EXPECT_TRUE(m_check.violations().empty());
}

// Guards against a request that runs at two upstreams and is not noticed.
TEST_F(PromiseCheckTest, FindsARequestThatRunsTwice)
{
    m_check.requestSent(7);
    m_check.requestRan(7, "upstream-1", at(seconds(1)));
    m_check.requestRan(7, "upstream-2", at(seconds(2)));
    EXPECT_EQ(violated(), std::vector {Promise::RunsOnce});
}

// Guards against a forged request that is not noticed.
TEST_F(PromiseCheckTest, FindsARequestThatNobodySent)
{
    m_check.requestRan(8, "upstream-1", at(seconds(1)));
    EXPECT_EQ(violated(), std::vector {Promise::Unasked});
}

// Guards against a flow to a pool that never served its address.
TEST_F(PromiseCheckTest, FindsAFlowAtAPoolThatNoConfigurationAllows)
{
    m_check.packetSent(s_flow, "balancer-1", true, at(seconds(1)));
    m_check.firstPacketTaken(s_flow, "upstream-3", "scans", at(seconds(1)));
    EXPECT_EQ(violated(), std::vector {Promise::Route});
}

// Guards against a balancer that keeps an old configuration.
TEST_F(PromiseCheckTest, FindsAFlowByAnOldConfiguration)
{
    m_check.configurationConfirmed({}, at(seconds(10)));
    m_check.packetSent(s_flow, "balancer-1", true, at(milliseconds(12900)));
    m_check.firstPacketTaken(s_flow, "upstream-1", "orders", at(milliseconds(12910)));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.packetSent(s_flow, "balancer-1", true, at(milliseconds(13100)));
    m_check.firstPacketTaken(s_flow, "upstream-1", "orders", at(milliseconds(13110)));
    EXPECT_EQ(violated(), std::vector {Promise::Configuration});
}

// Guards against a bound that is held against a balancer that did not reach the store.
TEST_F(PromiseCheckTest, DisturbedBalancerMayKeepAnOldConfiguration)
{
    m_check.configurationConfirmed({}, at(seconds(10)));
    m_check.disturbanceBegan("balancer-1");
    m_check.disturbanceEnded("balancer-1", at(seconds(11)));
    m_check.packetSent(s_flow, "balancer-1", true, at(milliseconds(13100)));
    m_check.firstPacketTaken(s_flow, "upstream-1", "orders", at(milliseconds(13110)));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.packetSent(s_flow, "balancer-1", true, at(milliseconds(15100)));
    m_check.firstPacketTaken(s_flow, "upstream-1", "orders", at(milliseconds(15110)));
    EXPECT_EQ(violated(), std::vector {Promise::Configuration});
}

// Guards against an agent that hands new flows to an upstream that leaves.
TEST_F(PromiseCheckTest, FindsAFlowAtAnUpstreamThatLeaves)
{
    m_check.drainAcknowledged("upstream-1", at(seconds(10)));
    openFlow(milliseconds(12900));
    EXPECT_TRUE(m_check.violations().empty());
    openFlow(milliseconds(13100));
    EXPECT_EQ(violated(), std::vector {Promise::Drain});
}

// Guards against new flows to an evacuated failure domain, before an evacuation is taken back and after it began again.
TEST_F(PromiseCheckTest, FindsAFlowInAnEvacuatedFailureDomain)
{
    m_check.upstreamStarted("upstream-1", {"domain-b", {}, 0});
    m_check.evacuationConfirmed("domain-a", at(seconds(1)));
    m_check.evacuationConfirmed("domain-b", at(seconds(10)));
    openFlow(milliseconds(14900));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.evacuationConfirmed("domain-b", at(seconds(15)));
    openFlow(milliseconds(15100));
    EXPECT_EQ(violated(), std::vector {Promise::Evacuation});
    m_check.evacuationTakenBack("domain-b");
    openFlow(milliseconds(15200));
    m_check.evacuationConfirmed("domain-b", at(seconds(16)));
    openFlow(milliseconds(20900));
    EXPECT_EQ(violated().size(), 1U);
    openFlow(milliseconds(21100));
    EXPECT_EQ(violated().size(), 2U);
}

// Guards against a bound of an evacuation that is held against a machine that could not know of it.
TEST_F(PromiseCheckTest, MachinesOutOfTouchMayNotKnowOfAnEvacuation)
{
    m_check.upstreamStarted("upstream-1", {"domain-b", {}, 0});
    m_check.evacuationConfirmed("domain-b", at(seconds(10)));
    m_check.disturbanceBegan("balancer-1");
    openFlow(seconds(16));
    m_check.disturbanceEnded("balancer-1", at(seconds(16)));
    m_check.stopBegan("agent-1");
    openFlow(seconds(20));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.stopEnded("agent-1", at(seconds(20)));
    openFlow(seconds(24));
    EXPECT_EQ(violated(), std::vector {Promise::Evacuation});
}

// Guards against a cold upstream that gets too much in a second that begins at any time, through whatever balancer.
TEST_F(PromiseCheckTest, FindsTooManyFlowsAtAColdUpstream)
{
    // 2 x 1.5 + 5 in a second.
    constexpr int allowed = 8;
    m_check.upstreamStarted("upstream-1", {"domain-b", at(seconds(10)), 2});
    const auto take = [this](int count, milliseconds time) {
        for (int number = 0; number < count; ++number) {
            openFlow(time);
        }
    };
    take(allowed, milliseconds(1600));
    take(allowed, milliseconds(2600));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.disturbanceBegan("balancer-1");
    take(1, milliseconds(3599));
    EXPECT_EQ(violated(), std::vector {Promise::SlowStart});
    take(allowed + 1, seconds(10));
    EXPECT_EQ(violated().size(), 1U);
}

// Guards against packets that waited on their way and that count for the second in which they arrive together.
TEST_F(PromiseCheckTest, OnlyFlowsSentInTheSameSecondCount)
{
    m_check.upstreamStarted("upstream-1", {"domain-b", at(seconds(10)), 2});
    for (std::uint16_t number = 0; number < 20; ++number) {
        const flow::FlowKey key {{s_flow.source.address, static_cast<std::uint16_t>(50000 + number)}, s_route};
        m_check.packetSent(key, "balancer-1", true, at(milliseconds(1000 + 200 * number)));
    }
    for (std::uint16_t number = 0; number < 20; ++number) {
        const flow::FlowKey key {{s_flow.source.address, static_cast<std::uint16_t>(50000 + number)}, s_route};
        m_check.firstPacketTaken(key, "upstream-1", "orders", at(seconds(5)));
    }
    EXPECT_TRUE(m_check.violations().empty());
}

// Guards against an agent that forgets a flow at a planned stop of a balancer.
TEST_F(PromiseCheckTest, FindsAResetOfAnOpenFlowAtAPlannedStop)
{
    openFlow(seconds(1));
    m_check.stopBegan("balancer-1");
    m_check.resetArrived(s_flow, "agent-1", at(seconds(2)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against a reset that counts although its sender could not know better.
TEST_F(PromiseCheckTest, DisturbedAgentMayResetAFlow)
{
    openFlow(seconds(1));
    m_check.disturbanceBegan("agent-1");
    m_check.resetArrived(s_flow, "agent-1", at(seconds(2)));
    EXPECT_TRUE(m_check.violations().empty());
}

// Guards against a reset that is excused by a disturbance of a balancer that took none of the packets which led to it.
TEST_F(PromiseCheckTest, FindsAResetByACalmBalancerAfterADisturbedOne)
{
    openFlow(seconds(1));
    m_check.disturbanceBegan("balancer-1");
    m_check.disturbanceEnded("balancer-1", at(seconds(2)));
    m_check.packetSent(s_flow, "balancer-2", false, at(seconds(3)));
    m_check.resetArrived(s_flow, "balancer-2", at(milliseconds(3010)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against packets astray that are excused by a disturbance of a balancer that took them before they went astray.
TEST_F(PromiseCheckTest, FindsAFlowThatACalmBalancerKeepsFromItsUpstream)
{
    openFlow(seconds(1));
    m_check.disturbanceBegan("balancer-1");
    m_check.disturbanceEnded("balancer-1", at(seconds(2)));
    for (const int number : {0, 1, 2}) {
        m_check.packetArrived(s_flow, "upstream-2", at(milliseconds(2000 + 1000 * number)));
        m_check.packetSent(s_flow, "balancer-2", false, at(milliseconds(2000 + 1000 * number)));
    }
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against a reset of a lost flow that counts.
TEST_F(PromiseCheckTest, FlowOfAnEndedUpstreamMayBeReset)
{
    openFlow(seconds(1));
    m_check.upstreamEnded("upstream-1");
    m_check.resetArrived(s_flow, "agent-1", at(seconds(2)));
    EXPECT_TRUE(m_check.violations().empty());
}

// Guards against packets of an open flow that go to other upstreams only.
TEST_F(PromiseCheckTest, FindsAFlowThatIsKeptFromItsUpstream)
{
    openFlow(seconds(1));
    m_check.packetArrived(s_flow, "upstream-2", at(seconds(2)));
    m_check.packetArrived(s_flow, "upstream-2", at(seconds(3)));
    m_check.packetArrived(s_flow, "upstream-1", at(milliseconds(3500)));
    m_check.packetArrived(s_flow, "upstream-2", at(seconds(4)));
    m_check.packetArrived(s_flow, "upstream-2", at(seconds(5)));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.packetArrived(s_flow, "upstream-2", at(seconds(6)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against a flow that is kept from its upstream and is not noticed because no further packet of it arrives.
TEST_F(PromiseCheckTest, FindsAFlowWhosePacketsStopShortOfItsUpstream)
{
    openFlow(seconds(1));
    for (const int number : {0, 1, 2}) {
        m_check.packetSent(s_flow, "balancer-1", false, at(milliseconds(2000 + 600 * number)));
        m_check.packetArrived(s_flow, "upstream-2", at(milliseconds(2000 + 600 * number)));
    }
    m_check.timePassed(at(milliseconds(4400)));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.timePassed(at(milliseconds(4600)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against packets at other upstreams that are excused because the caller, which has its answer, sends nothing
// more.
TEST_F(PromiseCheckTest, FindsPacketsAstrayOfAFlowWhoseCallerIsSilent)
{
    openFlow(seconds(1));
    for (const int number : {0, 1, 2}) {
        m_check.packetSent(s_flow, "balancer-1", false, at(milliseconds(2000 + 10 * number)));
        m_check.packetArrived(s_flow, "upstream-2", at(milliseconds(2000 + 10 * number)));
    }
    m_check.timePassed(at(milliseconds(4400)));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.timePassed(at(milliseconds(4600)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against a reset of another upstream, to which a packet of the flow went, that is taken for one of the flow's
// own.
TEST_F(PromiseCheckTest, FindsAResetOfAnotherUpstream)
{
    openFlow(seconds(1));
    m_check.upstreamResetArrived(s_flow, "agent-1", at(seconds(2)));
    EXPECT_TRUE(m_check.violations().empty());
    m_check.upstreamResetArrived(s_flow, "agent-2", at(seconds(2)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

// Guards against a reset that RULES.md allows, because a configuration drops the route of the flow, and that is taken
// for a fault, and against one that is excused although the dropped route is another one.
TEST_F(PromiseCheckTest, OnlyFlowsWhoseRouteIsDroppedMayBeReset)
{
    const Endpoint otherRoute {s_route.address + 1, s_route.port};
    m_check.configurationConfirmed({{s_route, "orders"}, {otherRoute, "orders"}}, at(milliseconds(500)));
    openFlow(seconds(1));
    m_check.configurationConfirmed({{otherRoute, "orders"}}, at(milliseconds(1002)));
    m_check.resetArrived(s_flow, "balancer-1", at(milliseconds(1211)));
    EXPECT_TRUE(m_check.violations().empty());

    m_check.configurationConfirmed({{s_route, "orders"}, {otherRoute, "orders"}}, at(seconds(2)));
    openFlow(seconds(3));
    m_check.configurationConfirmed({{s_route, "orders"}}, at(seconds(4)));
    m_check.resetArrived(s_flow, "balancer-1", at(milliseconds(4200)));
    EXPECT_EQ(violated(), std::vector {Promise::Flow});
}

} // namespace samphireswitch::soak
