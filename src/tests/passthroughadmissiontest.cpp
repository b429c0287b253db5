#include "passthrough/passthroughadmission.h"

#include "tests/testsegments.h"
#include "tests/upstreamreports.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;
using tests::s_callerSequence;
using tests::s_upstreamSequence;

const TimePoint s_start = TimePoint() + 1h;
const AgentId s_self {1};
const Endpoint s_ownAddress {0x0a010017, 8172};
const Endpoint s_balancer {0x0a01000a, 7720};
const ServiceId s_pool = ServiceId::fromName("tally");
constexpr std::uint32_t s_slots = 2;

protocol::Candidate candidate(std::uint64_t number)
{
    return {AgentId {number}, {0x0a010000, static_cast<std::uint16_t>(number)}};
}

/** Header of an envelope for this agent, which is at index @p hop of a chain of @p length agents. */
protocol::EnvelopeHeader header(std::uint8_t hop, std::size_t length, Generation generation = 5)
{
    protocol::EnvelopeHeader result;
    result.service = s_pool;
    result.generation = generation;
    result.origin = s_balancer;
    for (std::size_t position = 0; position < length; ++position) {
        result.chain.push_back(position == hop ? protocol::Candidate {s_self, s_ownAddress} : candidate(10 + position));
    }
    result.hop = hop;
    return result;
}

/** As header(), of a search in which this agent could not tell whether it owns the flow, and all others have denied it.
 */
protocol::EnvelopeHeader onlyPossibleOwner(std::size_t length = 2)
{
    protocol::EnvelopeHeader result = header(static_cast<std::uint8_t>(length - 1), length);
    result.exhaustive.emplace();
    result.allowsTrial = true;
    result.deferred = 1;
    return result;
}

flow::FlowKey key(std::uint16_t port)
{
    return {{0x64400007, port}, {0xc6120001, 443}};
}

flow::Segment firstPacket(std::uint16_t port, std::uint32_t copy = 0)
{
    return tests::firstSegment(key(port), copy);
}

flow::Segment data(std::uint16_t port, std::uint32_t acknowledged = s_upstreamSequence + 1, std::size_t size = 900)
{
    return tests::callerSegment(key(port), size, 0, acknowledged);
}

flow::Segment upstreamPacket(std::uint16_t port, bool syn, std::size_t size = 0)
{
    return tests::upstreamSegment(key(port), syn, size);
}

flow::Segment returned(flow::Segment packet, const Decision &delivery)
{
    packet.returned = true;
    packet.returnMark = std::get<DeliverToUpstream>(delivery.action).mark;
    return packet;
}

UpstreamReport report(std::uint64_t sequence, ReportedState state = ReportedState::Ready)
{
    UpstreamReport result;
    result.id = "i-1";
    result.startedSinceEpoch = 1000ms;
    result.service = "tally";
    result.slots = s_slots;
    result.state = state;
    result.sequence = sequence;
    return result;
}

PassthroughSettings settingsOfAgent()
{
    PassthroughSettings settings;
    settings.agent = s_self;
    settings.dataAddress = s_ownAddress;
    settings.recordsServedRuns = true;
    return settings;
}

/** The list that the store has if earlier processes of the agent have served the run of report() and no other. */
ServedRuns servedBefore()
{
    return {{report(1).run()}, true};
}

class PassthroughAdmissionTest : public testing::Test
{
protected:
    static PassthroughAdmission make(bool startsEmpty, bool isReady = true)
    {
        PassthroughSettings settings = settingsOfAgent();
        settings.startsEmpty = startsEmpty;
        PassthroughAdmission admission(settings, s_start);
        if (isReady) {
            // An upstream that ran before the start of the agent has sent reports before.
            admission.earlierRunsRead(startsEmpty ? ServedRuns {{}, true} : servedBefore(), s_start);
            admission.upstreamReported(report(startsEmpty ? 1 : 5), s_start);
            tests::recordRuns(admission);
        }
        return admission;
    }

    /** Opens a flow with a request that the upstream has not answered. */
    static void openFlow(PassthroughAdmission &admission, std::uint16_t port, TimePoint now = s_start)
    {
        admission.packetArrived(header(0, 1), firstPacket(port), now);
        admission.upstreamSent(upstreamPacket(port, true), now);
        admission.packetArrived(header(0, 1), data(port), now);
    }

    /** A peer returns the record that this agent owns a flow. */
    static void locateHere(PassthroughAdmission &admission, std::uint16_t port)
    {
        admission.locationsReceived({{s_self, s_ownAddress}, {{key(port), s_upstreamSequence}}, {}}, s_start);
    }

    template<typename Action>
    static const Action *actionOf(const Decision &decision)
    {
        return std::get_if<Action>(&decision.action);
    }
};

} // namespace

// Guards against new flows for an upstream whose state is unknown, for instance after a restart of the agent while the
// upstream drains.
TEST_F(PassthroughAdmissionTest, NoFlowIsAcceptedBeforeTheFirstReport)
{
    PassthroughAdmission admission = make(true, false);
    const Decision decision = admission.packetArrived(header(0, 2), firstPacket(1), s_start);
    EXPECT_EQ(decision.cause, Cause::NotReady);
    ASSERT_NE(actionOf<PassToAgent>(decision), nullptr);
    EXPECT_EQ(actionOf<PassToAgent>(decision)->header.hop, 1);
}

// Guards against a drain that takes effect only after the store or a balancer has learned of it: the upstream's own
// report has to take effect at once.
TEST_F(PassthroughAdmissionTest, DrainingUpstreamGetsNoNewFlowAndKeepsItsOwn)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    admission.upstreamReported(report(2, ReportedState::Draining), s_start);
    EXPECT_EQ(admission.packetArrived(header(0, 2), firstPacket(2), s_start).cause, Cause::NotReady);
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(1), s_start).cause, Cause::Owned);
}

// Guards against new flows at an upstream whose failure domain is evacuated, from balancers that do not know it yet,
// and against the end of flows that are open.
TEST_F(PassthroughAdmissionTest, EvacuationPassesNewFlowsOnAndKeepsOpenFlows)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    admission.setServed({1, {{key(1).destination}}, {.isEvacuated = true}});
    const Decision passed = admission.packetArrived(header(0, 2), firstPacket(2), s_start);
    EXPECT_EQ(passed.cause, Cause::Evacuated);
    EXPECT_NE(actionOf<PassToAgent>(passed), nullptr);
    const Decision refused = admission.packetArrived(header(1, 2), firstPacket(3), s_start);
    EXPECT_NE(actionOf<RefuseFirstPacket>(refused), nullptr);
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(1), s_start).cause, Cause::Owned);
    admission.setServed({1, {{key(1).destination}}});
    EXPECT_EQ(admission.packetArrived(header(0, 2), firstPacket(2, 1), s_start).cause, Cause::Accepted);
}

// Guards against a first packet that waited for a slot when the evacuation began and reaches the upstream afterwards.
TEST_F(PassthroughAdmissionTest, EvacuationReleasesNoHeldPacket)
{
    PassthroughAdmission admission = make(true);
    for (std::uint16_t port = 1; port <= s_slots + 2; ++port) {
        openFlow(admission, port);
    }
    const std::uint16_t waiting = s_slots + 3;
    EXPECT_EQ(admission.packetArrived(header(0, 1), firstPacket(waiting), s_start).cause, Cause::Held);
    admission.setServed({1, {{key(1).destination}}, {.isEvacuated = true}});
    for (std::uint16_t port = 1; port <= s_slots + 2; ++port) {
        admission.upstreamSent(upstreamPacket(port, false, 600), s_start + 10ms);
    }
    EXPECT_FALSE(admission.releaseHeld(s_start + 10ms));
}

// Guards against a caller that waits although no agent can accept its flow: the balancer, which resets the caller, has
// to learn of it.
TEST_F(PassthroughAdmissionTest, BalancerIsToldOfAFlowThatNoAgentAccepts)
{
    PassthroughAdmission admission = make(true, false);
    const Decision decision = admission.packetArrived(header(1, 2), firstPacket(1, 1), s_start);
    EXPECT_EQ(decision.cause, Cause::NobodyAccepts);
    const auto *refusal = actionOf<RefuseFirstPacket>(decision);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->to, s_balancer);
    EXPECT_EQ(refusal->message, (protocol::FirstPacketRefused {key(1), s_callerSequence, 1, s_ownAddress}));
}

