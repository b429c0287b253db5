#include "standin/content.h"

#include "base/hash.h"

namespace samphireswitch::standin {

namespace {

constexpr std::size_t s_bytesPerHash = sizeof(std::uint64_t);
constexpr std::size_t s_bitsPerByte = 8;

} // namespace

Content::Content(std::string_view id, ContentKind kind)
    : m_seed(hashText(id, static_cast<std::uint64_t>(kind)))
{
}

std::string Content::bytes(std::size_t offset, std::size_t size) const
{
    std::string result;
    result.reserve(size);
    std::uint64_t block = 0;
    for (std::size_t position = offset; position < offset + size; ++position) {
        if (position == offset || position % s_bytesPerHash == 0) {
            block = mixHash(m_seed, position / s_bytesPerHash);
        }
        result.push_back(static_cast<char>(block >> (position % s_bytesPerHash * s_bitsPerByte)));
    }
    return result;
}

bool Content::matches(std::size_t offset, std::string_view received) const
{
    return bytes(offset, received.size()) == received;
}

} // namespace samphireswitch::standin
