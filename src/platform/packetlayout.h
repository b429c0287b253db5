#pragma once

#include <cstddef>

/** Where the fields of the platform's packet stand in its header, in bytes, and the flags. PROTOCOL.md, section
 * Packets. */
namespace samphireswitch::platform::detail {

constexpr std::size_t s_lengthOffset = 4;
constexpr std::size_t s_sequenceOffset = 6;
constexpr std::size_t s_acknowledgementOffset = 10;
constexpr std::size_t s_destinationAddressOffset = 14;
constexpr std::size_t s_sourceAddressOffset = 18;
constexpr std::size_t s_sourcePortOffset = 22;
constexpr std::size_t s_destinationPortOffset = 24;
constexpr std::size_t s_echoOffset = 26;
constexpr std::size_t s_flagsOffset = 30;
constexpr std::size_t s_padOffset = 31;

constexpr unsigned s_bounced = 1;
constexpr unsigned s_syn = 2;
constexpr unsigned s_rst = 4;
constexpr unsigned s_fin = 8;
constexpr unsigned s_ack = 32;

} // namespace samphireswitch::platform::detail
