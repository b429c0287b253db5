#pragma once

#include <bit>
#include <cstdint>

namespace samphireswitch::routing {

/** Secret key of a SipHash. */
struct SipHashKey
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

namespace detail {

struct SipHashState
{
    std::uint64_t v0;
    std::uint64_t v1;
    std::uint64_t v2;
    std::uint64_t v3;

    constexpr void round()
    {
        v0 += v1;
        v1 = std::rotl(v1, 13) ^ v0;
        v0 = std::rotl(v0, 32);
        v2 += v3;
        v3 = std::rotl(v3, 16) ^ v2;
        v0 += v3;
        v3 = std::rotl(v3, 21) ^ v0;
        v2 += v1;
        v1 = std::rotl(v1, 17) ^ v2;
        v2 = std::rotl(v2, 32);
    }

    constexpr void compress(std::uint64_t word)
    {
        v3 ^= word;
        round();
        round();
        v0 ^= word;
    }
};

} // namespace detail

/**
 * SipHash-2-4 of the 15-byte message whose little-endian bytes are @p word and the low 7 bytes of @p tail. Without the
 * key, nobody can choose inputs that collide. (Aumasson and Bernstein, "SipHash: a fast short-input PRF", 2012.)
 */
constexpr std::uint64_t sipHash15(const SipHashKey &key, std::uint64_t word, std::uint64_t tail)
{
    constexpr std::uint64_t messageSize = 15;
    detail::SipHashState state {key.first ^ 0x736f6d6570736575ULL,
                                key.second ^ 0x646f72616e646f6dULL,
                                key.first ^ 0x6c7967656e657261ULL,
                                key.second ^ 0x7465646279746573ULL};
    state.compress(word);
    state.compress((messageSize << 56U) | (tail & 0x00ffffffffffffffULL));
    state.v2 ^= 0xffU;
    state.round();
    state.round();
    state.round();
    state.round();
    return state.v0 ^ state.v1 ^ state.v2 ^ state.v3;
}

} // namespace samphireswitch::routing
