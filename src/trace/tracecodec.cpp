#include "trace/tracecodec.h"

#include "trace/tracefields.h"

#include <boost/describe/members.hpp>
#include <boost/json.hpp>
#include <boost/mp11/algorithm.hpp>

#include <charconv>
#include <stdexcept>
#include <type_traits>

namespace samphireswitch::trace {

namespace {

namespace json = boost::json;

template<typename T>
concept Duration = requires(const T &value)
{
    value.count();
};

template<typename T>
concept Identity = std::is_same_v<T, ServiceId> || std::is_same_v<T, AgentId>;

template<typename T>
concept Variant = requires
{
    std::variant_size<T>::value;
};

template<typename T>
concept Described = boost::describe::has_describe_members<T>::value;

template<typename T>
using Members = boost::describe::describe_members<T, boost::describe::mod_public>;

template<typename T>
json::value toJson(const T &value);

template<Described T>
void addMembers(const T &value, json::object &object)
{
    [[maybe_unused]] static const T s_default {};
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
        json::value field = toJson(value.*member.pointer);
        if (field != toJson(s_default.*member.pointer)) {
            object[member.name] = std::move(field);
        }
    });
}

template<typename T>
json::value toJson(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        return static_cast<int>(value);
    } else if constexpr (std::is_arithmetic_v<T>) {
        return value;
    } else if constexpr (Duration<T>) {
        return value.count();
    } else if constexpr (Identity<T>) {
        return value.value;
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        return json::value(toString(value));
    } else if constexpr (Variant<T>) {
        json::object object;
        object["kind"] = AlternativeNames<T>::names.at(value.index());
        std::visit([&](const auto &alternative) { addMembers(alternative, object); }, value);
        return object;
    } else if constexpr (Described<T>) {
        json::object object;
        addMembers(value, object);
        return object;
    } else {
        json::array array;
        for (const auto &element : value) {
            array.push_back(toJson(element));
        }
        return array;
    }
}

Endpoint endpointFrom(std::string_view text)
{
    const auto colon = text.rfind(':');
    Endpoint endpoint;
    bool valid = colon != std::string_view::npos;
    if (valid) {
        // Unlike parseEndpoint(), takes port 0, which a caller's packet may have.
        const Result<std::uint32_t> address = parseAddress(text.substr(0, colon));
        const char *const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
        valid = address && parsed.ec == std::errc() && parsed.ptr == end;
        endpoint.address = address ? *address : 0;
    }
    if (!valid) {
        throw std::invalid_argument("'" + std::string(text) + "' is not an address with a port");
    }
    return endpoint;
}

template<typename T>
void fromJson(const json::value &value, T &target);

template<Described T>
void readMembers(const json::object &object, T &target, std::size_t otherFields)
{
    std::size_t known = otherFields;
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
        const json::value *const field = object.if_contains(member.name);
        if (field == nullptr) {
            return;
        }
        ++known;
        fromJson(*field, target.*member.pointer);
    });
    if (known != object.size()) {
        throw std::invalid_argument("a field is unknown in " + json::serialize(object));
    }
}

template<Variant T>
void readVariant(const json::object &object, T &target)
{
    const std::string_view kind = object.at("kind").as_string();
    bool found = false;
    boost::mp11::mp_for_each<boost::mp11::mp_iota_c<std::variant_size_v<T>>>([&](auto index) {
        if (kind == AlternativeNames<T>::names.at(index)) {
            readMembers(object, target.template emplace<index>(), 1);
            found = true;
        }
    });
    if (!found) {
        throw std::invalid_argument("'" + std::string(kind) + "' is no known kind");
    }
}

template<typename T>
void readArray(const json::array &array, T &target)
{
    if constexpr (requires { target.emplace_back(); }) {
        if constexpr (std::is_same_v<T, protocol::CandidateChain>) {
            if (array.size() > protocol::s_maximumChainLength) {
                throw std::invalid_argument("an array is too long");
            }
        }
        for (const json::value &element : array) {
            fromJson(element, target.emplace_back());
        }
    } else {
        if (array.size() != target.size()) {
            throw std::invalid_argument("an array has the wrong length");
        }
        for (std::size_t index = 0; index < array.size(); ++index) {
            fromJson(array[index], target[index]);
        }
    }
}

template<typename T>
void fromJson(const json::value &value, T &target)
{
    if constexpr (std::is_enum_v<T>) {
        target = static_cast<T>(value.to_number<int>());
    } else if constexpr (std::is_same_v<T, bool>) {
        target = value.as_bool();
    } else if constexpr (std::is_arithmetic_v<T>) {
        target = value.to_number<T>();
    } else if constexpr (Duration<T>) {
        target = T(value.to_number<typename T::rep>());
    } else if constexpr (Identity<T>) {
        target.value = value.to_number<std::uint64_t>();
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        target = endpointFrom(value.as_string());
    } else if constexpr (Variant<T>) {
        readVariant(value.as_object(), target);
    } else if constexpr (Described<T>) {
        readMembers(value.as_object(), target, 0);
    } else {
        readArray(value.as_array(), target);
    }
}

template<typename T>
Result<T> decode(std::string_view line)
{
    // Boost.JSON reports values of another type by exceptions.
    try {
        T target;
        fromJson(json::parse(json::string_view(line.data(), line.size())), target);
        return target;
    } catch (const std::exception &error) {
        return boost::leaf::new_error(Error {ResultCode::TraceMalformed, error.what()});
    }
}

} // namespace

std::string encode(const TraceHeader &header)
{
    return json::serialize(toJson(header));
}

std::string encode(const TraceEntry &entry)
{
    return json::serialize(toJson(entry));
}

std::string encode(const admission::Action &action)
{
    return json::serialize(toJson(action));
}

Result<TraceHeader> decodeHeader(std::string_view line)
{
    BOOST_LEAF_AUTO(header, decode<TraceHeader>(line));
    if (header.version != s_traceVersion) {
        return boost::leaf::new_error(Error {ResultCode::TraceMalformed,
                                             "format version " + std::to_string(header.version)
                                                 + "; accepted: " + std::to_string(s_traceVersion)});
    }
    return header;
}

Result<TraceEntry> decodeEntry(std::string_view line)
{
    return decode<TraceEntry>(line);
}

} // namespace samphireswitch::trace