// Guards against the reset of an open flow by an agent that held an early copy of its first packet while it stood
// still: another copy has opened the flow at another upstream meanwhile.
TEST_F(PassthroughAdmissionTest, LateCopyThatNobodyAcceptsDoesNotResetTheCaller)
{
    PassthroughAdmission late = make(true);
    PassthroughAdmission owner = make(true);
    openFlow(owner, 1, s_start + 200ms);
    ASSERT_EQ(owner.tracker().find(key(1))->phase, FlowPhase::Open);
    late.packetArrived(header(0, 1), firstPacket(2), s_start);
    late.packetArrived(header(0, 1), firstPacket(3), s_start + 500ms);
    protocol::EnvelopeHeader directed = header(0, 2);
    directed.directed = true;
    // The upstream has not answered for 0.6 s as far as this agent knows, since it stood still.
    const Decision decision = late.packetArrived(directed, firstPacket(1), s_start + 640ms);
    EXPECT_EQ(decision.cause, Cause::NobodyAccepts);
    EXPECT_EQ(actionOf<ResetCaller>(decision), nullptr);
}

// Guards against a packet that reaches the same upstream twice during a search, because the upstream is slow to return
// it; and against an agent that asks its upstream again about a flow of which it knows.
TEST_F(PassthroughAdmissionTest, PacketIsTriedOnceInASearch)
{
    PassthroughAdmission admission = make(false);
    protocol::EnvelopeHeader search = onlyPossibleOwner();
    search.search = 7;
    const Decision trial = admission.packetArrived(search, data(1), s_start);
    ASSERT_NE(actionOf<DeliverToUpstream>(trial), nullptr);
    EXPECT_EQ(admission.packetArrived(search, data(1), s_start + 20ms).cause, Cause::SearchRepeated);
    const Decision ended = admission.upstreamSent(returned(data(1), trial), s_start + 30ms);
    ASSERT_NE(actionOf<EndSearch>(ended), nullptr);
    EXPECT_EQ(actionOf<EndSearch>(ended)->message.search.answers.returned, 1U);
    search.search = 8;
    const Decision next = admission.packetArrived(search, data(1), s_start + 200ms);
    EXPECT_NE(actionOf<EndSearch>(next), nullptr) << "the agent knows now";
}

// Guards against a packet of an open flow that reaches an upstream of which nobody knows that it holds the flow, while
// another agent may own it as well.
TEST_F(PassthroughAdmissionTest, PacketIsNotTriedWhileAnotherAgentMayOwnTheFlow)
{
    protocol::EnvelopeHeader several = onlyPossibleOwner();
    several.chain.push_back(candidate(13));
    several.deferred = 2;
    protocol::EnvelopeHeader silent = onlyPossibleOwner();
    silent.chain.push_back(candidate(13));
    silent.unanswered = 1;
    protocol::EnvelopeHeader incomplete = onlyPossibleOwner();
    incomplete.exhaustive.reset();
    protocol::EnvelopeHeader awaiting = onlyPossibleOwner();
    awaiting.allowsTrial = false;
    for (const protocol::EnvelopeHeader &search : {several, silent, incomplete, awaiting}) {
        const Decision decision = make(false).packetArrived(search, data(1), s_start);
        const auto *returnedSearch = actionOf<ReturnSearch>(decision);
        ASSERT_NE(returnedSearch, nullptr);
        EXPECT_EQ(returnedSearch->header.chain.size(), search.deferred + search.unanswered) << "they are asked again";
        EXPECT_FALSE(returnedSearch->header.allowsTrial);
    }
}

// Guards against a request that waits for a slot while another host has a free one.
TEST_F(PassthroughAdmissionTest, BusyAgentPassesANewFlow)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    openFlow(admission, 2);
    const Decision decision = admission.packetArrived(header(0, 3), firstPacket(3), s_start);
    EXPECT_EQ(decision.cause, Cause::Busy);
    const auto *pass = actionOf<PassToAgent>(decision);
    ASSERT_NE(pass, nullptr);
    EXPECT_EQ(pass->header.hop, 1);
    EXPECT_EQ(pass->header.leastFeeds, 1000U);
}

// Guards against a queue at the upstream in which every answer becomes late, and against a held packet that is never
// released.
TEST_F(PassthroughAdmissionTest, FlowIsHeldWhileAllSlotsAreInUseAndReleasedByAnAnswer)
{
    PassthroughAdmission admission = make(true);
    for (std::uint16_t port = 1; port <= s_slots + 2; ++port) {
        protocol::EnvelopeHeader directed = header(0, 2);
        directed.directed = true;
        admission.packetArrived(directed, firstPacket(port), s_start);
        admission.upstreamSent(upstreamPacket(port, true), s_start);
        admission.packetArrived(header(0, 1), data(port), s_start);
    }
    protocol::EnvelopeHeader directed = header(0, 2);
    directed.directed = true;
    EXPECT_EQ(admission.packetArrived(directed, firstPacket(9), s_start).cause, Cause::Held);
    EXPECT_FALSE(admission.releaseHeld(s_start + 10ms));
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start + 20ms);
    const auto released = admission.releaseHeld(s_start + 20ms);
    ASSERT_TRUE(released);
    EXPECT_EQ(released->packet.key, key(9));
    EXPECT_FALSE(admission.releaseHeld(s_start + 20ms));
}

// Guards against the reset of an open flow whose owner does not recognise it any more: the release of an older copy of
// the first packet replaced the table entry of the open flow, so that searches skipped the owner (issue 15).
TEST_F(PassthroughAdmissionTest, HeldCopyOfTheFirstPacketOfAnOpenFlowChangesNothing)
{
    PassthroughAdmission admission = make(true);
    protocol::EnvelopeHeader directed = header(0, 2);
    directed.directed = true;
    for (std::uint16_t port = 1; port <= s_slots + 2; ++port) {
        admission.packetArrived(directed, firstPacket(port), s_start);
        admission.upstreamSent(upstreamPacket(port, true), s_start);
        admission.packetArrived(header(0, 1), data(port), s_start);
    }
    EXPECT_EQ(admission.packetArrived(directed, firstPacket(9, 2), s_start).cause, Cause::Held);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start + 10ms);
    EXPECT_EQ(admission.packetArrived(directed, firstPacket(9, 1), s_start + 10ms).cause, Cause::Accepted);
    admission.upstreamSent(upstreamPacket(9, true), s_start + 11ms);
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(9), s_start + 12ms).cause, Cause::Owned);
    admission.upstreamSent(upstreamPacket(2, false, 600), s_start + 20ms);
    admission.upstreamSent(upstreamPacket(3, false, 600), s_start + 20ms);
    admission.releaseHeld(s_start + 20ms);
    EXPECT_EQ(admission.packetArrived(header(0, 2), data(9), s_start + 30ms).cause, Cause::Owned);
}

// Guards against delivering packets to the wrong upstream after two upstreams have answered the same first packet: only
// the one that the caller acknowledged holds the flow.
TEST_F(PassthroughAdmissionTest, OnlyTheAcknowledgedUpstreamHoldsTheFlow)
{
    PassthroughAdmission admission = make(true);
    admission.packetArrived(header(0, 2), firstPacket(1), s_start);
    admission.upstreamSent(upstreamPacket(1, true), s_start);
    const Decision other = admission.packetArrived(header(0, 2), data(1, 777), s_start);
    EXPECT_EQ(other.cause, Cause::NotOwned);
    EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
}

