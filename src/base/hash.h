#pragma once

#include <cstdint>
#include <string_view>

namespace samphireswitch {

/** 64-bit hash (XXH3) of @p text with @p seed. */
std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

/** 64-bit hash (XXH3) of @p size bytes at @p data with @p seed. */
std::uint64_t hashBytes(const void *data, std::size_t size, std::uint64_t seed);

/** Mixes two 64-bit values into one. Used where a keyed byte hash would be too slow, as in rendezvous hashing. */
constexpr std::uint64_t mixHash(std::uint64_t first, std::uint64_t second)
{
    // The finalizer of SplitMix64, which passes avalanche tests on sequential input.
    std::uint64_t value = first ^ (second + 0x9e3779b97f4a7c15ULL + (first << 6U) + (first >> 2U));
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace samphireswitch
