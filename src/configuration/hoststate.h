#pragma once

#include "configuration/servicerecord.h"

#include <optional>
#include <string_view>

namespace samphireswitch::configuration {

/** Returns the name of @p state in declaration files: `active`, `draining` or `stopped`. */
std::string_view hostStateName(HostState state);

/** Returns the state with the name @p text as given by hostStateName(), or std::nullopt for any other text. */
std::optional<HostState> parseHostState(std::string_view text);

} // namespace samphireswitch::configuration
