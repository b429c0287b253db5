#include "store/base64.h"

#include <array>
#include <cstdint>

namespace samphireswitch::store {

namespace {

constexpr std::string_view s_alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t s_bytesPerGroup = 3;
constexpr std::size_t s_digitsPerGroup = 4;
constexpr unsigned s_bitsPerDigit = 6;
constexpr unsigned s_bitsPerByte = 8;
constexpr unsigned s_digitMask = 0x3f;

constexpr std::array<std::int8_t, 256> makeDecodeTable()
{
    std::array<std::int8_t, 256> table {};
    table.fill(-1);
    for (std::size_t digit = 0; digit < s_alphabet.size(); ++digit) {
        table[static_cast<unsigned char>(s_alphabet[digit])] = static_cast<std::int8_t>(digit);
    }
    return table;
}

constexpr auto s_decodeTable = makeDecodeTable();

/** Appends the first @p count of the three bytes that @p group holds. */
void appendBytes(std::uint32_t group, std::size_t count, std::string &bytes)
{
    for (std::size_t index = 0; index < count; ++index) {
        const auto shift = static_cast<unsigned>((s_bytesPerGroup - 1 - index) * s_bitsPerByte);
        bytes += static_cast<char>(group >> shift);
    }
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + s_bytesPerGroup - 1) / s_bytesPerGroup * s_digitsPerGroup);
    for (std::size_t start = 0; start < bytes.size(); start += s_bytesPerGroup) {
        const auto part = bytes.substr(start, s_bytesPerGroup);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < s_bytesPerGroup; ++index) {
            group = (group << s_bitsPerByte) | (index < part.size() ? static_cast<unsigned char>(part[index]) : 0U);
        }
        for (std::size_t digit = 0; digit < s_digitsPerGroup; ++digit) {
            const auto shift = static_cast<unsigned>((s_digitsPerGroup - 1 - digit) * s_bitsPerDigit);
            text += digit <= part.size() ? s_alphabet[(group >> shift) & s_digitMask] : '=';
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % s_digitsPerGroup != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / s_digitsPerGroup * s_bytesPerGroup);
    while (!text.empty()) {
        std::string_view digits = text.substr(0, s_digitsPerGroup);
        text.remove_prefix(s_digitsPerGroup);
        std::size_t padding = 0;
        // Only the last group may be padded.
        while (text.empty() && padding < 2 && digits[s_digitsPerGroup - 1 - padding] == '=') {
            ++padding;
        }
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < s_digitsPerGroup; ++index) {
            const bool isPadding = index >= s_digitsPerGroup - padding;
            const int digit = isPadding ? 0 : s_decodeTable[static_cast<unsigned char>(digits[index])];
            if (digit < 0) {
                return std::nullopt;
            }
            group = (group << s_bitsPerDigit) | static_cast<std::uint32_t>(digit);
        }
        appendBytes(group, s_bytesPerGroup - padding, bytes);
    }
    return bytes;
}

} // namespace samphireswitch::store
