#pragma once

#include "base/resultcode.h"
#include "commands/options.h"

#include <ostream>
#include <string>

namespace samphireswitch::commands {

/** Exit status of `check` if there are errors or it fails; 1 stands for warnings. */
constexpr int s_checkErrorStatus = 2;

/**
 * Validates a settings file or a configuration and prints all problems. A configuration is a declaration file or the
 * document that a platform's store holds; it is compared with the one in force if the flags name it. Returns the exit
 * status: 0 without a problem, 1 if there are warnings, s_checkErrorStatus if there are errors.
 */
Result<int> runCheck(const Options &options, const std::string &path, std::ostream &out);

} // namespace samphireswitch::commands
