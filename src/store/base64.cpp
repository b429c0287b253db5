#include "store/base64.h"

#include <sodium/utils.h>

namespace samphireswitch::store {

namespace {

constexpr int s_variant = sodium_base64_VARIANT_ORIGINAL;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // The library counts the terminating zero byte, which std::string has anyway.
    std::string text(sodium_base64_encoded_len(bytes.size(), s_variant) - 1, '\0');
    sodium_bin2base64(
        text.data(), text.size() + 1, reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), s_variant);
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    const char *end = nullptr;
    const int status = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                                         bytes.size(),
                                         text.data(),
                                         text.size(),
                                         nullptr,
                                         &size,
                                         &end,
                                         s_variant);
    if (status != 0 || end != text.data() + text.size()) {
        return std::nullopt;
    }
    bytes.resize(size);
    return bytes;
}

} // namespace samphireswitch::store
