#include "platform/storeclient.h"

#include "base/attempt.h"
#include "store/base64.h"
#include "store/storejson.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace samphireswitch::platform {

namespace {

namespace json = store::json;
using store::HttpAnswer;
using store::HttpMethod;
using store::Revision;

constexpr unsigned s_ok = 200;
constexpr unsigned s_notFound = 404;
constexpr unsigned s_historyGone = 410;
constexpr unsigned s_conditionFailed = 412;
constexpr unsigned s_tooManyCalls = 429;
constexpr unsigned s_firstServerError = 500;
constexpr std::uint64_t s_maximumRevision = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t s_longestQuotedAnswer = 200;

/** @p text as a part of a query (RFC 3986). Slashes stand for themselves there. */
std::string escaped(std::string_view text)
{
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        if (plain.find(character) != std::string_view::npos) {
            result += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        result += {'%', digits[byte >> 4U], digits[byte & 0xfU]};
    }
    return result;
}

Error failureOf(const HttpAnswer &answer)
{
    const std::string message = "the store answered with status " + std::to_string(answer.status) + ": "
        + answer.body.substr(0, s_longestQuotedAnswer);
    if (answer.status == s_historyGone) {
        return {ResultCode::StoreCompacted, message};
    }
    const bool isTurnedAway = answer.status == s_tooManyCalls || answer.status >= s_firstServerError;
    return {isTurnedAway ? ResultCode::StoreUnavailable : ResultCode::StoreRejected, message};
}

Result<boost::json::object> parseAnswer(const HttpAnswer &answer)
{
    BOOST_LEAF_AUTO(value, json::parse(answer.body));
    return json::readObject(value, "the store's answer");
}

Result<store::KeyValue> readItem(const boost::json::object &item)
{
    store::KeyValue value;
    BOOST_LEAF_ASSIGN(value.key, json::readString(item, "key"));
    BOOST_LEAF_ASSIGN(value.value, json::readBytes(item, "value"));
    BOOST_LEAF_ASSIGN(value.modRevision, json::readNumber(item, "revision", s_maximumRevision));
    return value;
}

/** The key of an item, also of one that cannot be read otherwise; empty if it has none. */
std::string keyOf(const boost::json::value &item)
{
    const boost::json::object *object = item.if_object();
    const boost::json::value *key = object == nullptr ? nullptr : object->if_contains("key");
    const boost::json::string *text = key == nullptr ? nullptr : key->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

Result<store::KeyValue> readListedItem(const boost::json::value &item)
{
    BOOST_LEAF_AUTO(object, json::readObject(item, "an item"));
    BOOST_LEAF_AUTO(value, readItem(object));
    if (value.key.empty()) {
        return boost::leaf::new_error(json::malformed("an item has no key"));
    }
    return value;
}

/** Adds the items of a page to @p result and returns the last key. */
Result<std::string> appendItems(const boost::json::object &page, ReadAnswer &result)
{
    const boost::json::value *items = page.if_contains("items");
    std::string last;
    if (items == nullptr) {
        return last;
    }
    if (!items->is_array()) {
        return boost::leaf::new_error(json::malformed("the field 'items' is not a list"));
    }
    for (const boost::json::value &item : items->get_array()) {
        std::string key = keyOf(item);
        auto outcome = attempt([&] { return readListedItem(item); });
        if (const Error *error = std::get_if<Error>(&outcome)) {
            result.unreadable.push_back({key, error->message});
        } else {
            result.values.push_back(std::get<store::KeyValue>(std::move(outcome)));
        }
        last = key.empty() ? std::move(last) : std::move(key);
    }
    return last;
}

/** `at` is the store's revision at the time of the answer. */
Result<Revision> readStoreRevision(const boost::json::object &answer)
{
    return json::readNumber(answer, "at", s_maximumRevision);
}

} // namespace

StoreClient::StoreClient(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_timeLimit(timeLimit)
    , m_connection(server)
{
}

Result<ReadAnswer> StoreClient::read(const std::string &key)
{
    BOOST_LEAF_AUTO(answer, call(HttpMethod::Get, "/api/kv-key?key=" + escaped(key), {}, {}));
    if (answer.status == s_notFound) {
        return ReadAnswer {};
    }
    if (answer.status != s_ok) {
        return boost::leaf::new_error(failureOf(answer));
    }
    BOOST_LEAF_AUTO(object, parseAnswer(answer));
    ReadAnswer result;
    BOOST_LEAF_AUTO(item, readItem(object));
    result.values.push_back(std::move(item));
    BOOST_LEAF_ASSIGN(result.revision, readStoreRevision(object));
    return result;
}

Result<ReadAnswer> StoreClient::readPrefix(const std::string &prefix, Freshness freshness)
{
    ReadAnswer result;
    std::string after;
    for (bool more = true; more;) {
        std::string path = "/api/kv-range?prefix=" + escaped(prefix);
        path += after.empty() ? std::string() : "&after=" + escaped(after);
        path += freshness == Freshness::MayBeOld ? "&serializable=1" : "";
        BOOST_LEAF_AUTO(answer, call(HttpMethod::Get, path, {}, {}));
        if (answer.status != s_ok) {
            return boost::leaf::new_error(failureOf(answer));
        }
        BOOST_LEAF_AUTO(object, parseAnswer(answer));
        BOOST_LEAF_AUTO(revision, readStoreRevision(object));
        // Pages are not a snapshot: a watch has to tell of changes to earlier pages as well.
        result.revision = after.empty() ? revision : std::min(revision, result.revision);
        BOOST_LEAF_AUTO(last, appendItems(object, result));
        BOOST_LEAF_ASSIGN(more, json::readBool(object, "has_more"));
        if (more && (last.empty() || last == after)) {
            return boost::leaf::new_error(json::malformed("the pages of a list do not move on from '" + after + "'"));
        }
        after = std::move(last);
    }
    return result;
}

Result<WatchAnswer> StoreClient::watch(const std::string &prefix, Revision after, std::chrono::milliseconds wait)
{
    const std::string path = "/api/kv-watch?prefix=" + escaped(prefix) + "&after=" + std::to_string(after)
        + "&wait_ms=" + std::to_string(wait.count());
    BOOST_LEAF_AUTO(answer, call(HttpMethod::Get, path, {}, wait));
    if (answer.status != s_ok) {
        return boost::leaf::new_error(failureOf(answer));
    }
    BOOST_LEAF_AUTO(object, parseAnswer(answer));
    BOOST_LEAF_AUTO(events, json::readObjects(object, "events"));
    WatchAnswer result;
    result.changed = !events.empty();
    BOOST_LEAF_ASSIGN(result.revision, readStoreRevision(object));
    return result;
}

Result<store::TransactionAnswer> StoreClient::transaction(const std::vector<store::Comparison> &comparisons,
                                                          const std::vector<store::PutRequest> &puts)
{
    boost::json::array expected;
    for (const store::Comparison &comparison : comparisons) {
        expected.push_back(boost::json::object {{"key", comparison.key}, {"revision", comparison.modRevision}});
    }
    boost::json::array written;
    for (const store::PutRequest &put : puts) {
        written.push_back(
            boost::json::object {{"key", put.key}, {"value", store::encodeBase64(put.value)}, {"lease", put.lease}});
    }
    const boost::json::object body {
        {"expected", std::move(expected)}, {"puts", std::move(written)}, {"remove", boost::json::array()}};
    BOOST_LEAF_AUTO(answer, call(HttpMethod::Post, "/api/kv-txn", boost::json::serialize(body), {}));
    store::TransactionAnswer result;
    if (answer.status == s_conditionFailed) {
        return result;
    }
    if (answer.status != s_ok) {
        return boost::leaf::new_error(failureOf(answer));
    }
    BOOST_LEAF_AUTO(object, parseAnswer(answer));
    BOOST_LEAF_ASSIGN(result.revision, json::readNumber(object, "revision", s_maximumRevision));
    result.succeeded = true;
    return result;
}

Result<Lease> StoreClient::grantLease(std::chrono::milliseconds duration)
{
    const boost::json::object body {{"ttl_ms", duration.count()}};
    BOOST_LEAF_AUTO(answer, call(HttpMethod::Post, "/api/kv-lease", boost::json::serialize(body), {}));
    if (answer.status != s_ok) {
        return boost::leaf::new_error(failureOf(answer));
    }
    BOOST_LEAF_AUTO(object, parseAnswer(answer));
    Lease lease;
    BOOST_LEAF_ASSIGN(lease.id, json::readNumber(object, "lease", s_maximumRevision));
    BOOST_LEAF_AUTO(granted, json::readNumber(object, "ttl_ms", s_maximumRevision));
    lease.duration = std::chrono::milliseconds(granted);
    if (lease.id == 0) {
        return boost::leaf::new_error(json::malformed("the store granted a lease without an identity"));
    }
    return lease;
}

Result<Renewal> StoreClient::renewLease(std::uint64_t lease)
{
    BOOST_LEAF_AUTO(answer, call(HttpMethod::Post, "/api/kv-keep/" + std::to_string(lease), "{}", {}));
    if (answer.status == s_notFound) {
        return Renewal::Ended;
    }
    if (answer.status != s_ok) {
        return boost::leaf::new_error(failureOf(answer));
    }
    return Renewal::Renewed;
}

Result<HttpAnswer>
StoreClient::call(HttpMethod method, const std::string &path, const std::string &body, std::chrono::milliseconds extra)
{
    BOOST_LEAF_AUTO(answer, m_connection.exchange({method, path, body}, Clock::now() + m_timeLimit + extra));
    const auto field = answer.headers["Store-Era"];
    std::from_chars(field.data(), field.data() + field.size(), m_era);
    return answer;
}

std::uint64_t StoreClient::era() const
{
    return m_era;
}

} // namespace samphireswitch::platform
