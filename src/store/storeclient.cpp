#include "store/storeclient.h"

#include "base/attempt.h"
#include "store/base64.h"
#include "store/storejson.h"

#include <boost/json/serialize.hpp>

#include <limits>

namespace samphireswitch::store {

namespace {

constexpr unsigned s_statusOk = 200;
constexpr unsigned s_firstServerError = 500;
constexpr std::uint64_t s_maximumRevision = std::numeric_limits<std::int64_t>::max();
constexpr unsigned char s_largestByte = 0xff;
constexpr std::size_t s_longestQuotedAnswer = 200;

boost::json::object toJson(const RangeRequest &request)
{
    boost::json::object body {{"key", encodeBase64(request.key)}};
    if (!request.rangeEnd.empty()) {
        body["range_end"] = encodeBase64(request.rangeEnd);
    }
    if (request.revision != 0) {
        body["revision"] = std::to_string(request.revision);
    }
    if (request.minModRevision != 0) {
        body["min_mod_revision"] = std::to_string(request.minModRevision);
    }
    if (request.limit != 0) {
        body["limit"] = std::to_string(request.limit);
    }
    return body;
}

boost::json::object toJson(const PutRequest &request)
{
    boost::json::object body {{"key", encodeBase64(request.key)}, {"value", encodeBase64(request.value)}};
    if (request.lease != 0) {
        body["lease"] = std::to_string(request.lease);
    }
    return body;
}

boost::json::object toJson(const Comparison &comparison)
{
    return {{"target", "MOD"},
            {"result", "EQUAL"},
            {"key", encodeBase64(comparison.key)},
            {"mod_revision", std::to_string(comparison.modRevision)}};
}

Result<Revision> readRevision(const boost::json::object &answer)
{
    const boost::json::value *header = answer.if_contains("header");
    if (header == nullptr) {
        return boost::leaf::new_error(json::malformed("the store's answer has no header"));
    }
    BOOST_LEAF_AUTO(object, json::readObject(*header, "the header of the store's answer"));
    BOOST_LEAF_AUTO(revision, json::readNumber(object, "revision", s_maximumRevision));
    if (revision == 0) {
        return boost::leaf::new_error(json::malformed("the store's answer has no revision"));
    }
    return revision;
}

Result<boost::json::object> parseAnswer(const std::string &body)
{
    BOOST_LEAF_AUTO(value, json::parse(body));
    return json::readObject(value, "the store's answer");
}

Result<KeyValue> readKeyValue(const boost::json::object &object)
{
    KeyValue result;
    BOOST_LEAF_ASSIGN(result.key, json::readBytes(object, "key"));
    BOOST_LEAF_ASSIGN(result.value, json::readBytes(object, "value"));
    BOOST_LEAF_ASSIGN(result.modRevision, json::readNumber(object, "mod_revision", s_maximumRevision));
    return result;
}

/** The error of an answer with a status other than 200. */
Error readFailure(const HttpAnswer &answer)
{
    const std::string quoted = answer.body.substr(0, s_longestQuotedAnswer);
    if (answer.body.find("has been compacted") != std::string::npos) {
        return {ResultCode::StoreCompacted, "the store has compacted the revision: " + quoted};
    }
    const std::string status = "the store answered with status " + std::to_string(answer.status) + ": " + quoted;
    return {answer.status >= s_firstServerError ? ResultCode::StoreUnavailable : ResultCode::StoreRejected, status};
}

/** True if the key is one that the request asked for; a wrong key would be taken for another record. */
bool isInRange(const RangeRequest &request, const std::string &key)
{
    return request.rangeEnd.empty() ? key == request.key : key >= request.key && key < request.rangeEnd;
}

} // namespace

std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == s_largestByte) {
        prefix.pop_back();
    }
    if (!prefix.empty()) {
        ++prefix.back();
    }
    return prefix;
}

