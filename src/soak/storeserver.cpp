#include "soak/storeserver.h"

#include "base/attempt.h"
#include "standin/sockets.h"
#include "store/storejson.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace samphireswitch::soak {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::milliseconds s_leaseInterval {100};
constexpr std::chrono::milliseconds s_longestWatch {30000};
constexpr unsigned s_badRequest = 400;
constexpr unsigned s_notFound = 404;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** The value of @p name in the query of @p target. The keys of this project need no escapes. */
std::string parameter(std::string_view target, std::string_view name)
{
    const std::size_t query = target.find('?');
    std::string_view rest = query == std::string_view::npos ? std::string_view() : target.substr(query + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
            return std::string(pair.substr(name.size() + 1));
        }
    }
    return {};
}

} // namespace

/** One connection; lives as long as one of its handlers is pending. */
class StoreServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::ip::tcp::socket socket, StoreServer &server)
        : m_stream(std::move(socket))
        , m_server(server)
        , m_watchTimer(server.m_context)
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(
            m_stream, m_buffer, m_request, [self = shared_from_this()](const error_code &error, std::size_t) {
                if (!error) {
                    self->answer();
                }
            });
    }

private:
    void answer()
    {
        const std::string target(m_request.target());
        if (target.starts_with("/api/kv-watch")) {
            watch(parameter(target, "prefix"),
                  parseNumber(parameter(target, "after")),
                  std::chrono::milliseconds(parseNumber(parameter(target, "wait_ms"))));
            return;
        }
        write(answerTo(target));
        m_server.answerWatches();
    }

    StoreAnswer answerTo(const std::string &target)
    {
        const auto outcome = attempt([&] { return perform(target); });
        if (const Error *error = std::get_if<Error>(&outcome)) {
            return {s_badRequest, {{"error", error->message}}};
        }
        return std::get<StoreAnswer>(outcome);
    }

    Result<boost::json::object> readBody() const
    {
        BOOST_LEAF_AUTO(value, store::json::parse(m_request.body()));
        return store::json::readObject(value, "the body");
    }

    Result<StoreAnswer> perform(const std::string &target)
    {
        StoreData &data = m_server.m_data;
        const std::string path = target.substr(0, target.find('?'));
        const std::string last = path.substr(path.rfind('/') + 1);
        if (path == "/api/kv-key") {
            return data.read(parameter(target, "key"));
        }
        if (path == "/api/kv-range") {
            return data.readPrefix(parameter(target, "prefix"), parameter(target, "after"));
        }
        if (path == "/api/kv-txn") {
            BOOST_LEAF_AUTO(body, readBody());
            return data.transaction(body);
        }
        if (path == "/api/kv-lease") {
            BOOST_LEAF_AUTO(body, readBody());
            return data.grantLease(body, Clock::now());
        }
        if (path.starts_with("/api/kv-keep/")) {
            return data.renewLease(parseNumber(last), Clock::now());
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            return data.endLease(parseNumber(last));
        }
        return StoreAnswer {s_notFound, {}};
    }

    void watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait)
    {
        const auto tryAnswer = [self = shared_from_this(), prefix, after] {
            if (self->m_isAnswered) {
                return true;
            }
            const auto answer = self->m_server.m_data.watch(prefix, after);
            if (answer) {
                self->m_isAnswered = true;
                self->m_watchTimer.cancel();
                self->write(*answer);
            }
            return self->m_isAnswered;
        };
        m_isAnswered = false;
        if (tryAnswer()) {
            return;
        }
        m_server.m_watches.emplace_back(tryAnswer);
        m_watchTimer.expires_after(std::min(wait, s_longestWatch));
        m_watchTimer.async_wait([self = shared_from_this(), after](const error_code &error) {
            if (!error && !std::exchange(self->m_isAnswered, true)) {
                self->write(self->m_server.m_data.emptyWatch(after));
                self->m_server.answerWatches();
            }
        });
    }

    void write(const StoreAnswer &answer)
    {
        m_response = http::response<http::string_body>(static_cast<http::status>(answer.status), m_request.version());
        m_response.set(http::field::content_type, "application/json");
        m_response.body() = boost::json::serialize(answer.body);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (!error) {
                self->read();
            }
        });
    }

    boost::beast::tcp_stream m_stream;
    StoreServer &m_server;
    boost::asio::steady_timer m_watchTimer;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    bool m_isAnswered = false;
};

StoreServer::StoreServer(boost::asio::io_context &context)
    : m_context(context)
    , m_acceptor(context)
    , m_timer(context)
{
}

Result<void> StoreServer::listen(const Endpoint &endpoint)
{
    BOOST_LEAF_CHECK(standin::listenOn(m_acceptor, endpoint));
    accept();
    expireLeases();
    return {};
}

void StoreServer::put(const std::string &key, std::string value)
{
    m_data.put(key, std::move(value));
    answerWatches();
}

void StoreServer::erase(const std::string &key)
{
    m_data.erase(key);
    answerWatches();
}

void StoreServer::forgetHistory()
{
    m_data.forgetHistory();
    answerWatches();
}

void StoreServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<Connection>(std::move(socket), *this)->read();
        }
        accept();
    });
}

void StoreServer::expireLeases()
{
    m_timer.expires_after(s_leaseInterval);
    m_timer.async_wait([this](const error_code &error) {
        if (error) {
            return;
        }
        m_data.expireLeases(Clock::now());
        answerWatches();
        expireLeases();
    });
}

void StoreServer::answerWatches()
{
    m_watches.remove_if([](const PendingWatch &watch) { return watch(); });
}

} // namespace samphireswitch::soak
