#pragma once

#include "base/resultcode.h"
#include "commands/options.h"

#include <ostream>
#include <string>

namespace samphireswitch::commands {

/**
 * Puts the stored plan @p id in force and offers the configuration to the balancers of the options. Returns the exit
 * status: 0 also when balancers do not respond, because they learn the configuration from the store or from peers.
 */
Result<int> runConfirm(const Options &options, const std::string &id, std::ostream &out);

} // namespace samphireswitch::commands