// Guards against packets of an open flow that reach upstreams which do not hold it: an agent that has restarted
// delivers a packet of an unknown flow only after all other agents were asked (issue 15).
TEST_F(PassthroughAdmissionTest, RestartedAgentIsAskedAfterAllOthers)
{
    PassthroughAdmission admission = make(false);
    protocol::EnvelopeHeader search = header(0, 3);
    search.exhaustive.emplace();
    search.allowsTrial = true;
    const Decision first = admission.packetArrived(search, data(1), s_start);
    EXPECT_EQ(first.cause, Cause::OwnerUnknown);
    const auto *pass = actionOf<PassToAgent>(first);
    ASSERT_NE(pass, nullptr);
    EXPECT_EQ(pass->header.hop, 0);
    EXPECT_EQ(pass->header.deferred, 1);
    EXPECT_EQ(pass->header.chain, (protocol::CandidateChain {candidate(11), candidate(12), {s_self, s_ownAddress}}));
    protocol::EnvelopeHeader last = pass->header;
    last.hop = 2;
    EXPECT_NE(actionOf<DeliverToUpstream>(admission.packetArrived(last, data(1), s_start)), nullptr);
}

// Guards against the reset of an open flow by a hint of an earlier flow with the same key: the restarted agent that the
// hint names delivered the packet at once, and its upstream remembered the end of the earlier flow (issue 36).
TEST_F(PassthroughAdmissionTest, HintedAgentThatHasRestartedAsksItsPeersFirst)
{
    PassthroughAdmission admission = make(false);
    admission.setPeers({{candidate(21)}, {{s_self, s_ownAddress}}, {candidate(22)}});
    const Decision decision = admission.packetArrived(header(0, 1), data(1), s_start + 1s);
    const auto *pass = actionOf<PassToAgent>(decision);
    ASSERT_NE(pass, nullptr);
    EXPECT_EQ(pass->header.hop, 0);
    EXPECT_EQ(pass->header.unanswered, 1);
    ASSERT_EQ(pass->header.chain.size(), 3U);
    EXPECT_EQ(pass->header.chain.back(), (protocol::Candidate {s_self, s_ownAddress}));
    EXPECT_FALSE(pass->header.allowsTrial);
}

// Guards against the same reset by an agent that knows no peers, such as one that has just started: its upstream does
// not get the packet, and the balancer repeats the search.
TEST_F(PassthroughAdmissionTest, HintedAgentThatKnowsNoPeersHasTheSearchRepeated)
{
    PassthroughAdmission admission = make(false);
    for (const auto age : {100ms, 5000ms}) {
        const Decision decision = admission.packetArrived(header(0, 1), data(1), s_start + age);
        const auto *returnedSearch = actionOf<ReturnSearch>(decision);
        ASSERT_NE(returnedSearch, nullptr);
        EXPECT_EQ(returnedSearch->header.chain, (protocol::CandidateChain {{s_self, s_ownAddress}}));
    }
}

// Guards against packets of open flows that nobody delivers after a death of all processes, when no peer has a record
// (issue 48), also of flows that are idle for longer than other records are kept.
TEST_F(PassthroughAdmissionTest, StoredFlowsOfARestartedAgentAreDelivered)
{
    for (const bool isReportedFirst : {true, false}) {
        PassthroughAdmission admission = make(false, isReportedFirst);
        admission.storedFlowsRead({1000ms, {{key(1), s_upstreamSequence}}}, s_start);
        admission.upstreamReported(report(6), s_start + 1s);
        for (const auto age : {0s, 29s, 59s}) {
            admission.expire(s_start + age);
            EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start + age).cause, Cause::Located);
        }
        EXPECT_EQ(admission.packetArrived(header(0, 2), data(2), s_start).cause, Cause::OwnerUnknown);
        EXPECT_EQ(admission.packetArrived(header(0, 2), data(1, s_upstreamSequence + 0x40000000), s_start).cause,
                  Cause::OwnerUnknown)
            << "another flow with the same addresses and ports";
    }
}

// Guards against packets for an upstream that has lost the stored flows with its earlier run, and against an agent that
// knows its table to be complete and doubts it because of them.
TEST_F(PassthroughAdmissionTest, StoredFlowsOfAnEarlierRunCountForNothing)
{
    const StoredFlows stored {900ms, {{key(1), s_upstreamSequence}}};
    for (const bool isReportedFirst : {true, false}) {
        PassthroughAdmission admission = make(true, isReportedFirst);
        admission.earlierRunsRead({{{report(1).id, 900ms}}, true}, s_start);
        admission.storedFlowsRead(stored, s_start);
        admission.upstreamReported(report(isReportedFirst ? 2 : 1), s_start);
        EXPECT_TRUE(admission.knowledge().isComplete());
        EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::NotOwned);
    }
    PassthroughAdmission older = make(false, false);
    older.storedFlowsRead(stored, s_start);
    older.upstreamReported(report(7), s_start);
    EXPECT_EQ(older.packetArrived(header(0, 2), data(1), s_start).cause, Cause::OwnerUnknown);
}

// Guards against an agent that takes the run of its upstream for one that began with it, and denies its flows, although
// an earlier process has served the run.
TEST_F(PassthroughAdmissionTest, RunWithStoredFlowsIsNoNewRun)
{
    const StoredFlows stored {1000ms, {{key(1), s_upstreamSequence}}};
    for (const bool isReportedFirst : {true, false}) {
        PassthroughAdmission admission = make(true, isReportedFirst);
        admission.storedFlowsRead(stored, s_start);
        admission.upstreamReported(report(1), s_start);
        EXPECT_FALSE(admission.knowledge().isComplete());
        EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Located);
        EXPECT_EQ(admission.packetArrived(header(0, 2), data(2), s_start).cause, Cause::OwnerUnknown);
    }
}

// Guards against writes to the store for flows that end at once, and against flows that a second restart forgets.
TEST_F(PassthroughAdmissionTest, FlowsThatStayOpenAreStored)
{
    PassthroughAdmission admission = make(false);
    admission.storedFlowsRead({1000ms, {{key(9), s_upstreamSequence}}}, s_start);
    openFlow(admission, 1, s_start);
    admission.takeLocationMessages(s_start + 100ms);
    const StoredFlows young = admission.flowsToStore(s_start + 900ms);
    ASSERT_EQ(young.flows.size(), 1U);
    EXPECT_EQ(young.flows.front().key, key(9));
    EXPECT_EQ(young.runStartedSinceEpoch, 1000ms);
    EXPECT_EQ(admission.flowsToStore(s_start + 1s).flows.size(), 2U);
    admission.upstreamSent(upstreamPacket(9, false, 600), s_start + 1s);
    EXPECT_EQ(admission.flowsToStore(s_start + 1s).flows.size(), 2U) << "it is older than its first packet here";
    flow::Segment reset = upstreamPacket(1, false);
    reset.rst = true;
    admission.upstreamSent(reset, s_start + 2s);
    EXPECT_EQ(admission.flowsToStore(s_start + 2s).flows.size(), 1U);
}

// Guards against the reset of an open flow by a record of an earlier flow with the same key (issue 36).
TEST_F(PassthroughAdmissionTest, RecordOfAnEarlierFlowWithTheSameKeyLocatesNothing)
{
    constexpr std::uint32_t earlierSequence = s_upstreamSequence + 0x40000000;
    PassthroughAdmission admission = make(false);
    admission.locationsReceived({{s_self, s_ownAddress}, {{key(1), earlierSequence}, {key(2), s_upstreamSequence}}, {}},
                                s_start);
    EXPECT_NE(actionOf<PassToAgent>(admission.packetArrived(header(0, 3), data(1), s_start)), nullptr);
    const Decision located = admission.packetArrived(header(0, 3), data(2), s_start);
    EXPECT_EQ(located.cause, Cause::Located);
    EXPECT_NE(actionOf<DeliverToUpstream>(located), nullptr);
}

// Guards against the loss of all open flows when an agent restarts: if nobody else can own the flow, the agent delivers
// the packet to its upstream.
TEST_F(PassthroughAdmissionTest, RestartedAgentDeliversOnItsSecondTurn)
{
    PassthroughAdmission admission = make(false);
    const Decision asked = admission.packetArrived(onlyPossibleOwner(), data(1), s_start);
    EXPECT_EQ(asked.cause, Cause::OwnerUnknown);
    ASSERT_NE(actionOf<DeliverToUpstream>(asked), nullptr);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
    EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
}

