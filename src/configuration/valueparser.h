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

/** Returns the description of the accepted form of an integer from @p minimum to @p maximum. */
std::string integerForm(std::uint64_t minimum, std::uint64_t maximum);
/** Returns the value of the decimal number @p text, or std::nullopt if the text is not such a number or its value is
 * not from @p minimum to @p maximum. */
std::optional<std::uint64_t> parseInteger(std::string_view text, std::uint64_t minimum, std::uint64_t maximum);

} // namespace detail

/*
 * Parsers for the values of keys in INI files. Each parser has
 *   Type: the type of the parsed value;
 *   acceptedForm(): a description of the accepted text, for error messages;
 *   parse(text): the parsed value, or std::nullopt if the text is malformed or the value is out of range.
 */

/** A name of a service or host as accepted by isValidName(): 1 to 63 letters, digits, `-`, `_` and `.`. */
struct NameValue
{
    using Type = std::string;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** A text as accepted by isValidFailureDomain(): 1 to 63 bytes without control characters. */
struct LabelValue
{
    using Type = std::string;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** A file path of at most 4095 bytes, none of them below 0x20; may be empty. */
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

/** A host state as accepted by parseHostState(). */
struct HostStateValue
{
    using Type = HostState;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** `evacuated` or `active`, for a failure domain. Holds true if it is evacuated. */
struct EvacuationValue
{
    using Type = bool;

    static std::string acceptedForm();
    static std::optional<Type> parse(std::string_view text);
};

/** An IPv4 address, stored in host byte order. */
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

/** A comma-separated list of at least @c minimum endpoints without duplicates. */
struct EndpointListValue
{
    using Type = std::vector<Endpoint>;

    std::size_t minimum = 0;

    std::string acceptedForm() const;
    std::optional<Type> parse(std::string_view text) const;
};

/** An integer from @c minimum to @c maximum, stored as the unsigned type @p Number. */
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

/** A port number; an empty text means no port and is stored as 0. */
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

/** A number of milliseconds without a unit, for keys whose name contains the unit. */
struct MillisecondsValue
{
    using Type = std::chrono::milliseconds;

    std::chrono::milliseconds minimum {0};
    std::chrono::milliseconds maximum {0};

    std::string acceptedForm() const;
    std::optional<Type> parse(std::string_view text) const;
};

/** A duration written as an integer directly followed by its unit: `ms`, `s` or `min`. */
struct DurationValue
{
    using Type = std::chrono::milliseconds;

    std::chrono::milliseconds minimum {0};
    std::chrono::milliseconds maximum {0};

    std::string acceptedForm() const;
    std::optional<Type> parse(std::string_view text) const;
};

} // namespace samphireswitch::configuration
