#include "configuration/valueparser.h"

#include "base/trimmed.h"
#include "configuration/hoststate.h"
#include "configuration/recordcheck.h"

#include <algorithm>
#include <charconv>

namespace samphireswitch::configuration {

namespace {

/** Maximum length of a file path in bytes: PATH_MAX of Linux without the terminating null byte. */
constexpr std::size_t s_maximumPathLength = 4095;
constexpr std::uint64_t s_millisecondsPerSecond = 1000;
constexpr std::uint64_t s_millisecondsPerMinute = 60 * s_millisecondsPerSecond;

/** Removes the number at the beginning of @p text and returns it. Returns std::nullopt if @p text does not begin with a
 * number, or if the number does not fit into 64 bits. */
std::optional<std::uint64_t> parseLeadingNumber(std::string_view &text)
{
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc()) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

/** Returns the number of milliseconds in @p unit, or std::nullopt if the unit is unknown. */
std::optional<std::uint64_t> unitFactor(std::string_view unit)
{
    if (unit == "ms") {
        return 1;
    }
    if (unit == "s") {
        return s_millisecondsPerSecond;
    }
    if (unit == "min") {
        return s_millisecondsPerMinute;
    }
    return std::nullopt;
}

std::string durationText(std::chrono::milliseconds duration)
{
    const auto count = static_cast<std::uint64_t>(duration.count());
    if (count % s_millisecondsPerMinute == 0) {
        return std::to_string(count / s_millisecondsPerMinute) + "min";
    }
    if (count % s_millisecondsPerSecond == 0) {
        return std::to_string(count / s_millisecondsPerSecond) + 's';
    }
    return std::to_string(count) + "ms";
}

/** Returns the value of @p result, or std::nullopt on failure. The error is discarded because callers report the
 * accepted form instead. */
template<typename T>
std::optional<T> valueOrNullopt(Result<T> result)
{
    if (!result) {
        return std::nullopt;
    }
    return *result;
}

} // namespace

std::string NameValue::acceptedForm()
{
    return "1 to " + std::to_string(s_maximumNameLength) + " letters, digits, '-', '_' and '.'";
}

std::optional<std::string> NameValue::parse(std::string_view text)
{
    if (!isValidName(text)) {
        return std::nullopt;
    }
    return std::string(text);
}

std::string LabelValue::acceptedForm()
{
    return "1 to " + std::to_string(s_maximumNameLength) + " bytes of text";
}

std::optional<std::string> LabelValue::parse(std::string_view text)
{
    if (!isValidFailureDomain(text)) {
        return std::nullopt;
    }
    return std::string(text);
}

std::string PathValue::acceptedForm()
{
    return "a file name of at most " + std::to_string(s_maximumPathLength) + " printable characters, or empty";
}

std::optional<std::string> PathValue::parse(std::string_view text)
{
    const bool printable = std::ranges::none_of(text, [](char c) { return static_cast<unsigned char>(c) < ' '; });
    if (text.size() > s_maximumPathLength || !printable) {
        return std::nullopt;
    }
    return std::string(text);
}

std::string BoolValue::acceptedForm()
{
    return "true or false";
}

std::optional<bool> BoolValue::parse(std::string_view text)
{
    if (text != "true" && text != "false") {
        return std::nullopt;
    }
    return text == "true";
}

std::string HostStateValue::acceptedForm()
{
    return "active, draining or stopped";
}

std::optional<HostState> HostStateValue::parse(std::string_view text)
{
    return parseHostState(text);
}

std::string EvacuationValue::acceptedForm()
{
    return "evacuated or active";
}

std::optional<bool> EvacuationValue::parse(std::string_view text)
{
    if (text != "evacuated" && text != "active") {
        return std::nullopt;
    }
    return text == "evacuated";
}

std::string AddressValue::acceptedForm()
{
    return "a numeric IPv4 address, a.b.c.d";
}

std::optional<std::uint32_t> AddressValue::parse(std::string_view text)
{
    return valueOrNullopt(parseAddress(text));
}

std::string EndpointValue::acceptedForm()
{
    return "a numeric IPv4 address and a port, a.b.c.d:port";
}

std::optional<Endpoint> EndpointValue::parse(std::string_view text)
{
    return valueOrNullopt(parseEndpoint(text));
}

std::string EndpointListValue::acceptedForm() const
{
    const std::string form = "a.b.c.d:port, separated by commas, each address once";
    return minimum == 0 ? "empty, or " + form : form;
}

std::optional<std::vector<Endpoint>> EndpointListValue::parse(std::string_view text) const
{
    std::vector<Endpoint> endpoints;
    text = trimmed(text);
    bool more = !text.empty();
    while (more) {
        const auto comma = text.find(',');
        more = comma != std::string_view::npos;
        const auto endpoint = EndpointValue::parse(trimmed(text.substr(0, comma)));
        if (!endpoint || std::ranges::find(endpoints, *endpoint) != endpoints.end()) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
        text.remove_prefix(more ? comma + 1 : text.size());
    }
    if (endpoints.size() < minimum) {
        return std::nullopt;
    }
    return endpoints;
}

std::string detail::integerForm(std::uint64_t minimum, std::uint64_t maximum)
{
    return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::optional<std::uint64_t> detail::parseInteger(std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto number = parseLeadingNumber(text);
    if (!number || !text.empty() || *number < minimum || *number > maximum) {
        return std::nullopt;
    }
    return number;
}

std::string MillisecondsValue::acceptedForm() const
{
    return detail::integerForm(static_cast<std::uint64_t>(minimum.count()), static_cast<std::uint64_t>(maximum.count()))
        + " (milliseconds)";
}

std::optional<std::chrono::milliseconds> MillisecondsValue::parse(std::string_view text) const
{
    const auto number = detail::parseInteger(
        text, static_cast<std::uint64_t>(minimum.count()), static_cast<std::uint64_t>(maximum.count()));
    return number ? std::optional(std::chrono::milliseconds(*number)) : std::nullopt;
}

std::string DurationValue::acceptedForm() const
{
    return "a whole number with the unit ms, s or min, from " + durationText(minimum) + " to " + durationText(maximum);
}

std::optional<std::chrono::milliseconds> DurationValue::parse(std::string_view text) const
{
    const auto number = parseLeadingNumber(text);
    const auto factor = unitFactor(text);
    // The maximum is checked before the multiplication, because the product could overflow.
    if (!number || !factor || *number > static_cast<std::uint64_t>(maximum.count()) / *factor) {
        return std::nullopt;
    }
    const auto duration = std::chrono::milliseconds(*number * *factor);
    if (duration < minimum) {
        return std::nullopt;
    }
    return duration;
}

} // namespace samphireswitch::configuration
