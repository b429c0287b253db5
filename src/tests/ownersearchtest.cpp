#include "agent/passthroughdatapath.h"

#include "protocol/datagramcodec.h"
#include "standin/loopbacknetwork.h"
#include "testagentsettings.h"
#include "testport.h"

#include <gtest/gtest.h>

#include <thread>

namespace samphireswitch::agent {

namespace {

using tests::Port;

constexpr std::uint16_t s_packetPort = 8172;
constexpr std::byte s_ack {32};

/** An agent that searches for the owner of a flow, an agent that does not run, and the agent that owns the flow. */
class OwnerSearchTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(path.open());
        thread = std::thread([this] { path.run(); });
    }

    void TearDown() override
    {
        path.requestStop();
        thread.join();
    }

    /** Sends a packet of an open flow from the balancer to the agent, with @p chain as the agents to ask. */
    void search(const protocol::CandidateChain &chain)
    {
        protocol::EnvelopeHeader header;
        header.service = ServiceId::fromName("tally");
        header.origin = balancer.endpoint();
        header.chain = chain;
        protocol::DatagramCodec codec;
        balancer.send(agentAddress, codec.encodeEnvelope(header, tests::callerPacket(key, s_ack)).value());
    }

    standin::LoopbackNetwork network = standin::LoopbackNetwork::reserve().value();
    const Endpoint agentAddress {network.address(1), s_packetPort};
    Port upstream {{network.address(1), 8165}};
    Port balancer {{network.address(2), 7720}};
    Port stopped {{network.address(3), s_packetPort}};
    Port owner {{network.address(4), s_packetPort}};
    const flow::FlowKey key {{network.address(5), 40001}, {0xc6120001, 443}};
    telemetry::EventLog events {"agent-1", 100};
    WakeSignal runsChanged;
    PassthroughDataPath path {tests::agentSettings(agentAddress, upstream.endpoint(), {network.address(1), 8162}),
                              events,
                              runsChanged};
    std::thread thread;
};

} // namespace

// Guards against a search for a flow's owner that ends at an agent that does not run. The caller would then have to
// retransmit the packet to start another search; a single packet of the caller must reach the owner.
TEST_F(OwnerSearchTest, SearchPassesAnAgentThatDoesNotRun)
{
    stopped.close();
    search({{AgentId {1}, agentAddress}, {AgentId {2}, stopped.endpoint()}, {AgentId {3}, owner.endpoint()}});
    EXPECT_TRUE(owner.receive());
}

} // namespace samphireswitch::agent
