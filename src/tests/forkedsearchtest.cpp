#include "passthrough/passthroughadmission.h"
#include "routing/flowrouter.h"
#include "tests/testsegments.h"
#include "upstreamreports.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

constexpr Endpoint s_balancer {0x0a01000a, 7720};
constexpr Endpoint s_address {0xc6120001, 443};
constexpr std::uint64_t s_agents = 11;
constexpr std::uint16_t s_flows = 20;
constexpr std::size_t s_repeats = 4;
/** Sequence of a report of an upstream that has reported to an earlier process of its agent. */
constexpr std::uint64_t s_laterReport = 5;
/** A search without an end would not reach it otherwise. */
constexpr std::size_t s_mostEnvelopes = 5000;

flow::FlowKey key(std::uint16_t port)
{
    return {{0x64400007, port}, s_address};
}

flow::Segment data(std::uint16_t port)
{
    return tests::callerSegment(key(port), 0, 0, tests::s_upstreamSequence + 1);
}

protocol::Candidate candidate(std::uint64_t number)
{
    return {AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}};
}

/**
 * Agents that have all restarted beside upstreams with open flows. Envelopes between them wait for any time and
 * overtake each other; some arrive twice, and some are taken for lost by their sender, which passes the search on,
 * although they arrive later.
 */
class RestartedPool
{
public:
    explicit RestartedPool(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::uint64_t number = 1; number <= s_agents; ++number) {
            PassthroughSettings settings;
            settings.agent = candidate(number).agent;
            settings.dataAddress = candidate(number).endpoint;
            m_agents[number] = std::make_unique<PassthroughAdmission>(settings, m_now);
            UpstreamReport report = tests::firstReport();
            report.sequence = s_laterReport;
            m_agents[number]->upstreamReported(report, m_now);
            m_pool.eligible.push_back(candidate(number));
        }
        m_pool.service = ServiceId::fromName("tally");
        for (auto &[number, agent] : m_agents) {
            agent->setPeers(peers());
        }
    }

    /** Gives the agent back the flows that its earlier process has kept in the store. */
    void readStoredFlows(std::uint64_t number, std::vector<protocol::LocatedFlow> flows)
    {
        m_agents.at(number)->storedFlowsRead({tests::firstReport().startedSinceEpoch, std::move(flows)}, m_now);
    }

    /** The upstreams that got a packet of the flow and do not hold it, after a search from a balancer without hints. */
    std::set<std::uint64_t> strays(std::uint16_t port, std::uint64_t owner)
    {
        m_port = port;
        m_owner = owner;
        m_strays.clear();
        m_wasOwnerReached = false;
        routing::FlowRouter router = makeRouter();
        m_envelopes = {std::get<routing::Forward>(router.route(data(port), m_now)).header};
        std::size_t handled = 0;
        while (!m_envelopes.empty() && handled < s_mostEnvelopes) {
            ++handled;
            handleNext();
        }
        EXPECT_LT(handled, s_mostEnvelopes);
        return m_strays;
    }

    bool wasOwnerReached() const
    {
        return m_wasOwnerReached;
    }

