#include "agent/agentprocess.h"
#include "balancer/balancerprocess.h"
#include "settings/settings.h"

#include <iostream>
#include <string_view>

namespace {

using namespace samphireswitch;

constexpr int s_usageStatus = 2;

int usage()
{
    std::cerr << "usage: samphireswitch balancer|agent SETTINGS.ini\n";
    return s_usageStatus;
}

template<typename Settings, typename Run>
int runProcess(Result<Settings> (*load)(const std::string &), Run run, const std::string &path)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, load(path));
            return run(settings);
        },
        [](const Error &error) {
            std::cerr << resultCodeName(error.code) << " (" << static_cast<int>(error.code) << "): " << error.message
                      << '\n';
            return 1;
        },
        []() { return 1; });
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int argumentCount = 3;
    if (argc != argumentCount) {
        return usage();
    }
    const std::string_view command = argv[1];
    if (command == "balancer") {
        return runProcess(settings::loadBalancerSettings, balancer::runBalancer, argv[2]);
    }
    if (command == "agent") {
        return runProcess(settings::loadAgentSettings, agent::runAgent, argv[2]);
    }
    return usage();
}
