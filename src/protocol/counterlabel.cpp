#include "protocol/counterlabel.h"

namespace samphireswitch::protocol {

namespace {

constexpr char s_escape = '\\';
constexpr std::string_view s_suffix = "\"}";

std::string prefixOf(std::string_view counter, std::string_view label)
{
    std::string prefix(counter);
    prefix.append("{").append(label).append("=\"");
    return prefix;
}

} // namespace

std::string labelledName(std::string_view counter, std::string_view label, std::string_view value)
{
    std::string name = prefixOf(counter, label);
    for (const char character : value) {
        if (character == '"' || character == s_escape) {
            name += s_escape;
        }
        name += character;
    }
    name += s_suffix;
    return name;
}

std::optional<std::string> labelValue(std::string_view name, std::string_view counter, std::string_view label)
{
    const std::string prefix = prefixOf(counter, label);
    if (!name.starts_with(prefix) || !name.substr(prefix.size()).ends_with(s_suffix)) {
        return std::nullopt;
    }
    name.remove_prefix(prefix.size());
    name.remove_suffix(s_suffix.size());
    std::string value;
    bool isEscaped = false;
    for (const char character : name) {
        isEscaped = !isEscaped && character == s_escape;
        if (!isEscaped) {
            value += character;
        }
    }
    return value;
}

} // namespace samphireswitch::protocol
