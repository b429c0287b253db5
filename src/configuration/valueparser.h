#pragma once

#include "base/endpoint.h"
#include "configuration/servicerecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

namespace detail {

std::string integerForm(std::uint64_t minimum, std::uint64_t maximum);
std::optional<std::uint64_t> parseInteger(std::string_view text, std::uint64_t minimum, std::uint64_t maximum);

} // namespace detail

/*
 * The kinds of value that a key of an INI file can have. Each has
 *   Type: the type of the value;
 *   acceptedForm(): what a person may write, for messages;
 *   parse(text): the value, or nothing if the text is not of that form or out of range.
 */

/** 1 to 63 letters, digits, `-`, `_` and `.`. */
struct NameValue
{
    using Type = std::string;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** 1 to 63 printable characters. */
struct LabelValue
{
    using Type = std::string;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** Name of a file: at most 4095 printable characters; may be empty. */
struct PathValue
{
    using Type = std::string;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** `true` or `false`. */
struct BoolValue
{
    using Type = bool;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

struct HostStateValue
{
    using Type = HostState;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

struct AddressValue
{
    using Type = std::uint32_t;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

struct EndpointValue
{
    using Type = Endpoint;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** Endpoints separated by commas, each once. */
struct EndpointListValue
{
    using Type = std::vector<Endpoint>;

    std::size_t minimum = 0;

    std::string acceptedForm() const;
    std::optional<Type> parse(std::string_view text) const;
};

/** A whole number in a range, into a member of an unsigned type that holds the range. */
template<typename Number>
struct IntegerValue
{
    using Type = Number;

    Number minimum = 0;
    Number maximum = 0;

    std::string acceptedForm() const
    {
        return detail::integerForm(minimum, maximum);
    }

    std::optional<Type> parse(std::string_view text) const
    {
        const auto number = detail::parseInteger(text, minimum, maximum);
        return number ? std::optional<Type>(static_cast<Type>(*number)) : std::nullopt;
    }
};

/** A port, or empty for none, which is 0. */
struct OptionalPortValue
{
    using Type = std::uint16_t;

    IntegerValue<Type> port;

    std::string acceptedForm() const
    {
        return port.acceptedForm();
    }

    std::optional<Type> parse(std::string_view text) const
    {
        return text.empty() ? std::optional<Type>(0) : port.parse(text);
    }
};

/** A whole number of milliseconds without unit, for keys that name the unit. */
struct MillisecondsValue
{
    using Type = std::chrono::milliseconds;

    std::chrono::milliseconds minimum {0};
    std::chrono::milliseconds maximum {0};

    std::string acceptedForm() const;
    std::optional<Type> parse(std::string_view text) const;
};

/** A whole number directly followed by its unit: `ms`, `s` or `min`. */
struct DurationValue
{
    using Type = std::chrono::milliseconds;

    std::chrono::milliseconds minimum {0};
    std::chrono::milliseconds maximum {0};

    std::string acceptedForm() const;
    std::optional<Type> parse(std::string_view text) const;
};

} // namespace samphireswitch::configuration
