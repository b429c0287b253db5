#pragma once

#include "base/resultcode.h"
#include "commands/options.h"

#include <ostream>
#include <string>

namespace samphireswitch::commands {

/** Validates a settings or declaration file and prints all problems. Returns the exit status. */
Result<int> runCheck(const Options &options, const std::string &path, std::ostream &out);

} // namespace samphireswitch::commands
