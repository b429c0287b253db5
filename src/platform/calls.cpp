#include "platform/calls.h"

#include "store/storejson.h"

#include <boost/json/serialize.hpp>

#include <limits>
#include <string_view>

namespace samphireswitch::platform {

namespace {

using passthrough::ReportedState;
using passthrough::UpstreamDeparture;
using passthrough::UpstreamMessage;
using passthrough::UpstreamReport;

constexpr std::string_view s_readinessPath = "/api/ready";
constexpr std::string_view s_instancesPath = "/api/instances/";
constexpr const char *s_jsonType = "application/json";
constexpr std::uint64_t s_maximumSlots = 1'000'000;
// Whole numbers up to here are exact in every JSON writer, and reports that come every second or so never get there.
// A higher one would make all later reports of the run look late.
constexpr std::uint64_t s_maximumSequence = std::uint64_t {1} << 53U;
// Start of the year 2100 in Unix milliseconds. A run that claims a later start would supersede all that follow.
constexpr std::uint64_t s_latestStart = 4'102'444'800'000;
// 49 days in milliseconds, which no clock arithmetic overflows.
constexpr std::uint64_t s_longestSlowStart = std::numeric_limits<std::uint32_t>::max();

Error malformed(std::string message)
{
    return {ResultCode::MessageMalformed, std::move(message)};
}

/** A whole number that must be there. */
Result<std::uint64_t> requiredNumber(const boost::json::object &body, std::string_view field, std::uint64_t maximum)
{
    const boost::json::value *value = body.if_contains({field.data(), field.size()});
    if (value == nullptr || !(value->is_int64() || value->is_uint64())) {
        return boost::leaf::new_error(malformed("the field '" + std::string(field) + "' is not a whole number"));
    }
    return store::json::readNumber(body, field, maximum);
}

Result<std::string> requiredText(const boost::json::object &body, std::string_view field)
{
    BOOST_LEAF_AUTO(text, store::json::readString(body, field));
    if (text.empty()) {
        return boost::leaf::new_error(malformed("the field '" + std::string(field) + "' is missing"));
    }
    return text;
}

/** `born` is the start of the sender's run. Installations without it have no such field. */
Result<std::chrono::milliseconds> readStart(const boost::json::object &body)
{
    if (!body.contains("born")) {
        return std::chrono::milliseconds(0);
    }
    BOOST_LEAF_AUTO(milliseconds, requiredNumber(body, "born", s_latestStart));
    return std::chrono::milliseconds(milliseconds);
}

Result<ReportedState> readState(const boost::json::object &body)
{
    BOOST_LEAF_AUTO(text, requiredText(body, "state"));
    if (text == "ready") {
        return ReportedState::Ready;
    }
    if (text == "draining") {
        return ReportedState::Draining;
    }
    return boost::leaf::new_error(malformed("the state '" + text + "' is not known"));
}

Result<boost::json::object> readBody(const std::string &body)
{
    BOOST_LEAF_AUTO(value, store::json::parse(body));
    return store::json::readObject(value, "the body");
}

Result<UpstreamReport> readReport(std::string id, const std::string &text)
{
    BOOST_LEAF_AUTO(body, readBody(text));
    UpstreamReport report;
    report.id = std::move(id);
    BOOST_LEAF_ASSIGN(report.startedSinceEpoch, readStart(body));
    BOOST_LEAF_ASSIGN(report.service, requiredText(body, "service"));
    BOOST_LEAF_AUTO(address, requiredText(body, "address"));
    BOOST_LEAF_ASSIGN(report.endpoint, parseEndpoint(address));
    BOOST_LEAF_ASSIGN(report.failureDomain, requiredText(body, "zone"));
    BOOST_LEAF_ASSIGN(report.softwareVersion, requiredText(body, "version"));
    BOOST_LEAF_AUTO(slots, requiredNumber(body, "concurrency", s_maximumSlots));
    report.slots = static_cast<std::uint32_t>(slots);
    BOOST_LEAF_ASSIGN(report.state, readState(body));
    BOOST_LEAF_AUTO(slowStart, requiredNumber(body, "slow_start_ms", s_longestSlowStart));
    report.slowStart = std::chrono::milliseconds(slowStart);
    BOOST_LEAF_ASSIGN(report.sequence, requiredNumber(body, "sequence", s_maximumSequence));
    return report;
}

/** The body may be empty. */
Result<UpstreamDeparture> readDeparture(std::string id, const std::string &text)
{
    UpstreamDeparture departure {std::move(id), {}};
    if (text.empty()) {
        return departure;
    }
    BOOST_LEAF_AUTO(body, readBody(text));
    BOOST_LEAF_ASSIGN(departure.startedSinceEpoch, readStart(body));
    return departure;
}

} // namespace

bool isReadinessCall(const http::Request &request)
{
    return request.method == "GET" && request.target == s_readinessPath;
}

http::Response readinessAnswer(bool ready)
{
    return {ready ? 200U : 503U, s_jsonType, "{}"};
}

Result<std::optional<UpstreamMessage>> decodeUpstreamCall(const http::Request &request)
{
    if (!request.target.starts_with(s_instancesPath)) {
        return std::nullopt;
    }
    std::string id = request.target.substr(s_instancesPath.size());
    if (id.empty()) {
        return boost::leaf::new_error(malformed("the path names no upstream"));
    }
    if (request.method == "PUT") {
        BOOST_LEAF_AUTO(report, readReport(std::move(id), request.body));
        return UpstreamMessage {std::move(report)};
    }
    if (request.method == "DELETE") {
        BOOST_LEAF_AUTO(departure, readDeparture(std::move(id), request.body));
        return UpstreamMessage {std::move(departure)};
    }
    return std::nullopt;
}

http::Response acknowledgement()
{
    return {200, s_jsonType, "{}"};
}

http::Response rejection(const Error &error)
{
    return {400, s_jsonType, boost::json::serialize(boost::json::object {{"error", error.message}})};
}

} // namespace samphireswitch::platform
