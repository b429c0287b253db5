#include "routing/candidatechain.h"
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

RoutedService service(std::vector<RoutedShare> shares, bool idempotent = false)
{
    RoutedService result;
    result.service = ServiceId {1};
    result.address = s_address.address;
    result.requestPort = s_address.port;
    result.shares = std::move(shares);
    result.idempotent = idempotent;
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
    segment.synRetransmissions = copy;
    return segment;
}

/** Routes @p segment without waiting for a search in progress. Returns its envelope header, empty if dropped. */
protocol::EnvelopeHeader route(FlowRouter &router, const flow::Segment &segment, TimePoint now = s_start)
{
    const RouteDecision decision = router.route(segment, now, SearchMode::EveryPacket);
    const auto *forward = std::get_if<Forward>(&decision);
    return forward == nullptr ? protocol::EnvelopeHeader() : forward->header;
}

} // namespace

// Guards against ignoring the weights of pools, and against sending flows to a pool of weight 0.
TEST(FlowRouterPoolsTest, NewFlowsAreDistributedByWeight)
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

// Guards against losing open flows when the operator moves their service to another pool.
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

// Guards against a search that omits agents of a service with 42 agents, which is more than a chain held originally.
TEST(FlowRouterPoolsTest, SearchCoversServicesWithManyAgents)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 42)});
    EXPECT_EQ(route(router, packet(1, false)).chain.size(), 42U);
}

// Guards against sending each of the 16 packets of an upload that are in flight through 42 agents after the fabric
// moved the flow to another balancer. One packet searches for the owner; the others wait and go to the owner directly.
TEST(FlowRouterPoolsTest, OneSearchServesAllPacketsOfAFlow)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 42)});
    std::size_t searches = 0;
    std::size_t waiting = 0;
    for (int position = 0; position < 16; ++position) {
        const RouteDecision decision = router.route(packet(1, false), s_start + 1ms * position);
        searches += std::holds_alternative<Forward>(decision) ? 1 : 0;
        waiting += std::holds_alternative<AwaitOwner>(decision) ? 1 : 0;
    }
    EXPECT_EQ(searches, 1U);
    EXPECT_EQ(waiting, 15U);
    router.learn({packet(1, false).key, agent(12), 5}, s_start + 17ms);
    const auto header = route(router, packet(1, false), s_start + 18ms);
    ASSERT_EQ(header.chain.size(), 1U);
    EXPECT_EQ(header.chain.front(), agent(12));
}

// Guards against packets that wait although no answer will arrive: because the answer was lost, or because the only
// agent that can own the flow sends none.
TEST(FlowRouterPoolsTest, PacketsDoNotWaitIfNoAnswerIsExpected)
{
    const auto isForwarded = [](FlowRouter &router, TimePoint now, SearchMode mode = SearchMode::OncePerFlow) {
        return std::holds_alternative<Forward>(router.route(packet(1, false), now, mode));
    };
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 42)});
    EXPECT_TRUE(isForwarded(router, s_start));
    EXPECT_FALSE(isForwarded(router, s_start + 1ms));
    EXPECT_TRUE(isForwarded(router, s_start + 1ms, SearchMode::EveryPacket));
    EXPECT_TRUE(isForwarded(router, s_start + 40ms)) << "the answer was lost";
    FlowRouter single = makeRouter({service({{0, 1}})}, {pool("a", 1, 1)});
    EXPECT_TRUE(isForwarded(single, s_start));
    EXPECT_TRUE(isForwarded(single, s_start)) << "the only agent sends no answer";
}

// Guards against searches in which most hops cross between failure domains. A search over 48 agents in the order of the
// flow's hash crosses 36 times. The table lists the agents of each failure domain consecutively.
TEST(FlowRouterPoolsTest, SearchGoesThroughOneFailureDomainAfterTheOther)
{
    constexpr std::uint64_t agents = 48;
    constexpr std::uint64_t inFailureDomain = 12;
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 0, agents)});
    for (std::uint16_t port = 1; port <= 100; ++port) {
        const auto likely = route(router, packet(port, true)).chain;
        const auto header = route(router, packet(static_cast<std::uint16_t>(port + 1000), false));
        ASSERT_EQ(header.chain.size(), agents);
        std::size_t crossings = 0;
        for (std::size_t hop = 9; hop < agents; ++hop) {
            const auto domain = header.chain[hop].endpoint.port / inFailureDomain;
            crossings += domain != header.chain[hop - 1].endpoint.port / inFailureDomain ? 1 : 0;
        }
        EXPECT_LE(crossings, 3U);
        FlowRouter other = makeRouter({service({{0, 1}})}, {pool("a", 0, agents)});
        const auto search = route(other, packet(port, false)).chain;
        EXPECT_TRUE(std::equal(likely.begin(), likely.end(), search.begin()))
            << "the agents that new flows are offered to come first";
    }
}

