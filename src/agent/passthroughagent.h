#pragma once

#include "settings/settings.h"

#include <string>

namespace samphireswitch::agent {

/**
 * Runs an agent with passthrough delivery, whose upstream terminates the callers' connections itself, until SIGTERM or
 * SIGINT. The settings file @p path is read again on SIGHUP and when the file changes. After the stop signal the agent
 * accepts no new flows and waits for unanswered requests, for at most the leave limit of the settings. Returns the exit
 * status of the process.
 */
int runPassthroughAgent(const settings::PassthroughAgentSettings &settings, const std::string &path);

} // namespace samphireswitch::agent