// Guards against the loss of an open flow after a late copy of its first packet. The upstream does not answer such a
// copy, so that a restarted agent recorded the flow as half-open and passed its packets to other agents (issue 15).
TEST_F(PassthroughAdmissionTest, LateCopyOfAFirstPacketHidesNoFlowFromARestartedAgent)
{
    constexpr std::uint32_t acknowledged = s_upstreamSequence + 601;
    PassthroughAdmission revealed = make(false);
    flow::Segment answer = upstreamPacket(1, false, 600);
    answer.acknowledgementNumber = s_callerSequence + 901;
    revealed.upstreamSent(answer, s_start);
    revealed.packetArrived(header(0, 2), firstPacket(1, 1), s_start);
    EXPECT_EQ(revealed.packetArrived(header(0, 2), data(1, acknowledged), s_start).cause, Cause::Owned);

    PassthroughAdmission unaware = make(false);
    unaware.packetArrived(header(0, 2), firstPacket(1, 1), s_start);
    const Decision asked = unaware.packetArrived(onlyPossibleOwner(), data(1, acknowledged), s_start);
    EXPECT_EQ(asked.cause, Cause::OwnerUnknown);
    EXPECT_NE(actionOf<DeliverToUpstream>(asked), nullptr);
}

// Guards against delivering packets of lost flows to an upstream that has just started, which delays the search, and
// against an agent that cannot answer searches for up to 75 s after a loss of power: whatever number the first report
// has that reaches it, the store shows that no earlier process has served the run.
TEST_F(PassthroughAdmissionTest, RunThatTheStoreDoesNotListHoldsNoFlow)
{
    for (const std::uint64_t number : {0, 1, 2, 41}) {
        for (const bool isReadFirst : {true, false}) {
            PassthroughAdmission admission = make(false, false);
            UpstreamReport next = report(number);
            next.startedSinceEpoch = 2000ms;
            if (isReadFirst) {
                admission.earlierRunsRead(servedBefore(), s_start);
            }
            admission.upstreamReported(next, s_start);
            EXPECT_EQ(admission.knowledge().isComplete(), isReadFirst);
            admission.earlierRunsRead(servedBefore(), s_start);
            EXPECT_EQ(admission.knowledge().basis(), KnowledgeBasis::UnservedRun);
            EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::NotOwned);
        }
    }
}

// Guards against the reset of open flows whose agent was killed shortly after the start of its upstream (review/6 and
// review/7): the next process took a report with the number 0, 1 or 2, or with a start that a clock ahead of time had
// given, for a proof that the run held no flow.
TEST_F(PassthroughAdmissionTest, NeitherNumberNorClockShowsThatAServedRunHoldsNoFlow)
{
    for (const std::uint64_t number : {0, 1, 2}) {
        for (const auto born : {0ms, 1000ms, 4'000'000'000'000ms}) {
            UpstreamReport served = report(number);
            served.startedSinceEpoch = born;
            PassthroughAdmission admission(settingsOfAgent(), s_start);
            admission.upstreamReported(served, s_start);
            EXPECT_FALSE(admission.knowledge().isComplete()) << "the store has not been read";
            admission.earlierRunsRead({{served.run()}, true}, s_start);
            EXPECT_FALSE(admission.knowledge().isComplete()) << "an earlier process has served the run";
            const Decision decision = admission.packetArrived(header(0, 2), data(1), s_start);
            EXPECT_EQ(decision.cause, Cause::OwnerUnknown) << number << ", " << born.count();
        }
    }
}

// Guards against the reset of open flows by a list that lacks runs: the store was restored from an older copy, or the
// list had to drop some.
TEST_F(PassthroughAdmissionTest, IncompleteListOfRunsShowsNothing)
{
    PassthroughAdmission admission(settingsOfAgent(), s_start);
    admission.earlierRunsRead({{}, false}, s_start);
    admission.upstreamReported(report(1), s_start);
    EXPECT_FALSE(admission.knowledge().isComplete());
    ASSERT_TRUE(admission.runsToRecord());
    EXPECT_FALSE(admission.runsToRecord()->isComplete);
    admission.expire(s_start + 75s);
    EXPECT_TRUE(admission.runsToRecord()->isComplete) << "flows of earlier processes have ended";
}

// Guards against the reset of open flows by a delayed report, or by one of another writer, that reaches a restarted
// agent before or after the reports of its upstream.
TEST_F(PassthroughAdmissionTest, ReportOfAServedRunOutweighsThoseOfOtherRuns)
{
    UpstreamReport other = report(1);
    other.id = "i-2";
    other.startedSinceEpoch = 9000ms;
    PassthroughAdmission after = make(false);
    after.upstreamReported(other, s_start + 1s);
    EXPECT_FALSE(after.knowledge().isComplete());
    PassthroughAdmission before(settingsOfAgent(), s_start);
    before.earlierRunsRead(servedBefore(), s_start);
    before.upstreamReported(other, s_start);
    EXPECT_EQ(before.upstreamReported(report(7), s_start + 1s), RegistrationOutcome::Superseded);
    EXPECT_FALSE(before.knowledge().isComplete());
}

// Guards against an agent whose next process would deny open flows, because it handed them to its upstream before the
// store listed the run.
TEST_F(PassthroughAdmissionTest, RunGetsNoNewFlowBeforeTheStoreListsIt)
{
    PassthroughAdmission admission(settingsOfAgent(), s_start);
    admission.upstreamReported(report(1), s_start);
    EXPECT_FALSE(admission.runsToRecord()) << "a list written now would drop the earlier runs";
    EXPECT_FALSE(admission.acceptsNewFlows(s_start));
    admission.earlierRunsRead({{{"i-0", 10ms}}, true}, s_start);
    const ServedRuns expected {{{"i-0", 10ms}, report(1).run()}, true};
    ASSERT_EQ(admission.runsToRecord(), expected);
    EXPECT_EQ(admission.packetArrived(header(0, 2), firstPacket(1), s_start).cause, Cause::NotReady);
    admission.runsRecorded(expected);
    EXPECT_EQ(admission.packetArrived(header(0, 2), firstPacket(1, 1), s_start).cause, Cause::Accepted);

    UpstreamReport next = report(1);
    next.startedSinceEpoch = 2000ms;
    admission.upstreamReported(next, s_start);
    EXPECT_FALSE(admission.acceptsNewFlows(s_start));
    tests::recordRuns(admission);
    EXPECT_TRUE(admission.acceptsNewFlows(s_start));

    PassthroughAdmission restarted(settingsOfAgent(), s_start);
    restarted.earlierRunsRead(servedBefore(), s_start);
    restarted.upstreamReported(report(9), s_start);
    EXPECT_TRUE(restarted.acceptsNewFlows(s_start)) << "the list of the earlier process is enough";
}

// Guards against callers of lost flows that wait until their deadline after a loss of power: an agent whose upstream
// had left before it is started once more, and nothing would ever tell it that it holds no flow.
TEST_F(PassthroughAdmissionTest, AgentWhoseUpstreamHadLeftDeniesFlowsUntilItHearsOfOne)
{
    PassthroughAdmission admission = make(false, false);
    admission.upstreamHadLeft(5s, s_start);
    EXPECT_TRUE(admission.hasUpstreamLeft());
    EXPECT_TRUE(admission.isUpstreamAbsent());
    const auto decision = admission.packetArrived(header(0, 2), data(2), s_start);
    EXPECT_TRUE(std::holds_alternative<PassToAgent>(decision.action));
    EXPECT_EQ(decision.cause, Cause::NotOwned);
    admission.upstreamReported(report(5), s_start + 100ms);
    EXPECT_FALSE(admission.isUpstreamAbsent());
    EXPECT_FALSE(admission.hasUpstreamLeft());
    EXPECT_FALSE(admission.knowledge().isComplete()) << "an upstream runs after all, and may hold flows";

    PassthroughAdmission silent = make(false, false);
    silent.upstreamHadLeft(5s, s_start);
    flow::Segment answer = data(3);
    answer.key = flow::reversed(answer.key);
    silent.upstreamSent(answer, s_start);
    EXPECT_FALSE(silent.knowledge().isComplete()) << "an upstream sends packets";
    PassthroughAdmission heard = make(false, false);
    heard.upstreamReported(report(5), s_start);
    heard.upstreamHadLeft(5s, s_start);
    EXPECT_FALSE(heard.hasUpstreamLeft()) << "the directory is older than the report";
    EXPECT_FALSE(heard.knowledge().isComplete());
}

