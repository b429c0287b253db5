#include "store/storejson.h"

#include "store/base64.h"

#include <boost/json/parse.hpp>

#include <charconv>
#include <cmath>
#include <optional>

namespace samphireswitch::store::json {

namespace {

const boost::json::value *findField(const boost::json::object &object, std::string_view field)
{
    return object.if_contains(boost::json::string_view(field.data(), field.size()));
}

Error wrongType(std::string_view field, std::string_view expected)
{
    return malformed("the field '" + std::string(field) + "' is not " + std::string(expected));
}

std::optional<std::uint64_t> numberOf(const boost::json::value &value)
{
    if (value.is_uint64()) {
        return value.get_uint64();
    }
    if (value.is_int64() && value.get_int64() >= 0) {
        return static_cast<std::uint64_t>(value.get_int64());
    }
    if (!value.is_string()) {
        return std::nullopt;
    }
    const boost::json::string &text = value.get_string();
    const char *end = text.data() + text.size();
    std::uint64_t number = 0;
    const auto [parsedEnd, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

Error malformed(std::string message)
{
    return {ResultCode::StoreAnswerMalformed, std::move(message)};
}

Result<boost::json::value> parse(std::string_view text)
{
    boost::json::error_code error;
    auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
    if (error) {
        return boost::leaf::new_error(malformed("the store's answer is not JSON: " + error.message()));
    }
    return value;
}

Result<boost::json::object> readObject(const boost::json::value &value, std::string_view what)
{
    if (!value.is_object()) {
        return boost::leaf::new_error(malformed(std::string(what) + " is not an object"));
    }
    return value.get_object();
}

Result<std::uint64_t> readNumber(const boost::json::object &object, std::string_view field, std::uint64_t maximum)
{
    const boost::json::value *value = findField(object, field);
    if (value == nullptr) {
        return 0;
    }
    const auto number = numberOf(*value);
    if (!number || *number > maximum) {
        return boost::leaf::new_error(wrongType(field, "a whole number up to " + std::to_string(maximum)));
    }
    return *number;
}

Result<double> readDecimal(const boost::json::object &object, std::string_view field)
{
    const boost::json::value *value = findField(object, field);
    if (value == nullptr) {
        return 0.0;
    }
    if (!value->is_number()) {
        return boost::leaf::new_error(wrongType(field, "a number"));
    }
    const double number = value->to_number<double>();
    if (!std::isfinite(number) || number < 0) {
        return boost::leaf::new_error(wrongType(field, "a number from 0 on"));
    }
    return number;
}

Result<bool> readBool(const boost::json::object &object, std::string_view field)
{
    const boost::json::value *value = findField(object, field);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        return boost::leaf::new_error(wrongType(field, "true or false"));
    }
    return value->get_bool();
}

Result<std::string> readString(const boost::json::object &object, std::string_view field)
{
    const boost::json::value *value = findField(object, field);
    if (value == nullptr) {
        return std::string();
    }
    if (!value->is_string()) {
        return boost::leaf::new_error(wrongType(field, "a string"));
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

Result<std::string> readBytes(const boost::json::object &object, std::string_view field)
{
    BOOST_LEAF_AUTO(text, readString(object, field));
    auto bytes = decodeBase64(text);
    if (!bytes) {
        return boost::leaf::new_error(wrongType(field, "base64"));
    }
    return std::move(*bytes);
}

Result<std::vector<boost::json::object>> readObjects(const boost::json::object &object, std::string_view field)
{
    std::vector<boost::json::object> objects;
    const boost::json::value *value = findField(object, field);
    if (value == nullptr) {
        return objects;
    }
    if (!value->is_array()) {
        return boost::leaf::new_error(wrongType(field, "a list"));
    }
    for (const boost::json::value &element : value->get_array()) {
        if (!element.is_object()) {
            return boost::leaf::new_error(wrongType(field, "a list of objects"));
        }
        objects.push_back(element.get_object());
    }
    return objects;
}

Result<std::vector<std::string>> readStrings(const boost::json::object &object, std::string_view field)
{
    std::vector<std::string> strings;
    const boost::json::value *value = findField(object, field);
    if (value == nullptr) {
        return strings;
    }
    if (!value->is_array()) {
        return boost::leaf::new_error(wrongType(field, "a list"));
    }
    for (const boost::json::value &element : value->get_array()) {
        if (!element.is_string()) {
            return boost::leaf::new_error(wrongType(field, "a list of strings"));
        }
        strings.emplace_back(element.get_string().data(), element.get_string().size());
    }
    return strings;
}

} // namespace samphireswitch::store::json
