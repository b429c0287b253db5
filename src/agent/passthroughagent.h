#pragma once

#include "settings/settings.h"

#include <string>

namespace samphireswitch::agent {

/**
 * Runs an agent whose upstream ends the callers' connections itself, until SIGTERM or SIGINT. The settings file @p path
 * is read again on SIGHUP and when it changes. Returns the exit status of the process.
 */
int runPassthroughAgent(const settings::PassthroughAgentSettings &settings, const std::string &path);

} // namespace samphireswitch::agent