// Guards against an agent that waits for 75 s although its upstream has said that it leaves: the departure was the
// first message that the agent got, and counted for nothing.
TEST_F(PassthroughAdmissionTest, DepartureMayBeTheFirstMessageOfTheUpstream)
{
    PassthroughAdmission admission = make(false, false);
    const UpstreamReport leaving = report(5);
    admission.earlierRunsRead(servedBefore(), s_start);
    admission.upstreamReported(UpstreamDeparture {leaving.id, leaving.startedSinceEpoch}, s_start);
    EXPECT_TRUE(admission.hasUpstreamLeft());
    EXPECT_FALSE(admission.knowledge().isComplete()) << "it may serve its flows until it ends";
    for (TimePoint now = s_start; now <= s_start + 3s; now += 1s) {
        admission.expire(now);
    }
    EXPECT_EQ(admission.knowledge().basis(), KnowledgeBasis::UpstreamLeft);
}

// Guards against the reset of open flows by a DELETE of another writer: one that names a run which no process of the
// agent has served, and one that names the current run, which goes on to report.
TEST_F(PassthroughAdmissionTest, DepartureOfAnotherWriterShowsNothing)
{
    PassthroughAdmission unnamed = make(false, false);
    unnamed.earlierRunsRead(servedBefore(), s_start);
    unnamed.upstreamReported(UpstreamDeparture {"i-9", {}}, s_start);
    EXPECT_FALSE(unnamed.hasUpstreamLeft());
    PassthroughAdmission named = make(false);
    named.upstreamReported(UpstreamDeparture {report(5).id, {}}, s_start);
    for (std::uint64_t second = 1; second <= 8; ++second) {
        const TimePoint now = s_start + std::chrono::seconds(second);
        EXPECT_EQ(named.upstreamReported(report(5 + second), now), RegistrationOutcome::Superseded);
        named.expire(now);
        EXPECT_FALSE(named.knowledge().isComplete()) << second;
    }
}

// Guards against an agent that denies the flows of its upstream, because it was started again with the settings of the
// first start of the whole system.
TEST_F(PassthroughAdmissionTest, SettingsOfTheFirstStartAreNoProofOfAnEmptyUpstream)
{
    PassthroughAdmission admission = make(true, false);
    EXPECT_FALSE(admission.knowledge().isComplete());
    admission.setPeers({{{AgentId {2}, {0x0a000002, 8172}}, 1, false}});
    EXPECT_TRUE(admission.takeLocationMessages(s_start).empty()) << "when the whole system starts, nobody has records";
    admission.upstreamReported(report(5), s_start);
    EXPECT_FALSE(admission.knowledge().isComplete());
    const auto messages = admission.takeLocationMessages(s_start + 1s);
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<protocol::LocationRequest>(messages.front().message));
}

// Guards against searches that end at an agent whose upstream does not run: callers would wait until their deadline.
TEST_F(PassthroughAdmissionTest, AgentWithoutAnUpstreamPassesSearchesOn)
{
    PassthroughAdmission admission = make(false, false);
    admission.earlierRunsRead({{}, true}, s_start);
    const Decision asked = admission.packetArrived(onlyPossibleOwner(), data(1), s_start);
    admission.upstreamRefused(s_start);
    EXPECT_TRUE(admission.isUpstreamAbsent());
    const Decision refused = admission.deliveryRefused(actionOf<DeliverToUpstream>(asked)->mark, data(1), s_start);
    ASSERT_NE(actionOf<EndSearch>(refused), nullptr) << "the packet that showed it";
    EXPECT_EQ(actionOf<EndSearch>(refused)->message.search.answers.noUpstream, 1U);
    const auto decision = admission.packetArrived(header(0, 2), data(2), s_start);
    EXPECT_TRUE(std::holds_alternative<PassToAgent>(decision.action));
    admission.upstreamReported(report(1), s_start + 1s);
    EXPECT_FALSE(admission.isUpstreamAbsent());
    EXPECT_TRUE(admission.knowledge().isComplete()) << "the upstream started after the refused packet";
}

// Guards against an agent that says at its stop that its upstream may hold flows, although that has ended: no search
// for a lost flow would end in a reset until the agent is found dead.
TEST_F(PassthroughAdmissionTest, UpstreamThatRefusesPacketsIsDownAlsoIfItReportedBefore)
{
    PassthroughAdmission admission = make(true);
    EXPECT_FALSE(admission.isUpstreamDown());
    admission.upstreamRefused(s_start);
    EXPECT_TRUE(admission.isUpstreamDown());
    EXPECT_FALSE(admission.isUpstreamAbsent()) << "the agent stays a member of searches while it runs";
    admission.upstreamReported(report(2), s_start);
    EXPECT_FALSE(admission.isUpstreamDown());
}

// Guards against a new flow that waits for the caller's next copy, although the system has refused its first packet.
TEST_F(PassthroughAdmissionTest, RefusedFirstPacketGoesToTheNextAgent)
{
    PassthroughAdmission admission = make(true);
    const Decision accepted = admission.packetArrived(header(0, 2), firstPacket(1), s_start);
    admission.upstreamRefused(s_start);
    const Decision refused =
        admission.deliveryRefused(actionOf<DeliverToUpstream>(accepted)->mark, firstPacket(1), s_start);
    EXPECT_TRUE(std::holds_alternative<PassToAgent>(refused.action));
    EXPECT_TRUE(admission.takeResets().empty()) << "another upstream may open the flow";
}

// Guards against an agent that still counts as a possible owner of flows after its upstream has ended, so that no
// search can exclude it. Packets that the upstream returned before its end may be read after a later packet was
// refused.
TEST_F(PassthroughAdmissionTest, ReturnedPacketDoesNotShowThatTheUpstreamRuns)
{
    PassthroughAdmission admission = make(false, false);
    const Decision asked = admission.packetArrived(onlyPossibleOwner(), data(1), s_start);
    admission.upstreamRefused(s_start);
    admission.upstreamSent(returned(data(1), asked), s_start);
    EXPECT_TRUE(admission.isUpstreamAbsent());
}

// Guards against envelopes of a search that list the agents that were already asked at every hop.
TEST_F(PassthroughAdmissionTest, ExhaustiveSearchCarriesOnlyTheAgentsThatAreLeft)
{
    PassthroughAdmission admission = make(true);
    protocol::EnvelopeHeader search = header(1, 4);
    search.exhaustive.emplace();
    const Decision passed = admission.packetArrived(search, data(1), s_start);
    const auto *pass = actionOf<PassToAgent>(passed);
    ASSERT_NE(pass, nullptr);
    EXPECT_EQ(pass->header.hop, 0);
    ASSERT_EQ(pass->header.chain.size(), 2U);
    EXPECT_EQ(pass->header.chain.front(), search.chain[2]);
    EXPECT_TRUE(pass->header.extended) << "the last agent has to send a hint if it owns the flow";
    protocol::EnvelopeHeader last = pass->header;
    last.hop = 1;
    const Decision ended = admission.packetArrived(last, data(1), s_start);
    ASSERT_NE(actionOf<EndSearch>(ended), nullptr);
    EXPECT_EQ(actionOf<EndSearch>(ended)->message.search.answers.count, 2U) << "the answers stay in a shorter chain";
}

