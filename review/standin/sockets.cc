#include "sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr std::size_t s_blockSize = 65536;
constexpr int s_queueLength = 64;

sockaddr_in toSystem(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

void bindTo(int descriptor, const Address &address)
{
    const sockaddr_in system = toSystem(address);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        throw std::runtime_error("the address " + toString(address) + " is not free");
    }
}

std::size_t contentLength(std::string_view head)
{
    std::string lower(head);
    for (char &letter : lower) {
        letter = static_cast<char>(tolower(letter));
    }
    constexpr std::string_view name = "content-length:";
    const std::size_t at = lower.find(name);
    std::size_t length = 0;
    if (at != std::string::npos) {
        const std::size_t digits = lower.find_first_not_of(' ', at + name.size());
        std::from_chars(lower.data() + digits, lower.data() + lower.size(), length);
    }
    return length;
}

/** Removes one complete message from the front of @p buffer: the head and the body. */
std::optional<std::pair<std::string, std::string>> takeMessage(std::string &buffer)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string head = buffer.substr(0, end);
    const std::size_t length = contentLength(head);
    if (buffer.size() < end + 4 + length) {
        return std::nullopt;
    }
    std::string body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return std::pair(std::move(head), std::move(body));
}

/** Reads what has arrived. Returns false if the connection is closed. */
bool readInto(int descriptor, std::string &buffer)
{
    std::array<char, s_blockSize> block {};
    for (;;) {
        const ssize_t size = recv(descriptor, block.data(), block.size(), MSG_DONTWAIT);
        if (size > 0) {
            buffer.append(block.data(), static_cast<std::size_t>(size));
            continue;
        }
        return size < 0 && (errno == EAGAIN || errno == EINTR || errno == EINPROGRESS || errno == ENOTCONN);
    }
}

/** One connection of an HTTP server; lives while the loop watches it or a response is pending. */
struct ServerConnection : std::enable_shared_from_this<ServerConnection>
{
    ServerConnection(Loop &eventLoop, int socket, HttpHandler requestHandler)
        : loop(eventLoop)
        , descriptor(socket)
        , handler(std::move(requestHandler))
    {
    }

    ~ServerConnection()
    {
        close(descriptor);
    }

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start()
    {
        loop.watch(descriptor, [self = shared_from_this()] { self->readable(); });
    }

    void readable()
    {
        if (!readInto(descriptor, buffer)) {
            loop.unwatch(descriptor);
            return;
        }
        while (const auto message = takeMessage(buffer)) {
            const std::string &head = message->first;
            const std::size_t first = head.find(' ');
            const std::size_t second = head.find(' ', first + 1);
            const HttpRequest request {
                head.substr(0, first), head.substr(first + 1, second - first - 1), message->second};
            handler(request,
                    [self = shared_from_this()](int status, const std::string &body) { self->respond(status, body); });
        }
    }

    void respond(int status, const std::string &body) const
    {
        const std::string text = "HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
        send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    }

    Loop &loop;
    int descriptor;
    HttpHandler handler;
    std::string buffer;
};

/** State of one call of callHttp(). */
struct ClientCall
{
    int descriptor = -1;
    std::string buffer;
    bool isDone = false;
};

} // namespace

int openUdp(const Address &address)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bindTo(descriptor, address);
    return descriptor;
}

void sendUdp(int descriptor, const Address &to, std::string_view bytes)
{
    const sockaddr_in system = toSystem(to);
    // A send may fail because an earlier datagram was refused; the second call sends this one.
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto *target = reinterpret_cast<const sockaddr *>(&system);
        if (sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT, target, sizeof(system)) >= 0) {
            return;
        }
    }
}

bool receiveUdp(int descriptor, std::string &bytes, std::uint32_t &senderIp)
{
    bytes.resize(s_blockSize);
    for (int attempt = 0; attempt < 2; ++attempt) {
        sockaddr_in sender {};
        socklen_t length = sizeof(sender);
        auto *address = reinterpret_cast<sockaddr *>(&sender);
        const ssize_t size = recvfrom(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT, address, &length);
        if (size >= 0) {
            senderIp = ntohl(sender.sin_addr.s_addr);
            bytes.resize(static_cast<std::size_t>(size));
            return true;
        }
    }
    return false;
}

int serveHttp(Loop &loop, const Address &address, const HttpHandler &handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    bindTo(listener, address);
    listen(listener, s_queueLength);
    loop.watch(listener, [&loop, listener, handler] {
        const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            const int noDelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::make_shared<ServerConnection>(loop, accepted, handler)->start();
        }
    });
    return listener;
}

void callHttp(Loop &loop,
              const Address &address,
              const HttpRequest &request,
              Milliseconds limit,
              const std::function<void(int status)> &done)
{
    const auto call = std::make_shared<ClientCall>();
    call->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto finish = [&loop, call, done](int status) {
        if (std::exchange(call->isDone, true)) {
            return;
        }
        loop.unwatch(call->descriptor);
        close(call->descriptor);
        done(status);
    };
    // On loopback, a listening socket completes the connection at once, even if its process is stopped.
    const sockaddr_in system = toSystem(address);
    if (connect(call->descriptor, reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        finish(0);
        return;
    }
    const std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + toString(address)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
        + request.body;
    send(call->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    loop.watch(call->descriptor, [call, finish] {
        const bool isOpen = readInto(call->descriptor, call->buffer);
        if (const auto message = takeMessage(call->buffer)) {
            int status = 0;
            const std::string &head = message->first;
            const std::size_t at = head.find(' ');
            std::from_chars(head.data() + at + 1, head.data() + head.size(), status);
            finish(status);
        } else if (!isOpen) {
            finish(0);
        }
    });
    loop.after(limit, [finish] { finish(0); });
}

} // namespace review
