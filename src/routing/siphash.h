#pragma once

#include <sodium/crypto_shorthash.h>

#include <array>
#include <bit>
#include <cstdint>
#include <cstring>

namespace samphireswitch::routing {

/** Secret 128-bit key for SipHash. */
struct SipHashKey
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

/**
 * Returns the SipHash-2-4 of a 15-byte message: the 8 little-endian bytes of @p word, followed by the low 7 bytes of
 * @p tail. An attacker without the key cannot choose inputs that collide.
 */
inline std::uint64_t sipHash15(const SipHashKey &key, std::uint64_t word, std::uint64_t tail)
{
    static_assert(std::endian::native == std::endian::little);
    static_assert(sizeof(SipHashKey) == crypto_shorthash_KEYBYTES);
    constexpr std::size_t messageSize = 15;
    std::array<unsigned char, sizeof(word) + sizeof(tail)> message {};
    std::memcpy(message.data(), &word, sizeof(word));
    std::memcpy(message.data() + sizeof(word), &tail, sizeof(tail));
    std::uint64_t hash = 0;
    static_assert(sizeof(hash) == crypto_shorthash_BYTES);
    crypto_shorthash(reinterpret_cast<unsigned char *>(&hash),
                     message.data(),
                     messageSize,
                     reinterpret_cast<const unsigned char *>(&key));
    return hash;
}

} // namespace samphireswitch::routing