// Guards against a search that ends at an upstream which does not hold the flow, and against delivering every further
// packet of the flow to that upstream.
TEST_F(PassthroughAdmissionTest, ReturnedPacketContinuesTheSearchAndIsNotDeliveredAgain)
{
    PassthroughAdmission admission = make(false);
    locateHere(admission, 1);
    const Decision asked = admission.packetArrived(header(0, 2), data(1), s_start);
    ASSERT_EQ(asked.cause, Cause::Located);
    const Decision passed = admission.upstreamSent(returned(data(1), asked), s_start);
    EXPECT_EQ(passed.cause, Cause::NotOwned);
    ASSERT_NE(actionOf<PassToAgent>(passed), nullptr);
    EXPECT_EQ(actionOf<PassToAgent>(passed)->header.hop, 1);
    EXPECT_NE(actionOf<PassToAgent>(admission.packetArrived(header(0, 2), data(1), s_start)), nullptr);
}

// Guards against a packet that reached an upstream in vain, and of which nobody can tell why it got there.
TEST_F(PassthroughAdmissionTest, ReturnedPacketTellsWhyTheUpstreamGotIt)
{
    PassthroughAdmission admission = make(false);
    locateHere(admission, 1);
    protocol::EnvelopeHeader search = header(0, 2);
    search.search = 7;
    const Decision delivered = admission.packetArrived(search, data(1), s_start);
    EXPECT_FALSE(delivered.returned);
    const Decision passed = admission.upstreamSent(returned(data(1), delivered), s_start + 5ms);
    ASSERT_TRUE(passed.returned);
    EXPECT_EQ(passed.returned->cause, Cause::Located);
    EXPECT_EQ(passed.returned->handedAt, s_start);
    EXPECT_EQ(passed.returned->header.search, search.search);
}

// Guards against a packet that is passed on with the envelope header of another flow: the upstream returns a packet
// that it got from the previous process of a restarted agent, whose marks began with the same number.
TEST_F(PassthroughAdmissionTest, PacketReturnedWithTheMarkOfAnotherFlowIsDropped)
{
    PassthroughAdmission admission = make(false);
    locateHere(admission, 1);
    const Decision delivered = admission.packetArrived(header(0, 2), data(1), s_start);
    EXPECT_EQ(admission.upstreamSent(returned(data(2), delivered), s_start).cause, Cause::UnknownReturn);
    const Decision passed = admission.upstreamSent(returned(data(1), delivered), s_start);
    EXPECT_EQ(passed.cause, Cause::NotOwned);
    EXPECT_NE(actionOf<PassToAgent>(passed), nullptr);
}

// Guards against the reset of a flow that opened after a packet with its addresses and ports was handed to the upstream
// on trial. The packet is of an earlier flow, or acknowledges another upstream; the upstream returns it after it has
// answered the first packet.
TEST_F(PassthroughAdmissionTest, PacketReturnedAfterItsFlowOpenedResetsNothing)
{
    PassthroughAdmission admission = make(false);
    admission.packetArrived(header(0, 2), firstPacket(1), s_start);
    const flow::Segment other = data(1, 777);
    const Decision tried = admission.packetArrived(onlyPossibleOwner(), other, s_start);
    ASSERT_NE(actionOf<DeliverToUpstream>(tried), nullptr);
    admission.upstreamSent(upstreamPacket(1, true), s_start);
    ASSERT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
    EXPECT_NE(actionOf<DropPacket>(admission.upstreamSent(returned(other, tried), s_start)), nullptr);
    EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
}

// Guards against an agent that denies a flow which its caller is about to open, because the upstream returned a packet
// that acknowledges another upstream, and against further trials with such packets.
TEST_F(PassthroughAdmissionTest, PacketReturnedDuringTheHandshakeLeavesItOpenable)
{
    PassthroughAdmission admission = make(false);
    admission.packetArrived(header(0, 2), firstPacket(1), s_start);
    const flow::Segment other = data(1, 777);
    const Decision tried = admission.packetArrived(onlyPossibleOwner(), other, s_start);
    ASSERT_NE(actionOf<DeliverToUpstream>(tried), nullptr);
    admission.upstreamSent(upstreamPacket(1, true), s_start);
    EXPECT_NE(actionOf<EndSearch>(admission.upstreamSent(returned(other, tried), s_start)), nullptr);
    EXPECT_NE(actionOf<EndSearch>(admission.packetArrived(onlyPossibleOwner(), other, s_start)), nullptr);
    EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
}

// Guards against the same reset when the envelope header of the packet was replaced meanwhile, or kept by the previous
// process of a restarted agent: the mark alone tells that the packet was handed over on trial.
TEST_F(PassthroughAdmissionTest, ReturnedPacketWithoutAHeaderEndsNoLaterFlow)
{
    constexpr std::uint32_t unknownMark = 4000;
    flow::Segment other = data(1, 777);
    other.returned = true;
    other.returnMark = unknownMark;
    for (const bool isOpen : {true, false}) {
        PassthroughAdmission admission = make(false);
        admission.packetArrived(header(0, 2), firstPacket(1), s_start);
        admission.upstreamSent(upstreamPacket(1, true), s_start);
        if (isOpen) {
            ASSERT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
        }
        EXPECT_NE(actionOf<DropPacket>(admission.upstreamSent(other, s_start)), nullptr);
        EXPECT_EQ(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
    }
}

// Guards against copies of a search that multiply. A late acknowledgement leads to a second copy, which has to end at
// the next agent that has already handled the search. Otherwise each late agent would double the number of copies.
TEST_F(PassthroughAdmissionTest, SecondCopyOfASearchEnds)
{
    PassthroughAdmission admission = make(true);
    protocol::EnvelopeHeader search = header(0, 3);
    search.search = 77;
    EXPECT_NE(actionOf<PassToAgent>(admission.packetArrived(search, data(1), s_start)), nullptr);
    const Decision second = admission.packetArrived(search, data(1), s_start);
    EXPECT_EQ(second.cause, Cause::SearchRepeated);
    EXPECT_NE(actionOf<DropPacket>(second), nullptr);
    search.search = 78;
    EXPECT_NE(actionOf<PassToAgent>(admission.packetArrived(search, data(1), s_start)), nullptr);
}

// Guards against a search that ends at an agent that does not run, and against a reset of the flow although that agent
// may own it (issue 15).
TEST_F(PassthroughAdmissionTest, SilentAgentIsSkippedAndPreventsTheReset)
{
    PassthroughAdmission admission = make(true);
    protocol::EnvelopeHeader search = header(0, 3);
    search.exhaustive.emplace();
    const Decision first = admission.packetArrived(search, data(1), s_start);
    const Decision second = admission.agentSilent(actionOf<PassToAgent>(first)->header, data(1));
    EXPECT_EQ(second.cause, Cause::AgentSilent);
    const auto *pass = actionOf<PassToAgent>(second);
    ASSERT_NE(pass, nullptr);
    EXPECT_EQ(pass->header.chain[pass->header.hop], candidate(12));
    EXPECT_EQ(pass->header.unanswered, 1);
    const Decision last = admission.agentSilent(pass->header, data(1));
    const auto *returnedSearch = actionOf<ReturnSearch>(last);
    ASSERT_NE(returnedSearch, nullptr);
    EXPECT_EQ(returnedSearch->header.chain, (protocol::CandidateChain {candidate(11), candidate(12)}));
    EXPECT_FALSE(returnedSearch->header.exhaustive.has_value());
}

// Guards against a search that fails because of a wrong hint: the agents that the balancer did not name have to be
// asked.
TEST_F(PassthroughAdmissionTest, SearchContinuesWithThePeers)
{
    PassthroughAdmission admission = make(true);
    admission.setPeers({{candidate(21)}, {{s_self, s_ownAddress}}, {candidate(22)}});
    const Decision decision = admission.packetArrived(header(0, 1), data(1), s_start);
    const auto *pass = actionOf<PassToAgent>(decision);
    ASSERT_NE(pass, nullptr);
    EXPECT_TRUE(pass->header.extended);
    EXPECT_EQ(pass->header.chain.size(), 2U);
    protocol::EnvelopeHeader last = header(0, 1);
    last.extended = true;
    const Decision ended = admission.packetArrived(last, data(1), s_start);
    EXPECT_EQ(ended.cause, Cause::NoOwner);
    EXPECT_NE(actionOf<DropPacket>(ended), nullptr) << "an agent that was not asked may own the flow";
}

// Guards against an agent that resets a flow by answers that may be old, and against callers that get no reset although
// no upstream holds their flow any more: the balancer that began the search gets the answers, and resets the caller.
TEST_F(PassthroughAdmissionTest, ExhaustiveSearchEndsAtItsBalancer)
{
    PassthroughAdmission admission = make(true);
    protocol::EnvelopeHeader last = header(1, 2);
    last.exhaustive = protocol::ExhaustiveSearch {{7, 8, 9}, {}};
    const Decision decision = admission.packetArrived(last, data(1), s_start);
    EXPECT_EQ(decision.cause, Cause::NoOwner);
    const auto *ended = actionOf<EndSearch>(decision);
    ASSERT_NE(ended, nullptr);
    EXPECT_EQ(ended->to, last.origin);
    const protocol::ExhaustiveSearch expected {{7, 8, 9}, {1, 0, 0}};
    EXPECT_EQ(ended->message, (protocol::SearchEnded {key(1), s_upstreamSequence + 1, expected, s_ownAddress}))
        << "a reset far from the caller's last number is ignored";
}

// Guards against the reset of all open flows of an upstream by a single report, of another writer or a delayed one,
// that names another run (review/8): the flows go on, and only a packet that the upstream returns ends its flow.
TEST_F(PassthroughAdmissionTest, ReportOfANewRunEndsNoFlow)
{
    for (const std::uint64_t number : {0, 1, 40}) {
        PassthroughAdmission admission = make(true);
        openFlow(admission, 1);
        openFlow(admission, 2);
        UpstreamReport next = report(number);
        next.id = "i-2";
        next.startedSinceEpoch = 2000ms;
        EXPECT_EQ(admission.upstreamReported(next, s_start), RegistrationOutcome::NewRun);
        EXPECT_TRUE(admission.takeResets().empty());
        EXPECT_TRUE(admission.knowledge().isComplete());
        EXPECT_EQ(admission.packetArrived(header(0, 1), data(1), s_start).cause, Cause::Owned);
        admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
        EXPECT_EQ(admission.packetArrived(header(0, 1), data(1), s_start).cause, Cause::Owned);
    }
}

// Guards against callers that wait until their deadline after the run of the upstream that held their flow has crashed.
TEST_F(PassthroughAdmissionTest, CallerOfALostRunIsResetByTheAnswerOfTheNextOne)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    UpstreamReport next = report(1);
    next.startedSinceEpoch = 2000ms;
    admission.upstreamReported(next, s_start);
    const Decision delivered = admission.packetArrived(header(0, 1), data(1), s_start);
    ASSERT_NE(actionOf<DeliverToUpstream>(delivered), nullptr);
    const Decision ended = admission.upstreamSent(returned(data(1), delivered), s_start);
    EXPECT_EQ(ended.cause, Cause::UpstreamLostFlow);
    EXPECT_NE(actionOf<ResetCaller>(ended), nullptr);
    EXPECT_NE(admission.packetArrived(header(0, 2), data(1), s_start).cause, Cause::Owned);
}

