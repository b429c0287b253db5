#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace samphireswitch::protocol {

/** The name of the series of @p counter whose label @p label has @p value, as on the metrics page. */
std::string labelledName(std::string_view counter, std::string_view label, std::string_view value);

/** The value of @p label in @p name, which labelledName() returned; nothing for any other counter or label. */
std::optional<std::string> labelValue(std::string_view name, std::string_view counter, std::string_view label);

} // namespace samphireswitch::protocol
