#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "telemetry/logging.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphireswitch::settings {

/*
 * The kinds of value that a key can have. Each names the member of the settings that it fills, and has
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

struct SeverityValue
{
    using Type = telemetry::Severity;

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

struct IntegerValue
{
    using Type = std::uint64_t;

    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;

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

} // namespace samphireswitch::settings