// Guards against resets of open flows when a delayed report of an earlier run of the upstream is the first one that a
// restarted agent gets, and against an agent that denies the flows of the run that goes on.
TEST_F(PassthroughAdmissionTest, RunThatWasNotSeenToBeginKeepsItsFlows)
{
    PassthroughAdmission admission = make(false);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
    UpstreamReport current = report(40);
    current.startedSinceEpoch = 2000ms;
    EXPECT_EQ(admission.upstreamReported(current, s_start), RegistrationOutcome::NewRun);
    EXPECT_TRUE(admission.takeResets().empty());
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(1), s_start).cause, Cause::Owned);
    EXPECT_FALSE(admission.knowledge().isComplete());
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(2), s_start).cause, Cause::OwnerUnknown);
}

// Guards against an agent that goes on denying flows, although its upstream has shown that it holds one that is not in
// the table: whatever made the agent sure was wrong, and more flows may be missing.
TEST_F(PassthroughAdmissionTest, PacketOfAnUnknownFlowShowsThatTheTableIsIncomplete)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
    admission.upstreamSent(upstreamPacket(2, true), s_start);
    EXPECT_TRUE(admission.knowledge().isComplete()) << "a known flow, and the beginning of a flow";
    admission.upstreamSent(upstreamPacket(3, false, 600), s_start);
    EXPECT_FALSE(admission.knowledge().isComplete());
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(4), s_start).cause, Cause::OwnerUnknown);
    admission.expire(s_start + 74s);
    EXPECT_FALSE(admission.knowledge().isComplete());
    admission.expire(s_start + 75s);
    EXPECT_TRUE(admission.knowledge().isComplete());
}

// Guards against an upstream that counts as absent for good after a refusal, although it sends packets.
TEST_F(PassthroughAdmissionTest, PacketOfAnOpenFlowOutweighsARefusal)
{
    PassthroughAdmission admission = make(false, false);
    admission.upstreamRefused(s_start);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
    EXPECT_FALSE(admission.isUpstreamAbsent());
    EXPECT_FALSE(admission.knowledge().isComplete());
}

// Guards against an agent that goes on denying the flows of its upstream after a report has shown that the run is older
// than the refused packet: a run that reported forty times did not begin after it.
TEST_F(PassthroughAdmissionTest, LaterReportOfARunOutweighsARefusal)
{
    PassthroughAdmission unreported = make(false, false);
    unreported.upstreamRefused(s_start);
    unreported.upstreamReported(report(41), s_start + 500ms);
    EXPECT_FALSE(unreported.knowledge().isComplete()) << "first report after a restart of the agent";
    EXPECT_EQ(unreported.packetArrived(header(0, 1), data(1), s_start + 500ms).cause, Cause::OwnerUnknown);
    PassthroughAdmission reported = make(false);
    reported.upstreamRefused(s_start);
    reported.upstreamReported(report(6), s_start + 500ms);
    EXPECT_FALSE(reported.knowledge().isComplete()) << "the run of the report before";
    EXPECT_EQ(reported.packetArrived(header(0, 1), data(1), s_start + 500ms).cause, Cause::OwnerUnknown);
}

// Guards against resets of the other flows of an upstream that sends packets of a flow which a refused packet seemed to
// end: its run has not ended.
TEST_F(PassthroughAdmissionTest, PacketOfALostFlowShowsThatTheRunGoesOn)
{
    PassthroughAdmission admission = make(false);
    openFlow(admission, 1);
    openFlow(admission, 2);
    admission.upstreamRefused(s_start);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
    EXPECT_FALSE(admission.knowledge().isComplete());
    EXPECT_EQ(actionOf<ResetCaller>(admission.packetArrived(header(0, 2), data(2), s_start)), nullptr);
    EXPECT_EQ(admission.packetArrived(header(0, 1), data(3), s_start).cause, Cause::OwnerUnknown)
        << "a flow from before the start of the agent";
}

// Guards against an agent that gets no records again after its certainty has ended: it ignored those that came while it
// took its table for complete.
TEST_F(PassthroughAdmissionTest, RecordsAreRequestedAgainAfterTheCertaintyHasEnded)
{
    PassthroughAdmission admission = make(false, false);
    const Endpoint peer {0x0a000002, 8172};
    admission.setPeers({{{AgentId {2}, peer}, 1, false}});
    ASSERT_EQ(admission.takeLocationMessages(s_start).size(), 1U);
    tests::startBesideUnservedRun(admission, s_start);
    admission.locationsReceived(
        {{s_self, s_ownAddress}, {{key(1), s_upstreamSequence}, {key(2), s_upstreamSequence}}, peer}, s_start);
    admission.upstreamSent(upstreamPacket(1, false, 600), s_start);
    ASSERT_FALSE(admission.knowledge().isComplete());
    bool isRequested = false;
    for (const LocationMessage &message : admission.takeLocationMessages(s_start + 5s)) {
        isRequested = isRequested || std::holds_alternative<protocol::LocationRequest>(message.message);
    }
    EXPECT_TRUE(isRequested);
}

