#include "base/hash.h"

#include <xxhash.h>

namespace samphireswitch {

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return hashBytes(text.data(), text.size(), seed);
}

std::uint64_t hashBytes(const void *data, std::size_t size, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

} // namespace samphireswitch
