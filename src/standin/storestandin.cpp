#include "standin/storestandin.h"

#include "base/attempt.h"
#include "standin/storestandindata.h"
#include "telemetry/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace samphireswitch::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t s_maximumConnections = 256;
constexpr std::size_t s_maximumRequestSize = std::size_t {8} * 1024 * 1024;
constexpr std::chrono::milliseconds s_watchCheckInterval {50};
// How soon the stand-in notices that it was told to stop.
constexpr std::chrono::milliseconds s_acceptCheckInterval {50};

using Request = http::request<http::string_body>;

json::object parseRequest(const std::string &body)
{
    error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        throw StoreRequestError("the request is not a JSON object");
    }
    return value.get_object();
}

bool flagField(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_bool() && value->get_bool();
}

StoreFaults readFaults(const json::object &object)
{
    StoreFaults faults;
    faults.unavailable = flagField(object, "unavailable");
    faults.delay = std::chrono::milliseconds(numberField(object, "delay_ms"));
    faults.transactionDelay = std::chrono::milliseconds(numberField(object, "transaction_delay_ms"));
    faults.dropAnswers = static_cast<std::uint32_t>(numberField(object, "drop_answers"));
    faults.dropWatches = flagField(object, "drop_watches");
    if (const json::value *answer = object.if_contains("canned_answer"); answer != nullptr && answer->is_string()) {
        faults.cannedAnswer = answer->get_string().c_str();
    }
    return faults;
}

/** True if the peer has closed the connection. */
bool hasEnded(tcp::socket &socket)
{
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace

class StoreStandIn::Private
{
public:
    Result<void> start(const Endpoint &listen);
    void stop();
    Endpoint endpoint() const;
    void setFaults(const StoreFaults &faults);
    void releaseTransactions();
    void compact();
    void endWatches();
    std::map<std::string, std::uint64_t> calls() const;

private:
    struct Connection
    {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        std::atomic<bool> isDone {false};
        std::thread thread;
    };

    void acceptConnections();
    void joinFinished();
    void serve(tcp::socket &socket);
    /** Answers one request; returns false if the connection must end. */
    bool answer(tcp::socket &socket, const Request &request);
    bool answerControl(tcp::socket &socket, const Request &request);
    bool send(tcp::socket &socket, const Request &request, http::status status, const std::string &body) const;
    json::object perform(const std::string &path, const json::object &request);
    bool watch(tcp::socket &socket, const json::object &request);
    /** Sends the events of a watch until it ends. */
    void sendEvents(tcp::socket &socket, const json::object &request);
    /** Sends one message of a watch; returns false if the connection has ended. */
    static bool sendChunk(tcp::socket &socket, const json::object &message);
    /** Waits the time of a fault; ends early when the stand-in stops. */
    void pause(std::unique_lock<std::mutex> &lock, std::chrono::milliseconds duration);
    /** Waits for the release of the transactions that are held now, or until the stand-in stops. */
    void awaitRelease(std::unique_lock<std::mutex> &lock);

    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context};
    std::thread m_acceptThread;
    std::list<Connection> m_connections;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    StoreStandInData m_data;
    StoreFaults m_faults;
    std::map<std::string, std::uint64_t> m_calls;
    /** Raised to end all watches that began before. */
    std::uint64_t m_watchEpoch = 0;
    /** Raised to release the transactions that were held before. */
    std::uint64_t m_releases = 0;
};

Result<void> StoreStandIn::Private::start(const Endpoint &listen)
{
    error_code error;
    const tcp::endpoint address(asio::ip::address_v4(listen.address), listen.port);
    m_acceptor.open(tcp::v4(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(address, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        m_acceptor.non_blocking(true, error);
    }
    if (error) {
        return boost::leaf::new_error(
            Error {ResultCode::SocketError, "cannot listen on " + toString(listen) + ": " + error.message()});
    }
    m_acceptThread = std::thread([this] { acceptConnections(); });
    return {};
}

void StoreStandIn::Private::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    if (m_acceptThread.joinable()) {
        m_acceptThread.join();
    }
    for (Connection &connection : m_connections) {
        ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
        connection.thread.join();
    }
    m_connections.clear();
    error_code ignored;
    m_acceptor.close(ignored);
}

Endpoint StoreStandIn::Private::endpoint() const
{
    const tcp::endpoint address = m_acceptor.local_endpoint();
    return {address.address().to_v4().to_uint(), address.port()};
}

void StoreStandIn::Private::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_changed.notify_all();
}