// Guards against the reset of an open flow, or its packets at another upstream, because its caller used the same
// address and port for an earlier flow, which this agent still remembers.
TEST_F(PassthroughAdmissionTest, EarlierFlowWithTheSameKeyDoesNotClaimTheNextOne)
{
    constexpr std::uint32_t otherUpstream = 3'000'000'000;
    PassthroughAdmission stale = make(true);
    openFlow(stale, 1);
    stale.upstreamSent(upstreamPacket(1, false, 600), s_start);
    EXPECT_NE(stale.packetArrived(header(0, 2), data(1, otherUpstream), s_start + 60s).cause, Cause::Owned);
    PassthroughAdmission lost = make(true);
    openFlow(lost, 1);
    lost.upstreamRefused(s_start);
    ASSERT_EQ(lost.takeResets().size(), 1U);
    const Decision decision = lost.packetArrived(header(0, 2), data(1, otherUpstream), s_start + 60s);
    EXPECT_EQ(actionOf<ResetCaller>(decision), nullptr);
}

// Guards against the reset of an open flow with a long answer: a packet of its caller that waited at a paused balancer
// is taken for one of another flow, because the caller has acknowledged far more since.
TEST_F(PassthroughAdmissionTest, DelayedPacketOfALongAnswerBelongsToItsFlow)
{
    constexpr std::uint32_t answerSize = 400'000;
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    for (std::uint32_t acknowledged = 70'000; acknowledged <= answerSize; acknowledged += 10'000) {
        const auto latest = data(1, s_upstreamSequence + 1 + acknowledged, 0);
        ASSERT_EQ(admission.packetArrived(header(0, 2), latest, s_start).cause, Cause::Owned);
    }
    const Decision delayed = admission.packetArrived(header(0, 2), data(1, s_upstreamSequence + 1), s_start + 2s);
    EXPECT_EQ(delayed.cause, Cause::Owned);
    const auto latest = data(1, s_upstreamSequence + 1 + answerSize, 0);
    EXPECT_EQ(admission.packetArrived(header(0, 2), latest, s_start + 2s).cause, Cause::Owned);
}

// Guards against requests of an ended run that take up the slots of the run after it.
TEST_F(PassthroughAdmissionTest, RequestsOfAnEarlierRunTakeNoSlots)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    ASSERT_EQ(admission.tracker().requestsWaiting(), 1U);
    UpstreamReport next = report(3);
    next.startedSinceEpoch = 2000ms;
    admission.upstreamReported(next, s_start);
    EXPECT_EQ(admission.tracker().requestsWaiting(), 0U);
}

// Guards against callers that get no reset although the upstream has ended during their handshake, and against the
// reset of a flow that another upstream holds (soak, seed 149).
TEST_F(PassthroughAdmissionTest, OnlyACallerThatAcknowledgesTheLostRunIsReset)
{
    for (const bool isOurs : {true, false}) {
        PassthroughAdmission admission = make(true);
        admission.packetArrived(header(0, 2), firstPacket(1), s_start);
        admission.upstreamSent(upstreamPacket(1, true), s_start);
        admission.upstreamRefused(s_start);
        EXPECT_TRUE(admission.takeResets().empty());
        const std::uint32_t acknowledged = isOurs ? s_upstreamSequence + 1 : 777;
        const Decision decision = admission.packetArrived(header(0, 2), data(1, acknowledged), s_start);
        EXPECT_EQ(decision.cause, isOurs ? Cause::UpstreamLostFlow : Cause::NotOwned);
        const auto *reset = actionOf<ResetCaller>(decision);
        ASSERT_EQ(reset != nullptr, isOurs);
        if (isOurs) {
            EXPECT_EQ(reset->sequenceNumber, s_upstreamSequence + 1);
        }
    }
}

// Guards against the reset of a flow that has just been accepted. A balancer that was frozen forwards all copies of a
// first packet at once; after an agent has accepted one copy, another one is directed to it as the least busy agent
// (soak, seed 404).
TEST_F(PassthroughAdmissionTest, CopyThatComesBackToTheLeastBusyAgentIsNotRefused)
{
    PassthroughAdmission admission = make(true);
    EXPECT_EQ(admission.packetArrived(header(1, 4), firstPacket(1, 1), s_start).cause, Cause::Accepted);
    protocol::EnvelopeHeader directed = header(1, 4);
    directed.directed = true;
    const Decision decision = admission.packetArrived(directed, firstPacket(1, 2), s_start);
    EXPECT_EQ(decision.cause, Cause::Repeated);
    EXPECT_NE(actionOf<DeliverToUpstream>(decision), nullptr);
}

// Guards against callers that wait until their deadline after the upstream has crashed, if the operating system reports
// that no process listens before the next run sends a report.
TEST_F(PassthroughAdmissionTest, RefusedPacketMarksFlowsAsLost)
{
    PassthroughAdmission admission = make(true);
    openFlow(admission, 1);
    admission.upstreamRefused(s_start);
    EXPECT_EQ(admission.takeResets().size(), 1U);
    EXPECT_EQ(admission.packetArrived(header(0, 2), firstPacket(2), s_start).cause, Cause::NotReady);
}

// Guards against a balancer with an old configuration that undoes a change (found as CONFIG in a randomised test run).
TEST_F(PassthroughAdmissionTest, NewerConfigurationDecides)
{
    PassthroughAdmission admission = make(true);
    admission.setServed({8, {{{0xc6120002, 443}, {}}}});
    EXPECT_EQ(admission.packetArrived(header(0, 1, 4), firstPacket(1), s_start).cause, Cause::NotServed);
    EXPECT_EQ(admission.packetArrived(header(0, 1, 9), firstPacket(2), s_start).cause, Cause::Accepted);
    admission.setServed({8, {{{0xc6120001, 443}, {}}}});
    EXPECT_EQ(admission.packetArrived(header(0, 1, 4), firstPacket(3), s_start).cause, Cause::Accepted);
}

// Guards against accepting a flow of one service at an upstream of another service.
TEST_F(PassthroughAdmissionTest, OtherServiceIsPassedOn)
{
    PassthroughAdmission admission = make(true);
    protocol::EnvelopeHeader other = header(0, 2);
    other.service = ServiceId::fromName("leaf");
    EXPECT_EQ(admission.packetArrived(other, firstPacket(1), s_start).cause, Cause::WrongService);
}

// Guards against a caller that waits for a frozen upstream: the repeated first packet has to go to the next agent.
TEST_F(PassthroughAdmissionTest, CopyOfAnUnansweredFirstPacketIsPassedOn)
{
    PassthroughAdmission admission = make(true);
    admission.packetArrived(header(0, 2), firstPacket(1), s_start);
    const Decision unanswered = admission.packetArrived(header(0, 2), firstPacket(1, 1), s_start + 200ms);
    EXPECT_EQ(unanswered.cause, Cause::UpstreamSilent);
    admission.packetArrived(header(0, 2), firstPacket(2), s_start + 300ms);
    admission.upstreamSent(upstreamPacket(2, true), s_start + 300ms);
    const Decision answered = admission.packetArrived(header(0, 2), firstPacket(2, 1), s_start + 500ms);
    EXPECT_EQ(answered.cause, Cause::Repeated) << "a second upstream would open a connection that is never used";
}

// Guards against a balancer that repeats the search for every packet although the owner of the flow was found.
TEST_F(PassthroughAdmissionTest, OwnerSendsAHintToTheBalancerThatSearched)
{
    PassthroughAdmission admission = make(true);
    admission.packetArrived(header(1, 3), firstPacket(1), s_start);
    admission.upstreamSent(upstreamPacket(1, true), s_start);
    const Decision found = admission.packetArrived(header(1, 3), data(1), s_start);
    ASSERT_TRUE(found.hint);
    EXPECT_EQ(found.hint->to, s_balancer);
    EXPECT_EQ(found.hint->hint.owner.agent, s_self);
    EXPECT_FALSE(admission.packetArrived(header(0, 1), data(1), s_start).hint);
}

} // namespace samphireswitch::passthrough
