#pragma once

#include "base/resultcode.h"

#include <ostream>
#include <string>
#include <vector>

namespace samphireswitch::commands {

/**
 * Replays the traces in @p files and prints the violations, or counts if there are none. Returns the exit status: 1 if
 * there are violations.
 */
Result<int> runReplay(const std::vector<std::string> &files, std::ostream &out);

} // namespace samphireswitch::commands
