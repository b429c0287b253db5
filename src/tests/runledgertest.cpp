#include "passthrough/runledger.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

const UpstreamRun s_first {"i-1", 1000ms};
const UpstreamRun s_second {"i-1", 2000ms};

/**
 * An agent that is killed and started again and again beside an upstream that crashes and starts again, with the
 * store's list between them. Writes to the store may be lost, take effect without an answer, or late; reports are
 * repeated and delayed. A run reports to the agent that runs before it gets flows from it. Clocks do not occur: the
 * start of a run is any number, and an earlier run may have a higher one.
 */
class RandomLife
{
public:
    explicit RandomLife(std::uint64_t seed)
        : m_random(seed)
    {
        startUpstream();
    }

    void step()
    {
        switch (m_random() % 9) {
        case 0:
            startUpstream();
            return;
        case 1:
            m_agent.reset();
            return;
        case 2:
            startAgent();
            return;
        case 3:
            report(m_runs[m_random() % m_runs.size()]);
            return;
        case 4:
            report(m_runs.back());
            return;
        case 5:
        case 6:
            record();
            return;
        default:
            openFlow();
        }
    }

    /** Whether the agent wrongly takes its table for complete, although the live run has reported to it. */
    bool deniesOpenFlows() const
    {
        return m_agent && m_hasLiveRunReported && m_holdsEarlierFlows && m_agent->showsUnservedRun();
    }

    bool showsUnservedRun() const
    {
        return m_agent && m_agent->showsUnservedRun();
    }

private:
    void startUpstream()
    {
        m_runs.push_back({"i-" + std::to_string(m_random() % 3), std::chrono::milliseconds(m_random() % 1'000'000)});
        m_holdsEarlierFlows = false;
        m_holdsFlows = false;
        m_hasLiveRunReported = false;
        report(m_runs.back());
    }

    void startAgent()
    {
        m_agent = std::make_unique<RunLedger>(true);
        m_holdsEarlierFlows = m_holdsFlows;
        m_hasLiveRunReported = false;
        m_isRead = false;
    }

    void report(const UpstreamRun &run)
    {
        if (!m_agent) {
            return;
        }
        m_agent->reported(run);
        m_current = run;
        m_hasLiveRunReported = m_hasLiveRunReported || run == m_runs.back();
    }

    /** Reads the list, or writes it with or without effect and answer. */
    void record()
    {
        if (!m_agent) {
            return;
        }
        if (!m_isRead) {
            m_isRead = true;
            m_agent->earlierRunsRead(m_stored);
            return;
        }
        const auto list = m_agent->listToRecord(false);
        const bool takesEffect = m_random() % 4 != 0;
        if (!list || !takesEffect) {
            return;
        }
        m_stored = *list;
        if (m_random() % 4 != 0) {
            m_agent->runsRecorded(*list);
        }
    }

    void openFlow()
    {
        if (m_agent && m_hasLiveRunReported && m_agent->mayGetNewFlows(m_current)) {
            // The agent may take a delayed report for one of the run that gets the flow.
            m_holdsFlows = m_holdsFlows || m_agent->mayGetNewFlows(m_runs.back());
        }
    }

    std::mt19937_64 m_random;
    std::vector<UpstreamRun> m_runs;
    std::unique_ptr<RunLedger> m_agent;
    ServedRuns m_stored {{}, true};
    UpstreamRun m_current;
    bool m_isRead = false;
    bool m_hasLiveRunReported = false;
    bool m_holdsFlows = false;
    /** The live run holds flows that an earlier process of the agent has handed to it. */
    bool m_holdsEarlierFlows = false;
};

} // namespace

// Guards against the reset of open flows by a list that was not read, and against an agent that shows nothing although
// the store lists every run that was served.
TEST(RunLedgerTest, RunIsUnservedIfTheCompleteListLacksIt)
{
    RunLedger ledger(true);
    ledger.reported(s_second);
    EXPECT_FALSE(ledger.showsUnservedRun());
    ledger.earlierRunsRead({{s_first}, true});
    EXPECT_TRUE(ledger.showsUnservedRun());
    ledger.reported(s_first);
    EXPECT_FALSE(ledger.showsUnservedRun()) << "the run of the earlier process goes on";
    ledger.upstreamRefused();
    ledger.reported(s_second);
    EXPECT_TRUE(ledger.showsUnservedRun()) << "the earlier runs have ended";
    ledger.upstreamRuns();
    EXPECT_FALSE(ledger.showsUnservedRun()) << "the refusal was contradicted";
}

// Guards against an agent that goes on denying flows after its upstream has shown one that the list excludes.
TEST(RunLedgerTest, ContradictionCountsUntilARefusal)
{
    RunLedger ledger(true);
    ledger.earlierRunsRead({{}, true});
    ledger.reported(s_first);
    ledger.contradicted();
    ledger.reported(s_first);
    EXPECT_FALSE(ledger.showsUnservedRun());
    ledger.upstreamRefused();
    ledger.reported(s_second);
    EXPECT_TRUE(ledger.showsUnservedRun());
}

// Guards against an installation without a store, in which no new flow would ever be accepted, or every flow denied.
TEST(RunLedgerTest, WithoutAListEveryRunGetsFlowsAndNothingIsShown)
{
    RunLedger ledger(false);
    ledger.reported(s_first);
    EXPECT_TRUE(ledger.mayGetNewFlows(s_first));
    EXPECT_FALSE(ledger.showsUnservedRun());
    EXPECT_FALSE(ledger.listToRecord(true));
}

// Guards against a list that grows without limit, and against one that still counts as complete after it dropped a run.
TEST(RunLedgerTest, ListThatDropsARunIsIncomplete)
{
    RunLedger ledger(true);
    ledger.earlierRunsRead({{s_first}, true});
    for (std::size_t number = 0; number < s_mostServedRuns - 1; ++number) {
        ledger.reported({"i-" + std::to_string(number), 5000ms});
    }
    EXPECT_TRUE(ledger.listToRecord(false)->isComplete);
    ledger.reported(s_second);
    EXPECT_FALSE(ledger.listToRecord(false)->isComplete);
    EXPECT_EQ(ledger.listToRecord(false)->runs.size(), s_mostServedRuns);
}

// Guards against denials of open flows in orders of kills, starts, reports and store calls that nobody thought of.
TEST(RunLedgerPropertyTest, NoOpenFlowOfAnEarlierProcessIsDenied)
{
    std::size_t shown = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        RandomLife life(seed);
        for (int step = 0; step < 200; ++step) {
            life.step();
            ASSERT_FALSE(life.deniesOpenFlows()) << "seed " << seed << ", step " << step;
            shown += life.showsUnservedRun() ? 1 : 0;
        }
    }
    EXPECT_GT(shown, 10'000U) << "the agents have to know as often as they can";
}

} // namespace samphireswitch::passthrough
