#pragma once

#include <cstddef>

namespace samphireswitch::flow::detail {

/** Size in bytes of the 32-bit words in which IPv4 and TCP headers give their own length (RFC 791, RFC 9293). */
inline constexpr std::size_t s_bytesPerWord = 4;

} // namespace samphireswitch::flow::detail
