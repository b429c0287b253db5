#pragma once

#include "base/resultcode.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/**
 * Checked access to JSON. Every read function fails with ResultCode::StoreAnswerMalformed and a message that names the
 * field. The protocol omits fields with the default value, so a missing field is read as 0, false or empty, except by
 * the functions for required fields.
 */
namespace samphireswitch::store::json {

Error malformed(std::string message);

Result<boost::json::value> parse(std::string_view text);

/** Fails if @p value is not an object. */
Result<boost::json::object> readObject(const boost::json::value &value, std::string_view what);

/** A number that may be written as a string, as the protocol does for 64-bit numbers. */
Result<std::uint64_t> readNumber(const boost::json::object &object, std::string_view field, std::uint64_t maximum);
/** A number that need not be whole. Fails if it is negative or not finite. */
Result<double> readDecimal(const boost::json::object &object, std::string_view field);
Result<bool> readBool(const boost::json::object &object, std::string_view field);
Result<std::string> readString(const boost::json::object &object, std::string_view field);

/** A string of base64, decoded. */
Result<std::string> readBytes(const boost::json::object &object, std::string_view field);

/** The elements of a list of objects. */
Result<std::vector<boost::json::object>> readObjects(const boost::json::object &object, std::string_view field);
Result<std::vector<std::string>> readStrings(const boost::json::object &object, std::string_view field);

} // namespace samphireswitch::store::json
