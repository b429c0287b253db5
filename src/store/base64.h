#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace samphireswitch::store {

/** Base64 with padding (RFC 4648, section 4). */
std::string encodeBase64(std::string_view bytes);

/** Nothing for text that is not padded base64. */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace samphireswitch::store