void StoreStandIn::Private::releaseTransactions()
{
    const std::lock_guard lock(m_mutex);
    ++m_releases;
    m_changed.notify_all();
}

void StoreStandIn::Private::compact()
{
    const std::lock_guard lock(m_mutex);
    m_data.compact();
    ++m_watchEpoch;
    m_changed.notify_all();
}

void StoreStandIn::Private::endWatches()
{
    const std::lock_guard lock(m_mutex);
    ++m_watchEpoch;
    m_changed.notify_all();
}

std::map<std::string, std::uint64_t> StoreStandIn::Private::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

void StoreStandIn::Private::acceptConnections()
{
    while (true) {
        pollfd waiting {m_acceptor.native_handle(), POLLIN, 0};
        ::poll(&waiting, 1, static_cast<int>(s_acceptCheckInterval.count()));
        error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping) {
                return;
            }
        }
        joinFinished();
        if (error) {
            continue;
        }
        if (m_connections.size() >= s_maximumConnections) {
            continue;
        }
        socket.non_blocking(false, error);
        socket.set_option(tcp::no_delay(true), error);
        Connection &connection = m_connections.emplace_back(std::move(socket));
        connection.thread = std::thread([this, &connection] {
            serve(connection.socket);
            ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
            connection.isDone = true;
        });
    }
}

void StoreStandIn::Private::joinFinished()
{
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        if (!connection->isDone) {
            ++connection;
            continue;
        }
        connection->thread.join();
        connection = m_connections.erase(connection);
    }
}

void StoreStandIn::Private::serve(tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen) {
        error_code error;
        http::request_parser<http::string_body> parser;
        parser.body_limit(s_maximumRequestSize);
        http::read(socket, buffer, parser, error);
        if (error) {
            return;
        }
        isOpen = answer(socket, parser.get());
    }
}

bool StoreStandIn::Private::answer(tcp::socket &socket, const Request &request)
{
    const std::string path(request.target());
    try {
        if (path.starts_with("/standin/")) {
            return answerControl(socket, request);
        }
        const json::object body = parseRequest(request.body());
        std::unique_lock lock(m_mutex);
        ++m_calls[path];
        const bool isTransaction = path == "/v3/kv/txn";
        if (isTransaction && m_faults.holdTransactions) {
            awaitRelease(lock);
        }
        pause(lock, m_faults.delay + (isTransaction ? m_faults.transactionDelay : std::chrono::milliseconds(0)));
        if (m_faults.unavailable || m_isStopping) {
            return false;
        }
        if (!m_faults.cannedAnswer.empty()) {
            const std::string canned = m_faults.cannedAnswer;
            lock.unlock();
            return send(socket, request, http::status::ok, canned);
        }
        if (path == "/v3/watch") {
            lock.unlock();
            return watch(socket, body);
        }
        m_data.expireLeases(Clock::now());
        const std::string content = json::serialize(perform(path, body));
        m_changed.notify_all();
        if (isTransaction && m_faults.dropAnswers > 0) {
            --m_faults.dropAnswers;
            return false;
        }
        lock.unlock();
        return send(socket, request, http::status::ok, content);
    } catch (const StoreRequestError &error) {
        const json::object body {{"error", error.what()}, {"message", error.what()}, {"code", 11}};
        return send(socket, request, http::status::bad_request, json::serialize(body));
    }
}

bool StoreStandIn::Private::answerControl(tcp::socket &socket, const Request &request)
{
    json::object content;
    if (request.target() == "/standin/faults") {
        setFaults(readFaults(parseRequest(request.body())));
    } else if (request.target() == "/standin/compact") {
        compact();
    } else if (request.target() == "/standin/calls") {
        for (const auto &[path, count] : calls()) {
            content[path] = count;
        }
    } else {
        return send(socket, request, http::status::not_found, "{}");
    }
    return send(socket, request, http::status::ok, json::serialize(content));
}

bool StoreStandIn::Private::send(tcp::socket &socket,
                                 const Request &request,
                                 http::status status,
                                 const std::string &body) const
{
    http::response<http::string_body> response(status, request.version(), body);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    error_code error;
    http::write(socket, response, error);
    return !error && request.keep_alive();
}

