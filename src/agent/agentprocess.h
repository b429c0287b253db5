#pragma once

#include "settings/settings.h"

#include <string>

namespace samphireswitch::agent {

/** Runs an agent until it is told to stop and its last flow has ended. Returns the exit status of the process. */
int runAgent(const settings::AgentSettings &settings, const std::string &path);

} // namespace samphireswitch::agent