// Guards against sending new flows to other failure domains although nearby agents have free capacity, and against a
// busy failure domain that keeps all its flows. Two of the four agents that a first packet visits are nearby.
TEST(FlowRouterPoolsTest, NewFlowsAreOfferedNearbyFirst)
{
    constexpr std::uint64_t nearby = 12;
    RoutedPool agents = pool("a", 0, 48);
    agents.nearby = nearby;
    FlowRouter router = makeRouter({service({{0, 1}})}, {agents});
    FlowRouter other = makeRouter({service({{0, 1}})}, {agents});
    std::map<std::uint16_t, int> flows;
    for (std::uint16_t port = 1; port <= 2400; ++port) {
        const auto chain = route(router, packet(port, true)).chain;
        ASSERT_EQ(chain.size(), 8U);
        EXPECT_LT(chain[0].endpoint.port, nearby);
        EXPECT_LT(chain[1].endpoint.port, nearby);
        ++flows[chain[0].endpoint.port];
        ++flows[static_cast<std::uint16_t>(1000 + chain[2].endpoint.port / nearby)];
        const auto search = route(other, packet(port, false)).chain;
        ASSERT_EQ(search.size(), 48U) << "each agent is asked once";
        // The agents that may have a record of the owner come first, then those that the new flow was offered to.
        protocol::CandidateChain expected;
        appendRanked(packet(port, false).key, agents.eligible, s_locationCopies + 1, expected);
        for (const protocol::Candidate &offered : chain) {
            if (std::ranges::find(expected, offered) == expected.end()) {
                expected.push_back(offered);
            }
        }
        EXPECT_TRUE(std::equal(expected.begin(), expected.end(), search.begin()));
    }
    for (std::uint16_t number = 0; number < nearby; ++number) {
        EXPECT_NEAR(flows[number], 200, 60) << "agents nearby get equal shares";
    }
    EXPECT_GT(flows[1001], 500) << "the third offer goes to any failure domain";
}

// Guards against sending all retransmissions of a first packet to the same dead agent.
TEST(FlowRouterPoolsTest, RetransmittedFirstPacketGoesToTheNextAgent)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 5)});
    const auto first = route(router, packet(1, true, 0)).chain;
    const auto second = route(router, packet(1, true, 1)).chain;
    EXPECT_EQ(second.front(), first[1]);
    EXPECT_EQ(second.back(), first.front());
}

// Guards against sending new flows to an agent that does not answer until its missed heartbeats are noticed.
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

bool contains(const protocol::EnvelopeHeader &header, std::uint64_t number)
{
    return std::ranges::find(header.chain, agent(number)) != header.chain.end();
}

/** Whether the end of the search that @p router has begun at @p now with @p header proves that its flow has no owner.
 */
bool provesAbsence(FlowRouter &router, const protocol::EnvelopeHeader &header, TimePoint now = s_start)
{
    if (!header.exhaustive) {
        return false;
    }
    const protocol::SearchEnded ended {packet(1, false).key, 0, *header.exhaustive, {}};
    return router.judgeAbsence(ended, now).verdict == AbsenceVerdict::Proven;
}

// Guards against resetting a flow whose owner may be an agent that was not asked. A search proves that a flow has no
// owner only if the table is complete and the search asks the suspects too.
TEST(FlowRouterPoolsTest, ExhaustiveSearchHasACompleteTableAndAsksSuspects)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 3)});
    EXPECT_FALSE(provesAbsence(router, route(router, packet(1, false))));
    router.setCoverage(Coverage::Reachable);
    EXPECT_FALSE(provesAbsence(router, route(router, packet(1, false))));
    router.setCoverage(Coverage::Full);
    EXPECT_TRUE(provesAbsence(router, route(router, packet(1, false))));
    RoutedPool withSuspect = pool("a", 1, 3);
    withSuspect.suspect.push_back(agent(9));
    router.replace(std::make_shared<const RoutingTable>(6, std::vector {service({{0, 1}})}, std::vector {withSuspect}));
    for (int searches = 0; searches < 4; ++searches) {
        const auto header = route(router, packet(1, false), s_start + searches * 200ms);
        EXPECT_TRUE(provesAbsence(router, header, s_start + searches * 200ms));
        EXPECT_TRUE(contains(header, 9)) << "search " << searches;
    }
    RoutedPool withStopped = pool("a", 1, 3);
    withStopped.stopped.push_back(agent(9));
    router.replace(std::make_shared<const RoutingTable>(7, std::vector {service({{0, 1}})}, std::vector {withStopped}));
    EXPECT_FALSE(provesAbsence(router, route(router, packet(1, false))));
}

