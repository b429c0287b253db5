#pragma once

#include "base/resultcode.h"
#include "commands/options.h"

#include <ostream>
#include <string>

namespace samphireswitch::commands {

/**
 * Compares the declaration file @p path with the configuration in force, prints the plan and stores it. Returns the
 * exit status: 1 if the plan is refused.
 */
Result<int> runPlan(const Options &options, const std::string &path, std::ostream &out);

} // namespace samphireswitch::commands
