#pragma once

#include <cstddef>

namespace samphireswitch::flow::detail {

/** IP and TCP headers state their length in words of this many bytes (RFC 791, RFC 9293). */
inline constexpr std::size_t s_bytesPerWord = 4;

} // namespace samphireswitch::flow::detail
