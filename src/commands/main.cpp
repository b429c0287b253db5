#include "agent/agentprocess.h"
#include "agent/passthroughagent.h"
#include "balancer/balancerprocess.h"
#include "base/memorylimits.h"
#include "commands/commandline.h"
#include "control/processcontrol.h"

#include <iostream>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace samphireswitch;

struct AgentRunner
{
    const std::string &path;

    int operator()(const settings::AgentSettings &settings) const
    {
        return agent::runAgent(settings, path);
    }

    int operator()(const settings::PassthroughAgentSettings &settings) const
    {
        return agent::runPassthroughAgent(settings, path);
    }
};

int runAnyAgent(const settings::AnyAgentSettings &settings, const std::string &path)
{
    return std::visit(AgentRunner {path}, settings);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (commands::runsUntilSignal(arguments)) {
        // Before the settings are read: a signal that arrives during the start is handled once the process runs.
        control::blockSignals();
        prepareForMemoryLimits();
    }
    return commands::runCommandLine(arguments, {balancer::runBalancer, runAnyAgent}, std::cout, std::cerr);
}
