#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <optional>

namespace samphireswitch::http {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

// A client that sends nothing must not hold its connection for ever; the usual clients call every second or so.
constexpr std::chrono::seconds s_idleTimeout {15};
// The largest body that a caller of these interfaces sends is a report of a few hundred bytes.
constexpr std::size_t s_maximumBodySize = std::size_t {64} * 1024;

/** One connection, which serves one request after the other. */
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, const Handler &handler)
        : m_stream(std::move(socket))
        , m_handler(handler)
    {
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(s_maximumBodySize);
        m_stream.expires_after(s_idleTimeout);
        beast::http::async_read(
            m_stream, m_buffer, *m_parser, [self = shared_from_this()](const auto &error, std::size_t) {
                if (!error) {
                    self->answer();
                }
            });
    }

private:
    void answer()
    {
        const auto &request = m_parser->get();
        const Response response =
            m_handler({std::string(request.method_string()), std::string(request.target()), request.body()});
        m_response = {};
        m_response.version(request.version());
        m_response.keep_alive(request.keep_alive());
        m_response.result(response.status);
        m_response.set(beast::http::field::content_type, response.contentType);
        m_response.body() = response.body;
        m_response.prepare_payload();
        beast::http::async_write(m_stream, m_response, [self = shared_from_this()](const auto &error, std::size_t) {
            self->finish(!error);
        });
    }

    void finish(bool written)
    {
        if (written && m_response.keep_alive()) {
            read();
            return;
        }
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream m_stream;
    const Handler &m_handler;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    beast::http::response<beast::http::string_body> m_response;
};

struct BoundListener
{
    BoundListener(boost::asio::io_context &context, Listener bound)
        : listener(std::move(bound))
        , acceptor(context)
    {
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                std::make_shared<Session>(std::move(socket), listener.handler)->read();
            }
            accept();
        });
    }

    Listener listener;
    tcp::acceptor acceptor;
};

Result<void> bind(tcp::acceptor &acceptor, const Endpoint &address)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4(address.address), address.port);
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return boost::leaf::new_error(
            Error {ResultCode::SocketError, "cannot listen on TCP " + toString(address) + ": " + error.message()});
    }
    return {};
}

} // namespace

class Server::Private
{
public:
    boost::asio::io_context context {1};
    std::vector<std::unique_ptr<BoundListener>> listeners;
};

Server::Server(std::vector<Listener> listeners)
    : m_d(std::make_unique<Private>())
{
    for (Listener &listener : listeners) {
        m_d->listeners.push_back(std::make_unique<BoundListener>(m_d->context, std::move(listener)));
    }
}

Server::~Server() = default;

Result<void> Server::open()
{
    for (const auto &bound : m_d->listeners) {
        BOOST_LEAF_CHECK(bind(bound->acceptor, bound->listener.address));
    }
    return {};
}

void Server::run()
{
    for (const auto &bound : m_d->listeners) {
        bound->accept();
    }
    m_d->context.run();
}

void Server::requestStop()
{
    m_d->context.stop();
}

} // namespace samphireswitch::http
