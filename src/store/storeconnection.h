#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace samphireswitch::store {

enum class HttpMethod { Get, Post };

struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;
    /** Path and query. */
    std::string target;
    /** JSON; empty for none. */
    std::string body;
};

struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
    boost::beast::http::fields headers {};
};

/** Largest answer that is read, in bytes. */
constexpr std::size_t s_maximumAnswerSize = std::size_t {16} * 1024 * 1024;

/** One HTTP connection to the store. All calls block until an answer or a deadline. Belongs to one thread. */
class StoreConnection
{
public:
    explicit StoreConnection(const Endpoint &server);

    /**
     * Opens the connection if it is not open, and again if the server has closed it or has sent bytes that belong to no
     * request. Fails with ResultCode::StoreUnavailable.
     */
    Result<void> connect(TimePoint deadline);

    /**
     * Sends a request and reads the answer. Fails with ResultCode::StoreUnavailable when the
     * connection ends or @p deadline passes, and with ResultCode::StoreAnswerMalformed when the answer is not HTTP or
     * larger than s_maximumAnswerSize. Closes the connection on failure.
     */
    Result<HttpAnswer> exchange(const HttpRequest &request, TimePoint deadline);

    /** exchange() of a POST request. */
    Result<HttpAnswer> post(std::string_view path, const std::string &body, TimePoint deadline);

    /** Sends only the request, for an answer that is read as a stream. */
    Result<void> send(const HttpRequest &request, TimePoint deadline);

    /** Waits until bytes can be read or the connection has ended; returns false if @p deadline passed first. */
    bool waitReadable(TimePoint deadline);

    /** Reads what is available without waiting. Fails with ResultCode::StoreUnavailable at the end of the stream. */
    Result<std::string> readAvailable();

    bool isOpen() const;
    void close();

private:
    /** Whether the connection is open and nothing has arrived on it since the last answer. */
    bool isIdle();
    /** Runs the operation that was started until it completes. */
    void runOperation();
    Error unavailable(const boost::system::error_code &error) const;

    Endpoint m_server;
    boost::asio::io_context m_context {1};
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace samphireswitch::store
