#pragma once

#include "base/resultcode.h"
#include "commands/options.h"

#include <ostream>

namespace samphireswitch::commands {

/**
 * Prints the events of all processes of the deployment in one order. Returns the exit status: 1 if a process does not
 * respond, because events are missing then.
 */
Result<int> runTimeline(const Options &options, std::ostream &out);

} // namespace samphireswitch::commands
