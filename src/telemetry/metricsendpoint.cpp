#include "telemetry/metricsendpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sstream>

namespace samphireswitch::telemetry {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// A client that sends nothing must not hold its connection for ever.
constexpr std::chrono::seconds s_requestTimeout {5};

/** One connection, which serves one request. */
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, const std::function<std::vector<Metric>()> &source)
        : m_stream(std::move(socket))
        , m_source(source)
    {
    }

    void start()
    {
        m_stream.expires_after(s_requestTimeout);
        http::async_read(m_stream, m_buffer, m_request, [self = shared_from_this()](const auto &error, std::size_t) {
            if (!error) {
                self->answer();
            }
        });
    }

private:
    void answer()
    {
        m_response.version(m_request.version());
        m_response.keep_alive(false);
        const bool isMetrics = m_request.method() == http::verb::get && m_request.target() == "/metrics";
        m_response.result(isMetrics ? http::status::ok : http::status::not_found);
        m_response.set(http::field::content_type, "text/plain; version=0.0.4");
        m_response.body() = isMetrics ? renderMetrics(m_source()) : "the metrics are at /metrics\n";
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](const auto &, std::size_t) {
            boost::system::error_code ignored;
            self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    boost::beast::tcp_stream m_stream;
    const std::function<std::vector<Metric>()> &m_source;
    boost::beast::flat_buffer m_buffer;
    http::request<http::empty_body> m_request;
    http::response<http::string_body> m_response;
};

} // namespace

std::string renderMetrics(const std::vector<Metric> &metrics)
{
    std::ostringstream text;
    for (const Metric &metric : metrics) {
        text << "samphireswitch_" << metric.name << ' ' << metric.value << '\n';
    }
    return text.str();
}

class MetricsEndpoint::Private
{
public:
    Private(const Endpoint &listenAddress, std::function<std::vector<Metric>()> metricsSource)
        : address(listenAddress)
        , source(std::move(metricsSource))
    {
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                std::make_shared<Session>(std::move(socket), source)->start();
            }
            accept();
        });
    }

    Endpoint address;
    std::function<std::vector<Metric>()> source;
    boost::asio::io_context context {1};
    tcp::acceptor acceptor {context};
};

MetricsEndpoint::MetricsEndpoint(const Endpoint &address, std::function<std::vector<Metric>()> source)
    : m_d(std::make_unique<Private>(address, std::move(source)))
{
}

MetricsEndpoint::~MetricsEndpoint() = default;

Result<void> MetricsEndpoint::open()
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4(m_d->address.address), m_d->address.port);
    m_d->acceptor.open(endpoint.protocol(), error);
    m_d->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_d->acceptor.bind(endpoint, error);
    if (!error) {
        m_d->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return boost::leaf::new_error(
            Error {ResultCode::SocketError, "cannot listen on TCP " + toString(m_d->address) + ": " + error.message()});
    }
    return {};
}

void MetricsEndpoint::run()
{
    m_d->accept();
    m_d->context.run();
}

void MetricsEndpoint::requestStop()
{
    m_d->context.stop();
}

} // namespace samphireswitch::telemetry