private:
    std::vector<Peer> peers() const
    {
        std::vector<Peer> result;
        for (const auto &[number, agent] : m_agents) {
            result.push_back({candidate(number), 1, false});
        }
        return result;
    }

    routing::FlowRouter makeRouter() const
    {
        routing::RoutedService service;
        service.service = ServiceId {1};
        service.address = s_address.address;
        service.requestPort = s_address.port;
        service.shares = {{0, 1}};
        routing::FlowRouter router(s_balancer, routing::HintTable(16, {1, 2}));
        router.replace(std::make_shared<const routing::RoutingTable>(
            5, std::vector<routing::RoutedService> {service}, std::vector<routing::RoutedPool> {m_pool}));
        router.setCoverage(routing::Coverage::Full);
        return router;
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    void handleNext()
    {
        const std::size_t index = std::uniform_int_distribution<std::size_t>(0, m_envelopes.size() - 1)(m_random);
        const protocol::EnvelopeHeader header = m_envelopes[index];
        const std::uint64_t number = header.chain[header.hop].endpoint.port;
        if (happens(0.05)) {
            // The receipt is late. The envelope stays, and its agent handles it later.
            handle(number, m_agents.begin()->second->agentSilent(header, data(m_port)));
            return;
        }
        if (!happens(0.05)) {
            m_envelopes.erase(m_envelopes.begin() + static_cast<std::ptrdiff_t>(index));
        }
        m_now += 1ms;
        handle(number, m_agents.at(number)->packetArrived(header, data(m_port), m_now));
    }

    void handle(std::uint64_t number, const Decision &decision)
    {
        if (const auto *pass = std::get_if<PassToAgent>(&decision.action)) {
            m_envelopes.push_back(pass->header);
        } else if (const auto *search = std::get_if<ReturnSearch>(&decision.action)) {
            repeat(search->header);
        } else if (const auto *delivery = std::get_if<DeliverToUpstream>(&decision.action)) {
            handToUpstream(number, *delivery);
        }
    }

    /** As the balancer does, which asks the agents again that did not tell. */
    void repeat(protocol::EnvelopeHeader header)
    {
        if (header.repeats == s_repeats) {
            return;
        }
        ++header.repeats;
        header.search = m_random() | 1U;
        m_envelopes.push_back(std::move(header));
    }

    void handToUpstream(std::uint64_t number, const DeliverToUpstream &delivery)
    {
        if (number == m_owner) {
            m_wasOwnerReached = true;
            return;
        }
        m_strays.insert(number);
        flow::Segment returned = data(m_port);
        returned.returned = true;
        returned.returnMark = delivery.mark;
        handle(number, m_agents.at(number)->upstreamSent(returned, m_now));
    }

    std::mt19937_64 m_random;
    TimePoint m_now = TimePoint() + 1h;
    std::map<std::uint64_t, std::unique_ptr<PassthroughAdmission>> m_agents;
    routing::RoutedPool m_pool;
    std::vector<protocol::EnvelopeHeader> m_envelopes;
    std::uint16_t m_port = 0;
    std::uint64_t m_owner = 0;
    std::set<std::uint64_t> m_strays;
    bool m_wasOwnerReached = false;
};

} // namespace

// Guards against a packet of an open flow that reaches upstreams which do not hold the flow, by a search that an agent
// resumes after others have taken it over, or by copies for several agents at once. Three such packets break the flow.
TEST(ForkedSearchTest, PacketReachesNoUpstreamOfWhichNobodyKnowsThatItHoldsTheFlow)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RestartedPool pool(seed);
        for (std::uint16_t port = 1; port <= s_flows; ++port) {
            EXPECT_TRUE(pool.strays(port, 1 + port % s_agents).empty()) << "seed " << seed << ", flow " << port;
        }
    }
}

// Guards against a flow that is not found after a death of all processes although its agent has kept it in the store,
// and against agents that take other flows for theirs by what they read.
TEST(ForkedSearchTest, StoredFlowLeadsToItsOwnerOnly)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RestartedPool pool(seed);
        std::map<std::uint64_t, std::vector<protocol::LocatedFlow>> stored;
        for (std::uint16_t port = 1; port <= s_flows; ++port) {
            stored[1 + port % s_agents].push_back({key(port), tests::s_upstreamSequence});
            // An earlier flow with the same addresses and ports, which has ended since the last write.
            stored[1 + (port + 1) % s_agents].push_back({key(port), tests::s_upstreamSequence + 0x40000000});
        }
        for (const auto &[number, flows] : stored) {
            pool.readStoredFlows(number, flows);
        }
        for (std::uint16_t port = 1; port <= s_flows; ++port) {
            EXPECT_TRUE(pool.strays(port, 1 + port % s_agents).empty()) << "seed " << seed << ", flow " << port;
            EXPECT_TRUE(pool.wasOwnerReached()) << "seed " << seed << ", flow " << port;
        }
    }
}

} // namespace samphireswitch::passthrough
