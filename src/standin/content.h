#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphireswitch::standin {

/** Which of the two byte streams of a request is meant. They differ so that an echoed upload is no valid answer. */
enum class ContentKind : std::uint64_t { Upload = 1, Answer = 2 };

/**
 * The bytes that a request with a given identity uploads or gets as its answer. Caller and upstream compute them
 * independently and compare every byte, which shows lost, repeated and crossed data.
 */
class Content
{
public:
    Content(std::string_view id, ContentKind kind);

    /** @p size bytes from @p offset on. */
    std::string bytes(std::size_t offset, std::size_t size) const;

    /** Whether @p received equals the bytes from @p offset on. */
    bool matches(std::size_t offset, std::string_view received) const;

private:
    std::uint64_t m_seed;
};

} // namespace samphireswitch::standin
