#include "store/storeconnection.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace samphireswitch::store {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned s_httpVersion = 11;
constexpr std::size_t s_readBlockSize = 16384;

/** True for errors that come from the transport and not from the content of the answer. */
bool isTransportError(const error_code &error)
{
    return error == beast::error::timeout || error == http::error::end_of_stream
        || error == http::error::partial_message || error.category() == asio::error::get_system_category()
        || error == asio::error::eof;
}

} // namespace

StoreConnection::StoreConnection(const Endpoint &server)
    : m_server(server)
    , m_stream(m_context)
{
}

Result<void> StoreConnection::connect(TimePoint deadline)
{
    if (isIdle()) {
        return {};
    }
    close();
    error_code error;
    m_stream.expires_at(deadline);
    m_stream.async_connect({asio::ip::address_v4(m_server.address), m_server.port},
                           [&error](const error_code &result) { error = result; });
    runOperation();
    if (error) {
        close();
        return boost::leaf::new_error(unavailable(error));
    }
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    return {};
}

Result<void> StoreConnection::send(const HttpRequest &sent, TimePoint deadline)
{
    auto connected = connect(deadline);
    if (!connected) {
        return connected.error();
    }
    const http::verb verb = sent.method == HttpMethod::Get ? http::verb::get : http::verb::post;
    http::request<http::string_body> request(verb, sent.target, s_httpVersion, sent.body);
    request.set(http::field::host, toString(m_server));
    if (!sent.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.prepare_payload();
    error_code error;
    m_stream.expires_at(deadline);
    http::async_write(m_stream, request, [&error](const error_code &result, std::size_t) { error = result; });
    runOperation();
    if (error) {
        close();
        return boost::leaf::new_error(unavailable(error));
    }
    return {};
}

Result<HttpAnswer> StoreConnection::post(std::string_view path, const std::string &body, TimePoint deadline)
{
    return exchange({HttpMethod::Post, std::string(path), body}, deadline);
}

Result<HttpAnswer> StoreConnection::exchange(const HttpRequest &request, TimePoint deadline)
{
    auto sent = send(request, deadline);
    if (!sent) {
        return sent.error();
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(s_maximumAnswerSize);
    error_code error;
    m_stream.expires_at(deadline);
    http::async_read(m_stream, m_buffer, parser, [&error](const error_code &result, std::size_t) { error = result; });
    runOperation();
    if (error) {
        close();
        if (isTransportError(error)) {
            return boost::leaf::new_error(unavailable(error));
        }
        return boost::leaf::new_error(
            Error {ResultCode::StoreAnswerMalformed, "the store's answer is not accepted: " + error.message()});
    }
    auto message = parser.release();
    if (!message.keep_alive()) {
        close();
    }
    return HttpAnswer {message.result_int(), std::move(message.body()), std::move(message.base())};
}

bool StoreConnection::waitReadable(TimePoint deadline)
{
    bool isReadable = false;
    asio::steady_timer timer(m_context, deadline);
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [&](const error_code &error) {
        isReadable = error != asio::error::operation_aborted;
        timer.cancel();
    });
    timer.async_wait([&](const error_code &error) {
        if (!error) {
            m_stream.socket().cancel();
        }
    });
    runOperation();
    return isReadable;
}

Result<std::string> StoreConnection::readAvailable()
{
    error_code error;
    std::array<char, s_readBlockSize> block {};
    m_stream.socket().non_blocking(true, error);
    const std::size_t size = m_stream.socket().read_some(asio::buffer(block), error);
    if (error == asio::error::would_block) {
        return std::string();
    }
    if (error) {
        close();
        return boost::leaf::new_error(unavailable(error));
    }
    return std::string(block.data(), size);
}

bool StoreConnection::isOpen() const
{
    return m_stream.socket().is_open();
}

bool StoreConnection::isIdle()
{
    if (!isOpen() || m_buffer.size() > 0) {
        return false;
    }
    error_code error;
    std::array<char, 1> byte {};
    m_stream.socket().non_blocking(true, error);
    m_stream.socket().read_some(asio::buffer(byte), error);
    // A byte here belongs to a second copy of an answer, which would be taken for the answer to the next request.
    return error == asio::error::would_block;
}

void StoreConnection::close()
{
    m_buffer.clear();
    m_stream.close();
}

void StoreConnection::runOperation()
{
    m_context.restart();
    m_context.run();
}

Error StoreConnection::unavailable(const error_code &error) const
{
    return {ResultCode::StoreUnavailable,
            "the store at " + toString(m_server) + " does not respond: " + error.message()};
}

} // namespace samphireswitch::store
