#include "tests/integration/integrationtest.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

namespace samphireswitch::tests {

namespace {

using standin::Deployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Limits for waiting only; a test goes on as soon as its condition holds.
constexpr seconds s_limit {60};
constexpr seconds s_untilStopped {600};
constexpr int s_feeds = 60;
// All requests of a test that is about something else than lost requests.
constexpr std::uint64_t s_anyNumber = std::numeric_limits<std::uint32_t>::max();

const std::vector<std::string> s_steadyLoad {"--rate=80", "--work_ms=50", "--duration_ms=8000", "--timeout_ms=30000"};

std::vector<std::string> operator+(std::vector<std::string> first, const std::vector<std::string> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

class GuaranteeTest : public IntegrationTest
{
protected:
    /** Waits until every feed got some more lines; fails if one is broken or stalled. */
    void expectFeedsGoOn(const std::string &after)
    {
        constexpr std::int64_t moreLines = 10;
        const std::int64_t before = progress("feeds")["least_feed_lines"].to_number<std::int64_t>();
        EXPECT_TRUE(Deployment::waitUntil(
            [&] { return progress("feeds")["least_feed_lines"].to_number<std::int64_t>() >= before + moreLines; },
            s_limit))
            << "a feed stalled after " << after;
        EXPECT_EQ(progress("feeds")["feeds_held"], s_feeds) << after;
    }

    void endFeeds()
    {
        deployment().process("caller-feeds").signal(SIGTERM);
        waitForCaller("feeds");
    }

    void waitUntilInForce(Generation generation)
    {
        EXPECT_TRUE(Deployment::waitUntil(
            [&] {
                observeGenerations();
                return deployment().isInForce(generation);
            },
            s_limit))
            << "generation " << generation << " is not in force on all balancers";
    }

    /** Compares each balancer's generation with the one that it had before. */
    void observeGenerations()
    {
        for (int number = 1; number <= deployment().balancerCount(); ++number) {
            const std::string name = "balancer-" + std::to_string(number);
            const double generation = deployment().metric(name, "configuration_generation").value_or(0);
            if (generation == 0) {
                continue;
            }
            EXPECT_GE(generation, m_generations[name]) << name << " reverted to an older configuration";
            m_generations[name] = generation;
        }
    }

    /**
     * When the last of the requests that @p host ran was started by its caller, in microseconds. A request that was
     * accepted in time may begin later, because its first data was delayed in the network.
     */
    std::int64_t lastStartOf(const std::string &host)
    {
        std::set<std::string> executed;
        for (const boost::json::object &line : deployment().journalLines("upstream-" + host)) {
            if (line.at("kind") == "begin") {
                executed.emplace(line.at("id").as_string());
            }
        }
        std::int64_t last = 0;
        for (const boost::json::object &line : deployment().journalLines("caller-load")) {
            if (line.at("kind") != "request" || !executed.contains(std::string(line.at("id").as_string()))) {
                continue;
            }
            const std::int64_t ended = line.at("time_us").to_number<std::int64_t>();
            last = std::max(last, ended - line.at("latency_us").to_number<std::int64_t>());
        }
        return last;
    }

    /** Repeats a plan that is refused until its condition, as the time since an address was given up, holds. */
    void waitUntilApplied(const std::string &text)
    {
        std::string refusal;
        const auto tryApply = [&] {
            try {
                deployment().apply(text);
                return true;
            } catch (const std::runtime_error &error) {
                refusal = error.what();
                return false;
            }
        };
        ASSERT_TRUE(Deployment::waitUntil(tryApply, s_limit)) << refusal;
    }

    /** When a process wrote the last line of an event, as the time of its day; nothing if it did not. */
    std::optional<std::chrono::microseconds> timeOfEvent(const std::string &process, const std::string &event)
    {
        std::istringstream output(deployment().process(process).output());
        std::optional<std::chrono::microseconds> time;
        for (std::string line; std::getline(output, line);) {
            int hours = 0;
            int minutes = 0;
            double inMinute = 0;
            const bool isEvent = line.find("\"event\":\"" + event + '"') != std::string::npos;
            const std::size_t clock = line.find('T');
            if (!isEvent || clock == std::string::npos
                || std::sscanf(line.c_str() + clock, "T%2d:%2d:%lf", &hours, &minutes, &inMinute) != 3) {
                continue;
            }
            const std::chrono::duration<double> inDay =
                std::chrono::hours(hours) + std::chrono::minutes(minutes) + std::chrono::duration<double>(inMinute);
            time = std::chrono::duration_cast<std::chrono::microseconds>(inDay);
        }
        return time;
    }

    void replaceBalancer(int number)
    {
        const std::string name = "balancer-" + std::to_string(number);
        std::vector<int> all;
        std::vector<int> others;
        for (int other = 1; other <= deployment().balancerCount(); ++other) {
            all.push_back(other);
            if (other != number) {
                others.push_back(other);
            }
        }
        deployment().process(name).signal(SIGTERM);
        deployment().sprayOver(others);
        ASSERT_TRUE(deployment().process(name).wait(s_limit).has_value()) << name << " did not exit on SIGTERM";
        deployment().startBalancer(number);
        ASSERT_TRUE(Deployment::waitUntil(
            [&] { return deployment().metric(name, "configuration_generation").value_or(0) > 0; }, s_limit));
        deployment().sprayOver(all);
    }

private:
    std::map<std::string, double> m_generations;
};

// Guarantee 5. Guards against a request that two agents execute because its first packet was duplicated, delivered late
// and through balancers with different views of the agents, or because its agent was frozen and resumed.
TEST_F(GuaranteeTest, RequestRunsAtMostOnce)
{
    startServing();
    for (const char *proxy : {"proxy-balancer-1", "proxy-balancer-2", "proxy-balancer-3"}) {
        deployment().control(proxy, "first-packets on");
        deployment().control(proxy, "duplicate 1 40");
        deployment().control(proxy, "reorder 0.3 300");
    }
    deployment().startCaller("load", "alpha", s_steadyLoad + std::vector<std::string> {"--duration_ms=12000"});
    for (const char *agent : {"agent-a1", "agent-a2"}) {
        deployment().process(agent).signal(SIGSTOP);
        // Longer than the time until a silent agent gets no new work, so that other agents take its flows over.
        std::this_thread::sleep_for(seconds(3));
        deployment().process(agent).signal(SIGCONT);
    }
    waitForCaller("load");
    double ceded = 0;
    for (const char *agent : {"agent-a1", "agent-a2", "agent-a3", "agent-a4"}) {
        ceded += deployment().metric(agent, "flows_ceded_total").value_or(0);
    }
    std::cout << "flows that an agent accepted and ceded: " << ceded << std::endl;
    EXPECT_GT(ceded, 0) << "no first packet was accepted in vain, so the test showed nothing";
    expectGuarantees();
}

// Guarantee 1. Guards against feeds that break when balancers are replaced one after another, when hosts are added,
// drained and stopped in five changes of the configuration, when a balancer misses a change, and when all balancers but
// one die.
TEST_F(GuaranteeTest, FeedsSurvivePlannedChangesAndLossOfBalancers)
{
    startServing();
    holdFeeds(s_feeds, s_untilStopped);
    for (int number = 1; number <= deployment().balancerCount(); ++number) {
        replaceBalancer(number);
        expectFeedsGoOn("the replacement of balancer " + std::to_string(number));
    }
    for (const HostStates &states : {HostStates {{"a1", "draining"}},
                                     HostStates {{"a1", "draining"}, {"a2", "draining"}},
                                     HostStates {{"a4", "stopped"}},
                                     HostStates {}}) {
        deployment().process("balancer-3").signal(SIGSTOP);
        deployment().apply(declaration(states));
        deployment().process("balancer-3").signal(SIGCONT);
        expectFeedsGoOn("a change of the configuration");
    }
    deployment().apply(declaration() + "[host a5]\nservice = alpha\nfailure_domain = domain-1\nstate = active\n");
    deployment().startUpstream("a5");
    deployment().startAgent("a5");
    expectFeedsGoOn("an additional host");
    deployment().killProcess("balancer-1");
    deployment().killProcess("balancer-2");
    expectFeedsGoOn("the death of all balancers but one");
    endFeeds();
    expectGuarantees();
}

// Guarantee 8. Guards against a balancer that misses a confirmed configuration or reverts to an older one: when the
// store's answer to the confirmation is lost, when the store stops right after the confirmation, and when a balancer is
// frozen or restarted in the meantime.
TEST_F(GuaranteeTest, ConfirmedConfigurationIsInForceEverywhereAndNeverReverts)
{
    startServing();
    waitUntilInForce(1);

    deployment().apply(declaration({{"a1", "draining"}}));
    waitUntilInForce(2);

    const std::string plan = deployment().plan(declaration());
    deployment().setStoreFaults(R"({"drop_answers": 1})");
    deployment().confirm(plan);
    const standin::CommandResult repeated = deployment().confirm(plan);
    EXPECT_EQ(repeated.status, 0) << repeated.output;
    waitUntilInForce(3);

    deployment().apply(declaration({{"a2", "draining"}}));
    deployment().process("store").signal(SIGSTOP);
    waitUntilInForce(4);
    replaceBalancer(2);
    waitUntilInForce(4);
    deployment().process("store").signal(SIGCONT);

    deployment().process("balancer-3").signal(SIGSTOP);
    deployment().apply(declaration({{"a2", "draining"}, {"a3", "draining"}}));
    deployment().process("balancer-3").signal(SIGCONT);
    waitUntilInForce(5);

    deployment().apply(declaration());
    waitUntilInForce(6);
    observeGenerations();
    deployment().startCaller("load", "alpha", s_steadyLoad + std::vector<std::string> {"--duration_ms=2000"});
    waitForCaller("load");
    expectGuarantees();
}

// Guarantee 4. Guards against a refusal of a request that an upstream executes all the same: under overload, with
// duplicated and late first packets, and with an upstream that does not accept connections.
TEST_F(GuaranteeTest, RefusedRequestsWereNotRun)
{
    startServing();
    deployment().startUpstream("a1", {"--closed_port"});
    for (const char *proxy : {"proxy-balancer-1", "proxy-balancer-2", "proxy-balancer-3"}) {
        deployment().control(proxy, "first-packets on");
        deployment().control(proxy, "duplicate 0.5 200");
        deployment().control(proxy, "reorder 0.2 100");
    }
    deployment().startCaller("load", "alpha", s_steadyLoad + std::vector<std::string> {"--rate=400"});
    waitForCaller("load");
    expectGuarantees({.lost = s_anyNumber});
    EXPECT_GT(deployment().checkJournals({}).at("refused").to_number<int>(), 0) << "the test refused nothing";
}

// Guarantee 6. Guards against a drain that depends on the store or on every balancer: the store stops right after the
// confirmation, and one balancer misses it and goes on with the former configuration.
TEST_F(GuaranteeTest, DrainedHostGetsNoNewWorkWhileStoreIsUnavailable)
{
    constexpr std::int64_t limitMicroseconds = 3'000'000;
    startServing();
    deployment().startCaller("load", "alpha", s_steadyLoad + std::vector<std::string> {"--duration_ms=20000"});
    ASSERT_TRUE(Deployment::waitUntil([&] { return beginTimes("a1").size() > 20; }, s_limit));
    const std::string plan = deployment().plan(declaration({{"a1", "draining"}}));
    deployment().process("balancer-1").signal(SIGSTOP);
    const std::int64_t confirmed = wallClockMicroseconds();
    deployment().confirm(plan);
    deployment().process("store").signal(SIGSTOP);
    deployment().process("balancer-1").signal(SIGCONT);
    waitForCaller("load");
    const std::int64_t last = lastStartOf("a1");
    std::cout << "last request that the drained host ran was started " << (last - confirmed) / 1000
              << " ms after the confirmation\n";
    EXPECT_LT(last, confirmed + limitMicroseconds);
    EXPECT_GT(beginTimes("a2").back(), confirmed + limitMicroseconds) << "the load ended too early";
    expectGuarantees();
}

// Guarantee 7. Guards against a planned stop that interrupts stragglers or uploads, and against one that never ends.
TEST_F(GuaranteeTest, PlannedStopInterruptsNoRequest)
{
    startServing();
    deployment().startCaller("load",
                             "alpha",
                             s_steadyLoad
                                 + std::vector<std::string> {"--rate=40",
                                                             "--duration_ms=10000",
                                                             "--straggler_share=0.05",
                                                             "--straggler_factor=50",
                                                             "--upload_share=0.3",
                                                             "--upload_bytes=100000"});
    ASSERT_TRUE(Deployment::waitUntil([&] { return beginTimes("a1").size() > 10; }, s_limit));
    deployment().apply(declaration({{"a1", "stopped"}}));
    deployment().process("agent-a2").signal(SIGTERM);
    for (const char *agent : {"agent-a1", "agent-a2"}) {
        const auto status = deployment().process(agent).wait(s_limit);
        ASSERT_TRUE(status.has_value()) << agent << " did not end";
        EXPECT_EQ(*status, 0) << agent;
    }
    waitForCaller("load");
    expectGuarantees();
}

// Guarantee 7. Guards against a balancer that stops to forward and then waits for its last call to the store: the
// fabric, which has fewer balancers left meanwhile, hands it packets again, and they are lost.
TEST_F(GuaranteeTest, StoppingBalancerForwardsUntilItEnds)
{
    startServing();
    // The gap that the failure makes is as long as what is left of a pending watch, so that some stops are needed.
    constexpr milliseconds longestGap {300};
    for (int number = 1; number <= 3; ++number) {
        const std::string name = "balancer-" + std::to_string(number);
        deployment().process(name).signal(SIGTERM);
        ASSERT_EQ(deployment().process(name).wait(s_limit), 0) << name;
        const auto forwarded = timeOfEvent(name, "forwarding-ended");
        const auto stopped = timeOfEvent(name, "stopped");
        ASSERT_TRUE(forwarded && stopped) << name;
        EXPECT_LT(*stopped - *forwarded, longestGap) << name;
    }
}

// Guarantee 2. Guards against packets that reach another service after its address was reused: an agent of the old
// service that was frozen in the meantime still holds flows with the same addresses and ports, and sends their answers.
TEST_F(GuaranteeTest, PacketsNeverReachAnotherService)
{
    const std::vector<std::string> reusedPorts {"--address=10.9.1.1", "--first_port=50000", "--port_count=400"};
    startServing();
    deployment().startCaller(
        "probe-stale", "alpha", reusedPorts + std::vector<std::string> {"--rate=20", "--work_ms=3000", "--fixed_work"});
    ASSERT_TRUE(
        Deployment::waitUntil([&] { return deployment().metric("agent-a1", "slots_busy").value_or(0) >= 2; }, s_limit));
    deployment().process("agent-a1").signal(SIGSTOP);
    deployment().process("caller-probe-stale").kill();

    const HostStates stopped {{"a1", "stopped"}, {"a2", "stopped"}, {"a3", "stopped"}, {"a4", "stopped"}};
    std::string moved = declaration(stopped);
    moved.replace(moved.find("10.21.0.1"), std::string("10.21.0.1").size(), "10.21.0.9");
    const std::string reused = moved
        + "[service gamma]\naddress = 10.21.0.1\nrequest_port = 8001\nidempotent = false\ndeadline_ms = 2000\n"
          "slots = 2\nconnections = 500\n\n"
          "[host c1]\nservice = gamma\nfailure_domain = domain-1\nstate = active\n";
    EXPECT_THROW(deployment().apply(moved), std::runtime_error) << "the address of a service with flows changed";
    for (const char *agent : {"agent-a2", "agent-a3", "agent-a4"}) {
        deployment().killProcess(agent);
    }
    deployment().apply(declaration(stopped), {"--close=alpha"});
    waitUntilApplied(moved);
    EXPECT_THROW(deployment().apply(reused), std::runtime_error) << "the address was reused at once";
    waitUntilApplied(reused);

    deployment().startUpstream("c1");
    deployment().startAgent("c1");
    deployment().process("agent-a1").signal(SIGCONT);
    deployment().waitUntilServing("gamma", s_limit);
    deployment().startCaller("gamma", "gamma", s_steadyLoad + reusedPorts + std::vector<std::string> {"--rate=20"});
    waitForCaller("gamma");
    expectGuarantees();
    EXPECT_GT(progress("gamma")["answered"].to_number<int>(), 0);
    for (const boost::json::object &line : deployment().journalLines("upstream-a")) {
        const bool isRequest = line.at("kind") == "begin" || line.at("kind") == "shed";
        EXPECT_FALSE(isRequest && line.at("id").as_string().starts_with("gamma-")) << line.at("id");
    }
}

// Guarantee 3. Guards against answers that are cut, mixed with those of other callers or delivered to the wrong one,
// when packets in both directions are lost, repeated, delayed and reordered.
TEST_F(GuaranteeTest, AnswersAreCompleteAndTheCallersOwn)
{
    startServing();
    for (const char *proxy : {"proxy-balancer-1", "proxy-balancer-2", "proxy-balancer-3", "proxy-fabric"}) {
        deployment().control(proxy, "drop 0.005");
        deployment().control(proxy, "duplicate 0.05 15");
        deployment().control(proxy, "reorder 0.05 15");
        deployment().control(proxy, "delay 1 3");
    }
    const std::vector<std::string> load {
        "--rate=25", "--answer_bytes=60000", "--upload_share=0.5", "--upload_bytes=30000"};
    deployment().startCaller("first", "alpha", s_steadyLoad + load);
    deployment().startCaller("second", "alpha", s_steadyLoad + load);
    deployment().startCaller("third", "beta", s_steadyLoad + load + std::vector<std::string> {"--rate=10"});
    for (const char *caller : {"first", "second", "third"}) {
        waitForCaller(caller);
    }
    expectGuarantees();
}

} // namespace samphireswitch::tests
