#include "agent/agentprocess.h"
#include "balancer/balancerprocess.h"
#include "commands/commandline.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    using namespace samphireswitch;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return commands::runCommandLine(arguments, {balancer::runBalancer, agent::runAgent}, std::cout, std::cerr);
}
