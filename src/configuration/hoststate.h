#pragma once

#include "configuration/servicerecord.h"

#include <optional>
#include <string_view>

namespace samphireswitch::configuration {

/** `active`, `draining` or `stopped`. */
std::string_view hostStateName(HostState state);

/** Nothing for any other text. */
std::optional<HostState> parseHostState(std::string_view text);

} // namespace samphireswitch::configuration