StoreClient::StoreClient(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_server(server)
    , m_timeLimit(timeLimit)
    , m_connection(server)
{
}

Result<RangeAnswer> StoreClient::range(const RangeRequest &request)
{
    BOOST_LEAF_AUTO(body, call("/v3/kv/range", boost::json::serialize(toJson(request)), Repetition::Allowed));
    BOOST_LEAF_AUTO(object, parseAnswer(body));
    RangeAnswer answer;
    BOOST_LEAF_ASSIGN(answer.revision, readRevision(object));
    BOOST_LEAF_ASSIGN(answer.more, json::readBool(object, "more"));
    BOOST_LEAF_AUTO(values, json::readObjects(object, "kvs"));
    for (const boost::json::object &element : values) {
        BOOST_LEAF_AUTO(value, readKeyValue(element));
        if (!isInRange(request, value.key)) {
            return boost::leaf::new_error(json::malformed("the store answered with a key that was not asked for"));
        }
        answer.values.push_back(std::move(value));
    }
    return answer;
}

Result<Revision> StoreClient::put(const PutRequest &request)
{
    BOOST_LEAF_AUTO(body, call("/v3/kv/put", boost::json::serialize(toJson(request)), Repetition::Allowed));
    BOOST_LEAF_AUTO(object, parseAnswer(body));
    return readRevision(object);
}

Result<TransactionAnswer> StoreClient::transaction(const std::vector<Comparison> &comparisons,
                                                   const std::vector<PutRequest> &puts)
{
    boost::json::array compare;
    for (const Comparison &comparison : comparisons) {
        compare.push_back(toJson(comparison));
    }
    boost::json::array success;
    for (const PutRequest &put : puts) {
        success.push_back(boost::json::object {{"request_put", toJson(put)}});
    }
    const boost::json::object request {{"compare", std::move(compare)}, {"success", std::move(success)}};
    BOOST_LEAF_AUTO(body, call("/v3/kv/txn", boost::json::serialize(request), Repetition::Forbidden));
    BOOST_LEAF_AUTO(object, parseAnswer(body));
    TransactionAnswer answer;
    BOOST_LEAF_ASSIGN(answer.revision, readRevision(object));
    BOOST_LEAF_ASSIGN(answer.succeeded, json::readBool(object, "succeeded"));
    return answer;
}

Result<std::uint64_t> StoreClient::grantLease(std::chrono::seconds duration)
{
    const boost::json::object request {{"TTL", std::to_string(duration.count())}};
    BOOST_LEAF_AUTO(body, call("/v3/lease/grant", boost::json::serialize(request), Repetition::Allowed));
    BOOST_LEAF_AUTO(object, parseAnswer(body));
    BOOST_LEAF_AUTO(lease, json::readNumber(object, "ID", s_maximumRevision));
    if (lease == 0) {
        return boost::leaf::new_error(json::malformed("the store granted a lease without an identity"));
    }
    return lease;
}

const Endpoint &StoreClient::server() const
{
    return m_server;
}

std::chrono::milliseconds StoreClient::timeLimit() const
{
    return m_timeLimit;
}

Result<std::string> StoreClient::call(std::string_view path, const std::string &body, Repetition repetition)
{
    const TimePoint deadline = Clock::now() + m_timeLimit;
    const bool isReused = m_connection.isOpen();
    if (isReused && repetition == Repetition::Forbidden) {
        // The store may have closed an idle connection; on a new one the request is not lost for that reason.
        m_connection.close();
    }
    auto outcome = attempt([&] { return m_connection.post(path, body, deadline); });
    const Error *error = std::get_if<Error>(&outcome);
    const bool mayRepeat = isReused && repetition == Repetition::Allowed && Clock::now() < deadline;
    if (error != nullptr && error->code == ResultCode::StoreUnavailable && mayRepeat) {
        outcome = attempt([&] { return m_connection.post(path, body, deadline); });
        error = std::get_if<Error>(&outcome);
    }
    if (error != nullptr) {
        return boost::leaf::new_error(*error);
    }
    HttpAnswer &answer = std::get<HttpAnswer>(outcome);
    if (answer.status != s_statusOk) {
        return boost::leaf::new_error(readFailure(answer));
    }
    return std::move(answer.body);
}

} // namespace samphireswitch::store
