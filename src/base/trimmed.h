#pragma once

#include <string_view>

namespace samphireswitch {

/** @p text without blanks, tabs and carriage returns at its ends. */
inline std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace samphireswitch
