#include "routing/openingflows.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace samphireswitch::routing {

namespace {

using namespace std::chrono_literals;

const TimePoint s_start = TimePoint() + 1h;
constexpr std::uint32_t s_sequence = 1000;

flow::Segment firstPacket(std::uint32_t copy, std::uint16_t port = 1, std::uint32_t sequence = s_sequence)
{
    flow::Segment segment;
    segment.key = {{0x0a000001, port}, {0xc6120001, 443}};
    segment.sequenceNumber = sequence;
    segment.syn = true;
    segment.synRetransmissions = copy;
    return segment;
}

RefusalVerdict refuse(OpeningFlows &flows, std::uint32_t copy, TimePoint now)
{
    return flows.refused(firstPacket(copy).key, s_sequence, copy, now).verdict;
}

/** A copy of a first packet on its way through one balancer and one agent or several. */
struct Copy
{
    std::uint32_t number = 0;
    std::size_t balancer = 0;
    TimePoint sentAt;
    TimePoint readAt;
    /** When an agent accepts or refuses it. */
    TimePoint decidedAt;
    bool isAccepted = false;
    /** When the balancer reads the refusal. */
    TimePoint refusalReadAt;
};

/** Copies of one first packet whose way takes any time, and which any agent accepts or refuses. */
class Attempt
{
public:
    explicit Attempt(std::mt19937_64 &random)
        : m_random(random)
    {
        for (const auto sentAt : OpeningFlowSettings().sentAt) {
            Copy copy;
            copy.number = static_cast<std::uint32_t>(m_copies.size());
            copy.balancer = m_random() % 2;
            copy.sentAt = s_start + sentAt;
            copy.readAt = copy.sentAt + delay();
            copy.decidedAt = copy.readAt + delay();
            copy.isAccepted = m_random() % 2 == 0;
            copy.refusalReadAt = copy.decidedAt + delay();
            m_copies.push_back(copy);
        }
    }

    const std::vector<Copy> &copies() const
    {
        return m_copies;
    }

private:
    /** Mostly as long as on a calm machine, at times as long as a process stands still. */
    std::chrono::milliseconds delay()
    {
        constexpr std::uint64_t longest = 900;
        return std::chrono::milliseconds(m_random() % 3 == 0 ? m_random() % longest : 1);
    }