json::object StoreStandIn::Private::perform(const std::string &path, const json::object &request)
{
    if (path == "/v3/kv/range") {
        return m_data.range(request);
    }
    if (path == "/v3/kv/put") {
        return m_data.put(request);
    }
    if (path == "/v3/kv/txn") {
        return m_data.transaction(request);
    }
    if (path == "/v3/lease/grant") {
        return m_data.grantLease(request, Clock::now());
    }
    if (path == "/v3/lease/keepalive") {
        return m_data.keepLeaseAlive(request, Clock::now());
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
        return m_data.revokeLease(request);
    }
    throw StoreRequestError("the path is not supported: " + path);
}

bool StoreStandIn::Private::watch(tcp::socket &socket, const json::object &request)
{
    http::response<http::empty_body> response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    error_code error;
    http::write_header(socket, serializer, error);
    if (!error) {
        sendEvents(socket, objectField(request, "create_request"));
    }
    return false;
}

void StoreStandIn::Private::sendEvents(tcp::socket &socket, const json::object &request)
{
    const std::string key = bytesField(request, "key");
    const std::string rangeEnd = bytesField(request, "range_end");
    std::int64_t from = numberField(request, "start_revision");
    std::unique_lock lock(m_mutex);
    const std::uint64_t epoch = m_watchEpoch;
    json::object message {{"header", m_data.header()}, {"created", true}};
    if (from != 0 && from <= m_data.compactedRevision()) {
        message["canceled"] = true;
        message["compact_revision"] = std::to_string(m_data.compactedRevision());
    }
    from = from == 0 ? m_data.revision() + 1 : from;
    lock.unlock();
    if (!sendChunk(socket, message) || message.contains("canceled")) {
        return;
    }
    while (!hasEnded(socket)) {
        lock.lock();
        if (m_isStopping || m_faults.unavailable || m_faults.dropWatches || m_watchEpoch != epoch) {
            return;
        }
        json::array events;
        for (const StoreEvent &event : m_data.eventsSince(key, rangeEnd, from)) {
            json::object entry {{"kv", StoreStandInData::toJson(event)}};
            if (event.version == 0) {
                entry["type"] = "DELETE";
            }
            events.push_back(std::move(entry));
        }
        from = m_data.revision() + 1;
        if (events.empty()) {
            m_changed.wait_for(lock, s_watchCheckInterval);
            lock.unlock();
            continue;
        }
        message = {{"header", m_data.header()}, {"events", std::move(events)}};
        lock.unlock();
        if (!sendChunk(socket, message)) {
            return;
        }
    }
}

bool StoreStandIn::Private::sendChunk(tcp::socket &socket, const json::object &message)
{
    const std::string line = json::serialize(json::object {{"result", message}}) + '\n';
    error_code error;
    asio::write(socket, http::make_chunk(asio::buffer(line)), error);
    return !error;
}

void StoreStandIn::Private::pause(std::unique_lock<std::mutex> &lock, std::chrono::milliseconds duration)
{
    m_changed.wait_until(lock, Clock::now() + duration, [this] { return m_isStopping; });
}

void StoreStandIn::Private::awaitRelease(std::unique_lock<std::mutex> &lock)
{
    m_changed.wait(lock, [this, releases = m_releases] { return m_isStopping || m_releases != releases; });
}

StoreStandIn::StoreStandIn()
    : m_private(std::make_unique<Private>())
{
}

StoreStandIn::~StoreStandIn()
{
    stop();
}

Result<void> StoreStandIn::start(const Endpoint &listen)
{
    return m_private->start(listen);
}

void StoreStandIn::stop()
{
    m_private->stop();
}

Endpoint StoreStandIn::endpoint() const
{
    return m_private->endpoint();
}

void StoreStandIn::setFaults(const StoreFaults &faults)
{
    m_private->setFaults(faults);
}

void StoreStandIn::releaseTransactions()
{
    m_private->releaseTransactions();
}

void StoreStandIn::compact()
{
    m_private->compact();
}

void StoreStandIn::endWatches()
{
    m_private->endWatches();
}

std::map<std::string, std::uint64_t> StoreStandIn::calls() const
{
    return m_private->calls();
}

int runStoreStandIn(const Endpoint &listen)
{
    // The signals must be registered before the threads start, so that none of them ends the process.
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    StoreStandIn store;
    const auto started = attempt([&] { return store.start(listen); });
    if (const Error *error = std::get_if<Error>(&started)) {
        telemetry::log(telemetry::Severity::Error, error->message);
        return 1;
    }
    telemetry::log(telemetry::Severity::Info, "the stand-in for the store listens on " + toString(store.endpoint()));
    signals.async_wait([](const error_code &, int) {});
    context.run();
    store.stop();
    return 0;
}

} // namespace samphireswitch::standin
