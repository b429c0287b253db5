#include "store/storewatch.h"

#include "base/attempt.h"
#include "store/base64.h"
#include "store/storejson.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace samphireswitch::store {

namespace {

namespace http = boost::beast::http;

constexpr unsigned s_statusOk = 200;
// A message carries the value of the watched key, of at most a megabyte, as base64, for each of a few events.
constexpr std::size_t s_maximumMessageSize = std::size_t {8} * 1024 * 1024;

} // namespace

StoreWatch::StoreWatch(const Endpoint &server)
    : m_connection(server)
{
}

Result<void> StoreWatch::open(const std::string &key, Revision startRevision, std::chrono::milliseconds timeLimit)
{
    close();
    const boost::json::object request {
        {"create_request", {{"key", encodeBase64(key)}, {"start_revision", std::to_string(startRevision)}}}};
    auto sent =
        m_connection.send({HttpMethod::Post, "/v3/watch", boost::json::serialize(request)}, Clock::now() + timeLimit);
    if (!sent) {
        return sent.error();
    }
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->eager(true);
    return {};
}

Result<bool> StoreWatch::wait(TimePoint deadline)
{
    auto result = waitUnguarded(deadline);
    if (!result) {
        close();
    }
    return result;
}

Result<bool> StoreWatch::waitUnguarded(TimePoint deadline)
{
    if (!isOpen()) {
        return boost::leaf::new_error(Error {ResultCode::StoreUnavailable, "the watch is not open"});
    }
    while (true) {
        while (const auto line = takeLine()) {
            BOOST_LEAF_AUTO(isWrite, readMessage(*line));
            if (isWrite) {
                return true;
            }
        }
        if (m_parser->is_done()) {
            return boost::leaf::new_error(Error {ResultCode::StoreUnavailable, "the store ended the watch"});
        }
        if (!m_connection.waitReadable(deadline)) {
            return false;
        }
        BOOST_LEAF_AUTO(bytes, m_connection.readAvailable());
        m_arrived += bytes;
        auto parsed = parseArrived();
        if (!parsed) {
            return parsed.error();
        }
    }
}

bool StoreWatch::isOpen() const
{
    return m_parser.has_value() && m_connection.isOpen();
}

void StoreWatch::close()
{
    m_connection.close();
    m_parser.reset();
    m_arrived.clear();
}

Result<void> StoreWatch::parseArrived()
{
    while (!m_arrived.empty() && !m_parser->is_done()) {
        boost::system::error_code error;
        const std::size_t consumed = m_parser->put(boost::asio::buffer(m_arrived), error);
        m_arrived.erase(0, consumed);
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            return boost::leaf::new_error(json::malformed("the answer to a watch is not HTTP: " + error.message()));
        }
    }
    if (m_arrived.size() + m_parser->get().body().size() > s_maximumMessageSize) {
        return boost::leaf::new_error(json::malformed("a message of a watch is too large"));
    }
    if (m_parser->is_header_done() && m_parser->get().result_int() != s_statusOk) {
        return boost::leaf::new_error(
            Error {ResultCode::StoreUnavailable,
                   "the store answered a watch with status " + std::to_string(m_parser->get().result_int())});
    }
    return {};
}

std::optional<std::string> StoreWatch::takeLine()
{
    std::string &body = m_parser->get().body();
    const auto end = body.find('\n');
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string line = body.substr(0, end);
    body.erase(0, end + 1);
    return line;
}

Result<bool> StoreWatch::readMessage(const std::string &line)
{
    BOOST_LEAF_AUTO(value, json::parse(line));
    BOOST_LEAF_AUTO(message, json::readObject(value, "a message of a watch"));
    const boost::json::value *inner = message.if_contains("result");
    if (inner == nullptr) {
        return boost::leaf::new_error(Error {ResultCode::StoreUnavailable, "the watch failed: " + line});
    }
    BOOST_LEAF_AUTO(result, json::readObject(*inner, "the result of a watch"));
    BOOST_LEAF_AUTO(compacted, json::readNumber(result, "compact_revision", std::numeric_limits<std::int64_t>::max()));
    BOOST_LEAF_AUTO(isCanceled, json::readBool(result, "canceled"));
    if (compacted != 0) {
        return boost::leaf::new_error(
            Error {ResultCode::StoreCompacted, "the store has discarded revisions below " + std::to_string(compacted)});
    }
    if (isCanceled) {
        return boost::leaf::new_error(Error {ResultCode::StoreUnavailable, "the store cancelled the watch"});
    }
    BOOST_LEAF_AUTO(events, json::readObjects(result, "events"));
    return !events.empty();
}

} // namespace samphireswitch::store
