#pragma once

#include "settings/settings.h"

#include <string>

namespace samphireswitch::agent {

/**
 * Runs an agent until it has to stop and its last flow has ended. The agent has to stop on a termination signal or when
 * the configuration sets its host to stopped. The settings file @p path is not read again while the agent runs.
 * Returns the exit status of the process.
 */
int runAgent(const settings::AgentSettings &settings, const std::string &path);

} // namespace samphireswitch::agent