// Guards against thousands of searches a second over all agents. The load: after a loss of power callers repeat the
// packets of their lost flows, and no proof ends them, because an agent that stopped is expected back.
TEST(FlowRouterPoolsTest, DeniedFlowIsNotSearchedAgainWhileAnAgentIsAwaited)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 12)});
    router.setCoverage(Coverage::Awaiting);
    const auto first = route(router, packet(1, false));
    ASSERT_TRUE(first.exhaustive.has_value());
    EXPECT_FALSE(provesAbsence(router, first)) << "the awaited agent may own the flow";
    const RouteDecision second = router.route(packet(1, false), s_start + 200ms, SearchMode::EveryPacket);
    ASSERT_TRUE(std::holds_alternative<Drop>(second));
    EXPECT_EQ(std::get<Drop>(second).reason, DropReason::OwnerAway);
    EXPECT_EQ(route(router, packet(2, false), s_start + 200ms).chain.size(), 12U) << "another flow";
    router.replace(
        std::make_shared<const RoutingTable>(6, std::vector {service({{0, 1}})}, std::vector {pool("a", 1, 13)}));
    EXPECT_EQ(route(router, packet(1, false), s_start + 400ms).chain.size(), 13U) << "the agent is back";
    router.setCoverage(Coverage::Full);
    EXPECT_TRUE(provesAbsence(router, route(router, packet(1, false), s_start + 600ms), s_start + 600ms));
}

// Guards against an open flow whose owner is not asked again after its answer was lost, or while it could not tell.
TEST(FlowRouterPoolsTest, AgentsWithoutAnAnswerAreAskedAgain)
{
    RoutedPool agents = pool("a", 1, 12);
    agents.suspect = {agent(20)};
    agents.stopped = {agent(21)};
    FlowRouter router = makeRouter({service({{0, 1}})}, {agents});
    router.setCoverage(Coverage::Awaiting);
    EXPECT_EQ(route(router, packet(1, false)).chain.size(), 14U);
    protocol::EnvelopeHeader unanswered;
    unanswered.chain.assign({agent(20), agent(21), agent(5)});
    router.searchUnanswered(packet(1, false).key, unanswered, s_start + 50ms);
    const auto again = route(router, packet(1, false), s_start + 200ms);
    EXPECT_EQ(again.chain.size(), 3U);
    EXPECT_TRUE(contains(again, 5) && contains(again, 20) && contains(again, 21));
    EXPECT_TRUE(again.extended) << "or the last agent adds those that have denied the flow";
}

// Guards against an open flow whose owner is not asked: an agent had named another owner, which did not answer, and the
// agents that had not been asked yet counted as having denied the flow.
TEST(FlowRouterPoolsTest, SilentLocatedOwnerIsNoDenialByOthers)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 12)});
    router.setCoverage(Coverage::Awaiting);
    route(router, packet(1, false));
    protocol::EnvelopeHeader unanswered;
    unanswered.chain.assign({agent(5)});
    unanswered.located = agent(5).agent;
    router.searchUnanswered(packet(1, false).key, unanswered, s_start + 50ms);
    EXPECT_EQ(route(router, packet(1, false), s_start + 200ms).chain.size(), 12U);
}

// As above for the end of a search that began before the owner was back.
TEST(FlowRouterPoolsTest, EndOfAnEarlierSearchIsNoDenialByAgentsThatJoined)
{
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 12)});
    router.setCoverage(Coverage::Awaiting);
    const auto first = route(router, packet(1, false));
    router.replace(
        std::make_shared<const RoutingTable>(6, std::vector {service({{0, 1}})}, std::vector {pool("a", 1, 13)}));
    route(router, packet(1, false), s_start + 200ms);
    EXPECT_FALSE(provesAbsence(router, first, s_start + 300ms));
    EXPECT_TRUE(contains(route(router, packet(1, false), s_start + 400ms), 13));
}

