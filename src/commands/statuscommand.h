#pragma once

#include "base/resultcode.h"
#include "commands/options.h"

#include <ostream>

namespace samphireswitch::commands {

/** Prints the state of every process of the deployment. Returns the exit status: 1 if a process does not respond. */
Result<int> runStatus(const Options &options, std::ostream &out);

} // namespace samphireswitch::commands
