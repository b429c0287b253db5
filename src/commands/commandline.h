#pragma once

#include "settings/settings.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace samphireswitch::commands {

/**
 * The functions that run the two kinds of process; each returns the exit status. They also get the path of the settings
 * file, which they read again when it changes.
 */
struct ProcessEntryPoints
{
    std::function<int(const settings::BalancerSettings &, const std::string &path)> runBalancer;
    std::function<int(const settings::AnyAgentSettings &, const std::string &path)> runAgent;
};

/**
 * Whether the command line @p arguments runs a balancer or an agent, which end on a signal. The other commands end by
 * themselves, and a signal has to interrupt them.
 */
bool runsUntilSignal(const std::vector<std::string> &arguments);

/**
 * Runs the program `samphireswitch` with @p arguments, the program's name not included. Returns the exit status: 0 on
 * success, 2 for a wrong command line, 1 for every other failure, with a message that has the result code's number.
 */
int runCommandLine(const std::vector<std::string> &arguments,
                   const ProcessEntryPoints &entryPoints,
                   std::ostream &out,
                   std::ostream &errors);

} // namespace samphireswitch::commands