// Guards against an open flow that gets no answers for seconds. Its agent did not respond for a while, so that others
// denied the flow, and was left out of the searches once it was back, while another agent was still expected back.
TEST(FlowRouterPoolsTest, SuspectThatIsBackIsAskedAgain)
{
    const auto routed = [](const RoutedPool &agents) {
        return std::make_shared<const RoutingTable>(6, std::vector {service({{0, 1}})}, std::vector {agents});
    };
    RoutedPool away = pool("a", 1, 12);
    away.suspect = {agent(20)};
    away.stopped = {agent(21)};
    FlowRouter router = makeRouter({service({{0, 1}})}, {away});
    router.setCoverage(Coverage::Awaiting);
    route(router, packet(1, false));
    protocol::EnvelopeHeader unanswered;
    unanswered.chain.assign({agent(20), agent(21)});
    router.searchUnanswered(packet(1, false).key, unanswered, s_start + 50ms);
    RoutedPool back = pool("a", 1, 12);
    back.eligible.push_back(agent(20));
    back.stopped = {agent(21)};
    router.replace(routed(back));
    EXPECT_TRUE(contains(route(router, packet(1, false), s_start + 200ms), 20));
}

// Guards against searches that all end at the same agent, because the agent is dead but not yet a suspect. The agents
// that may have a record of the owner are asked first each time.
TEST(FlowRouterPoolsTest, FailedSearchIsRepeatedInReverseOrder)
{
    constexpr std::ptrdiff_t holders = s_locationCopies + 1;
    FlowRouter router = makeRouter({service({{0, 1}})}, {pool("a", 1, 12)});
    auto first = route(router, packet(1, false)).chain;
    EXPECT_EQ(route(router, packet(1, false), s_start + 20ms).chain, first);
    const auto second = route(router, packet(1, false), s_start + 200ms).chain;
    std::reverse(first.begin() + holders, first.end());
    EXPECT_EQ(second, first);
}

// Guards against callers of a lost host that wait until their deadline. They got no reset for their lost flow while the
// host's agent was a suspect, and for some seconds after that.
TEST(FlowRouterPoolsTest, SuspectOnALostMachineThatDidNotAnswerASearchIsOmitted)
{
    RoutedPool withSuspects = pool("a", 1, 6);
    withSuspects.suspect = {agent(8), agent(9)};
    FlowRouter router = makeRouter({service({{0, 1}}, true)}, {withSuspects});
    router.setCoverage(Coverage::Reachable);
    router.setAbsentAgents({{agent(8).agent, agent(9).agent}, false});
    const auto first = route(router, packet(1, false));
    const auto second = route(router, packet(1, false), s_start + 200ms);
    EXPECT_TRUE(contains(first, 8) && contains(first, 9));
    EXPECT_TRUE(second.exhaustive.has_value());
    EXPECT_EQ(second.chain.size(), 6U);
}

// Guards against the reset of an open flow whose owner stands still, however long and whatever the number of searches
// that it did not answer (issue 36): silence does not show that its upstream is gone.
TEST(FlowRouterPoolsTest, SilentSuspectWhoseMachineAnswersIsNeverOmitted)
{
    RoutedPool withSuspects = pool("a", 1, 6);
    withSuspects.suspect = {agent(8), agent(9)};
    FlowRouter router = makeRouter({service({{0, 1}}, true)}, {withSuspects});
    router.setAbsentAgents({{agent(8).agent}, false});
    for (const Coverage coverage : {Coverage::Full, Coverage::Reachable}) {
        router.setCoverage(coverage);
        for (const auto time : {0ms, 200ms, 600ms, 1400ms, 3000ms, 4600ms, 6200ms}) {
            const auto header = route(router, packet(1, false), s_start + time);
            EXPECT_TRUE(contains(header, 9)) << time.count() << " ms";
            EXPECT_NE(header.chain[6], header.chain[7]);
        }
    }
    const auto last = route(router, packet(1, false), s_start + 7800ms);
    EXPECT_NE(route(router, packet(1, false), s_start + 8000ms).chain[6], last.chain[6])
        << "the first suspect may not have forwarded the packet to the second";
}

