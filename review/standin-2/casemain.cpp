#include "world.h"

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

namespace samphireswitch::review {

namespace {

using std::chrono::milliseconds;

constexpr int s_held = 0;
constexpr int s_broken = 1;
constexpr int s_notRun = 2;

/** Opens @p count flows of @p plan. */
void openFlows(World &world, unsigned count, const FlowPlan &plan)
{
    for (unsigned index = 0; index < count; ++index) {
        world.requesters().open(plan);
    }
}

/** A status report of another writer, for a service that no configuration names, reaches the agent of a host. */
void reportOfAnotherWriter(World &world)
{
    constexpr unsigned reported = 1;
    // Requests are at work at any moment, on flows that are kept open.
    for (unsigned step = 0; step < 40; ++step) {
        world.after(milliseconds(50 * step), [&world] {
            openFlows(world, 2, {World::route(), 60, milliseconds(100)});
        });
    }
    world.after(milliseconds(4000), [&world] {
        if (world.host(reported).openFlows() == 0) {
            world.fail("the host holds no flow");
        }
        if (world.hasTrouble()) {
            world.host(reported).reportForeignService();
        }
    });
    world.after(milliseconds(15000), [&world] { world.finish(); });
}

/**
 * A host is added. A fifth of a second after its start, the process of its agent is killed and started again. Its
 * requesters pause for some seconds. A balancer is added meanwhile, so that most of their next packets reach another
 * balancer than the packets before.
 */
void killAgentOfNewHost(World &world, const HostStart &start)
{
    constexpr unsigned added = 7;
    constexpr unsigned flows = 60;
    world.addMachine(added, milliseconds(100), start);
    world.after(milliseconds(200), [&world] { openFlows(world, flows, {World::route(), 2, milliseconds(7000)}); });
    world.after(milliseconds(320), [&world] {
        if (world.host(added).openFlows() == 0) {
            world.fail("the new host holds no flow");
        }
        if (world.hasTrouble()) {
            world.killAgent(added, milliseconds(50));
        }
    });
    world.after(milliseconds(1500), [&world] { world.addBalancer(4); });
    world.after(milliseconds(12000), [&world] { world.finish(); });
}

/** The host counts its status reports from 0. */
void killAgentOfYoungHost(World &world)
{
    killAgentOfNewHost(world, {});
}

/**
 * The host counts its status reports from 1. The time of day of its machine is 2.4 s ahead when it starts, and right
 * again before its agent is killed.
 */
void killAgentAfterClockStep(World &world)
{
    constexpr milliseconds ahead {2400};
    HostStart start;
    start.firstSequence = 1;
    if (world.hasTrouble()) {
        start.clockAhead = ahead;
        world.after(milliseconds(250), [&world] { world.judge().disturbed("agent-7 (time of day set right)"); });
    }
    killAgentOfNewHost(world, start);
}

using Case = void (*)(World &);

const std::map<std::string, Case> s_cases {{"clock-step", killAgentAfterClockStep},
                                           {"foreign-report", reportOfAnotherWriter},
                                           {"young-host", killAgentOfYoungHost}};

int run(int count, char **arguments)
{
    if (count != 6) {
        std::cerr << "usage: review-case CASE PROGRAM TEMPLATES DIRECTORY RECORD" << std::endl;
        return s_notRun;
    }
    const auto found = s_cases.find(arguments[1]);
    if (found == s_cases.end()) {
        std::cerr << "no such case: " << arguments[1] << std::endl;
        return s_notRun;
    }
    WorldOptions options;
    options.program = arguments[2];
    options.templates = arguments[3];
    options.directory = arguments[4];
    options.record = arguments[5];
    const char *trouble = std::getenv("TROUBLE");
    options.hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    World world(options);
    if (!world.start([&world, action = found->second] { action(world); }) || !world.run()) {
        world.record().write("the case did not come to its end");
        return s_notRun;
    }
    const Requesters &requesters = world.requesters();
    world.record().write("answered " + std::to_string(requesters.answered()) + ", failed "
                         + std::to_string(requesters.unanswered()));
    if (world.hasFailed() || requesters.answered() == 0) {
        return s_notRun;
    }
    return world.judge().isBroken() ? s_broken : s_held;
}

} // namespace

} // namespace samphireswitch::review

int main(int count, char **arguments)
{
    return samphireswitch::review::run(count, arguments);
}