    std::mt19937_64 &m_random;
    std::vector<Copy> m_copies;
};

/** When a caller that sends the copies of @p attempt is reset; nothing if it is not. */
std::optional<TimePoint> resetTime(const Attempt &attempt)
{
    struct Step
    {
        TimePoint at;
        const Copy *copy = nullptr;
        bool isRefusal = false;
    };
    std::vector<Step> steps;
    for (const Copy &copy : attempt.copies()) {
        steps.push_back({copy.readAt, &copy, false});
        if (!copy.isAccepted) {
            steps.push_back({copy.refusalReadAt, &copy, true});
        }
    }
    std::ranges::stable_sort(steps, {}, &Step::at);
    std::vector<OpeningFlows> balancers(2);
    for (const Step &step : steps) {
        OpeningFlows &flows = balancers[step.copy->balancer];
        if (!step.isRefusal) {
            // A balancer that stood still knows only that the packet arrived since it read the socket last.
            flows.arrived(firstPacket(step.copy->number), step.copy->sentAt, true);
        } else if (refuse(flows, step.copy->number, step.at) == RefusalVerdict::Final) {
            return step.at;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against a caller that waits although no agent accepts its flow.
TEST(OpeningFlowsTest, RefusalOfTheOnlyCopyIsFinal)
{
    OpeningFlows flows;
    flows.arrived(firstPacket(0), s_start, true);
    const RefusalJudgement judgement = flows.refused(firstPacket(0).key, s_sequence, 0, s_start + 5ms);
    EXPECT_EQ(judgement.verdict, RefusalVerdict::Final);
    EXPECT_EQ(judgement.copies, 1U);
    EXPECT_EQ(judgement.age, std::chrono::nanoseconds(5ms));
}

// Guards against the reset of a flow that another copy opens: one that an agent holds, or one at another balancer.
TEST(OpeningFlowsTest, RefusalOfOneOfSeveralCopiesIsNotFinal)
{
    OpeningFlows flows;
    flows.arrived(firstPacket(0), s_start, true);
    flows.arrived(firstPacket(1), s_start + 200ms, true);
    EXPECT_EQ(refuse(flows, 1, s_start + 201ms), RefusalVerdict::CopyPending);
    EXPECT_EQ(refuse(flows, 0, s_start + 202ms), RefusalVerdict::Final) << "both are refused";
    OpeningFlows second;
    second.arrived(firstPacket(1), s_start + 200ms, true);
    EXPECT_EQ(refuse(second, 1, s_start + 201ms), RefusalVerdict::CopyElsewhere) << "the first one went elsewhere";
}

// Guards against the reset of a flow that the next copy opens at another balancer, when the refusal or the packet was
// late.
TEST(OpeningFlowsTest, LateRefusalIsNotFinal)
{
    OpeningFlows flows;
    flows.arrived(firstPacket(0), s_start, true);
    EXPECT_EQ(refuse(flows, 0, s_start + 640ms), RefusalVerdict::CopyElsewhere);
    flows.arrived(firstPacket(1), s_start + 650ms, true);
    flows.arrived(firstPacket(2), s_start + 650ms, true);
    EXPECT_EQ(refuse(flows, 1, s_start + 651ms), RefusalVerdict::CopyPending);
    EXPECT_EQ(refuse(flows, 2, s_start + 651ms), RefusalVerdict::Final) << "the caller sends no further copy";
}

// Guards against resets for packets that this process did not forward: of a process before a restart, of an earlier
// flow with the same key, or a second time for the same copy.
TEST(OpeningFlowsTest, RefusalOfAnUnknownPacketIsNotFinal)
{
    OpeningFlows flows;
    EXPECT_EQ(refuse(flows, 0, s_start), RefusalVerdict::Unknown);
    flows.arrived(firstPacket(0, 1, s_sequence + 1), s_start, true);
    EXPECT_EQ(refuse(flows, 0, s_start), RefusalVerdict::Unknown);
    flows.arrived(firstPacket(0), s_start, true);
    EXPECT_EQ(refuse(flows, 0, s_start), RefusalVerdict::Final);
    EXPECT_EQ(refuse(flows, 0, s_start), RefusalVerdict::Unknown);
    EXPECT_EQ(refuse(flows, s_firstPacketCopies, s_start), RefusalVerdict::Unknown);
}

// Guards against a balancer without a service for the flow that resets a caller whose flow another balancer opens.
TEST(OpeningFlowsTest, PacketThatIsNotForwardedIsFinalOnlyAsTheFirstCopy)
{
    OpeningFlows flows;
    flows.arrived(firstPacket(0), s_start, false);
    EXPECT_EQ(flows.notForwarded(firstPacket(0), s_start + 1ms).verdict, RefusalVerdict::Final);
    flows.arrived(firstPacket(1, 2), s_start, false);
    EXPECT_EQ(flows.notForwarded(firstPacket(1, 2), s_start + 1ms).verdict, RefusalVerdict::CopyElsewhere);
    flows.arrived(firstPacket(0, 3), s_start, true);
    flows.arrived(firstPacket(1, 3), s_start + 200ms, false);
    EXPECT_EQ(flows.notForwarded(firstPacket(1, 3), s_start + 201ms).verdict, RefusalVerdict::CopyPending);
    EXPECT_EQ(flows.notForwarded(firstPacket(0, 4), s_start).verdict, RefusalVerdict::Unknown);
}

// Guards against memory that grows with each first packet, and against a flow that is forgotten with an earlier one.
TEST(OpeningFlowsTest, FlowsAreForgotten)
{
    OpeningFlowSettings settings;
    settings.capacity = 2;
    OpeningFlows flows(settings);
    for (std::uint16_t port = 1; port <= 5; ++port) {
        flows.arrived(firstPacket(0, port), s_start, true);
    }
    EXPECT_LE(flows.size(), 3U);
    OpeningFlows reused;
    reused.arrived(firstPacket(0, 1, s_sequence + 1), s_start, true);
    reused.arrived(firstPacket(0), s_start + 1900ms, true);
    reused.arrived(firstPacket(0, 9), s_start + 2001ms, true);
    EXPECT_EQ(refuse(reused, 0, s_start + 2001ms), RefusalVerdict::Final);
}

// Guards against any order of delays in which a caller is reset although a copy of its first packet is accepted: copies
// wait in processes that stand still and go through different balancers (issue 36).
TEST(OpeningFlowsTest, NoDelayResetsACallerWithAnAcceptedCopy)
{
    constexpr std::uint64_t seeds = 20000;
    std::size_t resets = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        const Attempt attempt(random);
        const auto resetAt = resetTime(attempt);
        if (!resetAt) {
            continue;
        }
        ++resets;
        for (const Copy &copy : attempt.copies()) {
            // The caller sends no copy after the reset.
            EXPECT_FALSE(copy.isAccepted && copy.sentAt <= *resetAt) << "seed " << seed << ", copy " << copy.number;
        }
    }
    EXPECT_GT(resets, seeds / 20) << "callers without any hope are still told";
}

} // namespace samphireswitch::routing