// Guards against resetting a flow whose owner is a suspect that no search has reached: the searches were given up at an
// agent that stood still, because the limit of retransmissions was reached.
TEST(FlowRouterPoolsTest, SuspectIsNotOmittedAfterAnAbandonedSearch)
{
    RoutedPool withSuspect = pool("a", 1, 6);
    withSuspect.suspect = {agent(9)};
    FlowRouter router = makeRouter({service({{0, 1}}, true)}, {withSuspect});
    router.setCoverage(Coverage::Full);
    router.setAbsentAgents({{agent(9).agent}, false});
    for (const auto time : {0ms, 200ms, 600ms, 1400ms}) {
        EXPECT_TRUE(contains(route(router, packet(1, false), s_start + time), 9)) << time.count() << " ms";
        router.abandonSearch(packet(1, false).key);
    }
}

// Guards against resetting a flow whose owner is a suspect but alive and still serves the flow.
TEST(FlowRouterPoolsTest, SuspectThatAnswersKeepsItsFlow)
{
    RoutedPool withSuspect = pool("a", 1, 6);
    withSuspect.suspect = {agent(9)};
    FlowRouter router = makeRouter({service({{0, 1}}, true)}, {withSuspect});
    router.setCoverage(Coverage::Full);
    for (int packets = 0; packets < 10; ++packets) {
        const auto header = route(router, packet(1, false), s_start + packets * 200ms);
        EXPECT_TRUE(contains(header, 9)) << "packet " << packets;
        EXPECT_GT(header.chain.size(), 1U) << "an agent answers with a hint only if the chain has other agents";
        EXPECT_TRUE(packets == 0 || header.chain.front() == agent(9));
        router.learn({packet(1, false).key, agent(9), 5}, s_start + packets * 200ms + 5ms);
    }
}

// Guards against losing packets whose hint names an agent that stopped responding, because they are sent to that agent
// alone.
TEST(FlowRouterPoolsTest, HintThatNamesASilentSuspectLeadsToASearch)
{
    FlowRouter router = makeRouter({service({{0, 1}}, true)}, {pool("a", 1, 6)});
    router.learn({packet(1, false).key, agent(6), 5}, s_start);
    RoutedPool withSuspect = pool("a", 1, 5);
    withSuspect.suspect = {agent(6)};
    router.replace(
        std::make_shared<const RoutingTable>(6, std::vector {service({{0, 1}}, true)}, std::vector {withSuspect}));
    router.setCoverage(Coverage::Full);
    EXPECT_EQ(route(router, packet(1, false)).chain.front(), agent(6));
    EXPECT_TRUE(route(router, packet(1, false), s_start + 200ms).exhaustive.has_value());
    EXPECT_TRUE(contains(route(router, packet(1, false), s_start + 600ms), 6));
}

// Guards against resetting flows of a service whose requests may not be repeated, flows whose owner is about to return,
// and flows of a balancer that has lost its own connection, so that all agents seem silent.
TEST(FlowRouterPoolsTest, SuspectsAreNotOmittedInDoubt)
{
    const auto isExhaustiveWithoutSuspect = [](const RoutedPool &agents, bool idempotent, Coverage coverage) {
        FlowRouter router = makeRouter({service({{0, 1}}, idempotent)}, {agents});
        router.setCoverage(coverage);
        router.setAbsentAgents({{agent(9).agent}, false});
        const auto first = route(router, packet(1, false));
        const bool isFirst = provesAbsence(router, first) && !contains(first, 9);
        EXPECT_FALSE(isFirst && !agents.suspect.empty()) << "the suspect has to be asked once";
        route(router, packet(1, false), s_start + 200ms);
        const auto third = route(router, packet(1, false), s_start + 600ms);
        return provesAbsence(router, third, s_start + 600ms) && !contains(third, 9);
    };
    RoutedPool one = pool("a", 1, 6);
    one.suspect = {agent(9)};
    EXPECT_TRUE(isExhaustiveWithoutSuspect(one, true, Coverage::Full));
    EXPECT_FALSE(isExhaustiveWithoutSuspect(one, false, Coverage::Full));
    EXPECT_FALSE(isExhaustiveWithoutSuspect(one, true, Coverage::Partial));
    EXPECT_TRUE(isExhaustiveWithoutSuspect(pool("a", 1, 6), true, Coverage::Reachable));
    EXPECT_FALSE(isExhaustiveWithoutSuspect(pool("a", 1, 6), false, Coverage::Reachable));
    RoutedPool stopped = pool("a", 1, 6);
    stopped.stopped = {agent(9)};
    EXPECT_FALSE(isExhaustiveWithoutSuspect(stopped, true, Coverage::Full));
    // The agent restarts, and the balancer, which has just started, knows the agent only from the directory (issue 15).
    RoutedPool unconfirmed = one;
    unconfirmed.hasUnconfirmed = true;
    EXPECT_FALSE(isExhaustiveWithoutSuspect(unconfirmed, true, Coverage::Full));
    RoutedPool most = pool("a", 1, 1);
    most.suspect = {agent(9)};
    EXPECT_FALSE(isExhaustiveWithoutSuspect(most, true, Coverage::Full));
}

