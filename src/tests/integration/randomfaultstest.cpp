#include "base/time.h"
#include "tests/integration/integrationtest.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <thread>

namespace samphireswitch::tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds s_faultPeriod {20000};
constexpr milliseconds s_callerDuration {24000};
constexpr int s_faults = 8;
constexpr int s_feeds = 40;

enum class FaultKind { KillBalancer, FreezeBalancer, CutBalancer, DisturbPackets, FreezeAgent, FreezeStore, DrainHost };

const std::map<FaultKind, const char *> s_faultNames {{FaultKind::KillBalancer, "kill and restart"},
                                                      {FaultKind::FreezeBalancer, "freeze"},
                                                      {FaultKind::CutBalancer, "cut the fabric from"},
                                                      {FaultKind::DisturbPackets, "disturb packets to"},
                                                      {FaultKind::FreezeAgent, "freeze"},
                                                      {FaultKind::FreezeStore, "freeze"},
                                                      {FaultKind::DrainHost, "drain"}};

/** A fault from @c begin to @c end; times are from the start of the load. */
struct PlannedFault
{
    FaultKind kind = FaultKind::KillBalancer;
    std::string target;
    milliseconds begin {0};
    milliseconds end {0};
};

/** Draws the faults of a run. Faults of the same target do not overlap. */
std::vector<PlannedFault> drawFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<PlannedFault> faults;
    std::map<std::string, milliseconds> freeFrom;
    while (faults.size() < s_faults) {
        PlannedFault fault;
        fault.kind = static_cast<FaultKind>(random() % s_faultNames.size());
        const std::string balancer = "balancer-" + std::to_string(1 + random() % 3);
        const std::string host = "a" + std::to_string(1 + random() % 4);
        switch (fault.kind) {
        case FaultKind::FreezeAgent:
            fault.target = "agent-" + host;
            break;
        case FaultKind::DrainHost:
            // Declarations name a single drained host, so that at most one is drained at a time.
            fault.target = "host";
            break;
        case FaultKind::FreezeStore:
            fault.target = "store";
            break;
        default:
            fault.target = balancer;
        }
        constexpr std::uint64_t shortest = 300;
        constexpr std::uint64_t spread = 2700;
        fault.begin = milliseconds(random() % s_faultPeriod.count());
        fault.end = fault.begin + milliseconds(shortest + random() % spread);
        const milliseconds free = freeFrom[fault.target];
        if (fault.begin < free) {
            const milliseconds shift = free - fault.begin;
            fault.begin += shift;
            fault.end += shift;
        }
        freeFrom[fault.target] = fault.end + milliseconds(shortest);
        if (fault.kind == FaultKind::DrainHost) {
            fault.target = host;
        }
        faults.push_back(fault);
    }
    return faults;
}

/** Seeds that CI runs, or the single one of the environment variable SAMPHIRESWITCH_SEED. */
std::vector<std::uint64_t> seeds()
{
    const char *seed = std::getenv("SAMPHIRESWITCH_SEED");
    if (seed != nullptr) {
        return {std::strtoull(seed, nullptr, 10)};
    }
    // Seed 21 found handshakes that the TCP stack gave up too early.
    return {1, 2, 21};
}

} // namespace

class RandomFaultsTest : public IntegrationTest, public testing::WithParamInterface<std::uint64_t>
{
protected:
    void begin(const PlannedFault &fault)
    {
        switch (fault.kind) {
        case FaultKind::KillBalancer:
            deployment().killProcess(fault.target);
            return;
        case FaultKind::FreezeBalancer:
        case FaultKind::FreezeAgent:
        case FaultKind::FreezeStore:
            deployment().process(fault.target).signal(SIGSTOP);
            return;
        case FaultKind::CutBalancer:
            deployment().control("proxy-" + fault.target, "cut to");
            return;
        case FaultKind::DisturbPackets:
            for (const char *command : {"drop 0.02", "duplicate 0.1 50", "reorder 0.1 20", "delay 1 4"}) {
                deployment().control("proxy-" + fault.target, command);
            }
            return;
        case FaultKind::DrainHost:
            tryApply(declaration({{fault.target, "draining"}}));
            return;
        }
    }

    void end(const PlannedFault &fault)
    {
        switch (fault.kind) {
        case FaultKind::KillBalancer:
            restartBalancer(fault.target);
            return;
        case FaultKind::FreezeBalancer:
        case FaultKind::FreezeAgent:
        case FaultKind::FreezeStore:
            deployment().process(fault.target).signal(SIGCONT);
            return;
        case FaultKind::CutBalancer:
        case FaultKind::DisturbPackets:
            deployment().control("proxy-" + fault.target, "heal");
            return;
        case FaultKind::DrainHost:
            tryApply(declaration());
            return;
        }
    }

    /** The store may be frozen; then the change is not made. */
    void tryApply(const std::string &text)
    {
        try {
            deployment().apply(text);
        } catch (const std::runtime_error &error) {
            std::cout << "  no change of the configuration: " << error.what() << std::endl;
        }
    }

    void restartBalancer(const std::string &name)
    {
        deployment().startBalancer(std::stoi(name.substr(name.rfind('-') + 1)));
        std::vector<int> running;
        for (int number = 1; number <= deployment().balancerCount(); ++number) {
            if (deployment().process("balancer-" + std::to_string(number)).isRunning()) {
                running.push_back(number);
            }
        }
        deployment().sprayOver(running);
    }

    void runFaults(const std::vector<PlannedFault> &faults)
    {
        std::multimap<milliseconds, std::pair<bool, const PlannedFault *>> steps;
        for (const PlannedFault &fault : faults) {
            steps.emplace(fault.begin, std::pair(true, &fault));
            steps.emplace(fault.end, std::pair(false, &fault));
        }
        const TimePoint start = Clock::now();
        for (const auto &[time, step] : steps) {
            std::this_thread::sleep_until(start + time);
            const auto &[isBegin, fault] = step;
            if (isBegin) {
                begin(*fault);
            } else {
                end(*fault);
            }
        }
    }
};

// Guards against combinations of failures that no other test has: checks all guarantees after several random faults.
// Another seed: SAMPHIRESWITCH_SEED=N; many seeds: tools/faults FIRST COUNT.
TEST_P(RandomFaultsTest, GuaranteesHold)
{
    const std::vector<PlannedFault> faults = drawFaults(GetParam());
    std::cout << "seed " << GetParam() << std::endl;
    for (const PlannedFault &fault : faults) {
        std::cout << "  " << fault.begin.count() << " to " << fault.end.count()
                  << " ms: " << s_faultNames.at(fault.kind) << " " << fault.target << std::endl;
    }
    startServing(GetParam());
    holdFeeds(s_feeds, std::chrono::minutes(10));
    const std::string duration = "--duration_ms=" + std::to_string(s_callerDuration.count());
    deployment().startCaller("alpha", "alpha", {duration, "--rate=70", "--work_ms=50", "--timeout_ms=40000"});
    deployment().startCaller(
        "beta", "beta", {duration, "--rate=20", "--work_ms=50", "--straggler_share=0.02", "--timeout_ms=40000"});
    runFaults(faults);
    waitForCaller("alpha");
    waitForCaller("beta");
    deployment().process("caller-feeds").signal(SIGTERM);
    waitForCaller("feeds");
    expectGuarantees();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultsTest, testing::ValuesIn(seeds()));

} // namespace samphireswitch::tests
