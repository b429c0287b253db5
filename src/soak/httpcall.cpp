#include "soak/httpcall.h"

#include "standin/sockets.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <utility>

namespace samphireswitch::soak {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/** Lives as long as one of its handlers is pending. */
class PendingCall : public std::enable_shared_from_this<PendingCall>
{
public:
    PendingCall(boost::asio::io_context &context, const HttpCall &call, std::function<void(unsigned)> done)
        : m_stream(context)
        , m_done(std::move(done))
    {
        m_request.method_string(call.method);
        m_request.target(call.target);
        m_request.set(http::field::host, "localhost");
        m_request.set(http::field::content_type, "application/json");
        m_request.keep_alive(false);
        m_request.body() = call.body;
        m_request.prepare_payload();
    }

    void start(const Endpoint &server, std::chrono::milliseconds limit)
    {
        m_stream.expires_after(limit);
        m_stream.async_connect(standin::toTcp(server), [self = shared_from_this()](const error_code &error) {
            if (!self->hasFailed(error)) {
                self->write();
            }
        });
    }

private:
    void write()
    {
        http::async_write(m_stream, m_request, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!self->hasFailed(error)) {
                self->read();
            }
        });
    }

    void read()
    {
        http::async_read(
            m_stream, m_buffer, m_response, [self = shared_from_this()](const error_code &error, std::size_t) {
                if (!self->hasFailed(error)) {
                    self->m_done(self->m_response.result_int());
                }
            });
    }

    bool hasFailed(const error_code &error)
    {
        if (error) {
            m_done(0);
        }
        return static_cast<bool>(error);
    }

    boost::beast::tcp_stream m_stream;
    std::function<void(unsigned)> m_done;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    boost::beast::flat_buffer m_buffer;
};

} // namespace

void startHttpCall(boost::asio::io_context &context,
                   const Endpoint &server,
                   const HttpCall &call,
                   std::chrono::milliseconds limit,
                   std::function<void(unsigned status)> done)
{
    std::make_shared<PendingCall>(context, call, std::move(done))->start(server, limit);
}

} // namespace samphireswitch::soak