// Guards against two failures after a power outage: all new flows go to the few agents that were heard from first, and
// searches end at an agent that is gone but is still listed in the directory.
TEST(FlowRouterPoolsTest, UnconfirmedAgentGetsNewFlowsAndIsSearchedLast)
{
    RoutedPool agents = pool("a", 1, 3);
    agents.unconfirmed = {agent(8), agent(9)};
    FlowRouter router = makeRouter({service({{0, 1}})}, {agents});
    EXPECT_EQ(route(router, packet(1, true)).chain.size(), 5U);
    const auto chain = route(router, packet(2, false)).chain;
    ASSERT_EQ(chain.size(), 5U);
    for (const std::uint64_t number : {8, 9}) {
        EXPECT_GE(std::ranges::find(chain, agent(number)) - chain.begin(), 3) << number;
    }
}

// Guards against refusing new flows while all agents are suspects, for example after this balancer was paused.
TEST(FlowRouterPoolsTest, SuspectsAcceptFlowsIfNoAgentIsEligible)
{
    RoutedPool suspects;
    suspects.service = ServiceId::fromName("a");
    suspects.suspect = {agent(1), agent(2)};
    FlowRouter router = makeRouter({service({{0, 1}})}, {suspects});
    EXPECT_EQ(route(router, packet(1, true)).chain.size(), 2U);
}

// Guards against new flows to evacuated agents when no agent is eligible, as for other suspects, and against searches
// that leave out their open flows.
TEST(FlowRouterPoolsTest, EvacuatedSuspectsAreAskedButAreNoLastResort)
{
    RoutedPool evacuated = pool("a", 1, 0);
    evacuated.draining = {agent(7)};
    evacuated.evacuatedSuspect = {agent(8)};
    FlowRouter router = makeRouter({service({{0, 1}})}, {evacuated});
    EXPECT_TRUE(route(router, packet(1, true)).chain.empty());
    EXPECT_TRUE(contains(route(router, packet(2, false)), 7));
    EXPECT_TRUE(contains(route(router, packet(2, false)), 8));
    evacuated.suspect = {agent(9)};
    router = makeRouter({service({{0, 1}})}, {evacuated});
    EXPECT_EQ(route(router, packet(1, true)).chain, (protocol::CandidateChain {agent(9)}));
    EXPECT_TRUE(contains(route(router, packet(2, false)), 8));
}

// Guards against callers that wait in vain while every failure domain with upstreams of their service is evacuated: the
// balancer resets them only if the reason of the drop tells that no agent is missing by accident.
TEST(FlowRouterPoolsTest, NewFlowOfAnEvacuatedPoolIsDroppedForTheEvacuation)
{
    RoutedPool evacuated = pool("a", 1, 0);
    evacuated.draining = {agent(7)};
    evacuated.hasEvacuated = true;
    FlowRouter router = makeRouter({service({{0, 1}})}, {evacuated});
    router.setCoverage(Coverage::Full);
    const auto reasonOf = [&router](const flow::Segment &segment) {
        const RouteDecision decision = router.route(segment, TimePoint());
        const auto *dropped = std::get_if<Drop>(&decision);
        return dropped == nullptr ? std::nullopt : std::optional(dropped->reason);
    };
    EXPECT_EQ(reasonOf(packet(1, true)), DropReason::Evacuated);
    EXPECT_EQ(reasonOf(packet(2, false)), std::nullopt) << "the agent may own the flow";
    router.setCoverage(Coverage::Partial);
    EXPECT_EQ(reasonOf(packet(1, true)), DropReason::NoMember) << "agents elsewhere may be unknown";
    evacuated.hasOthersThanEvacuated = true;
    router = makeRouter({service({{0, 1}})}, {evacuated});
    router.setCoverage(Coverage::Full);
    EXPECT_EQ(reasonOf(packet(1, true)), DropReason::NoMember) << "an agent elsewhere may restart";
}

} // namespace samphireswitch::routing
