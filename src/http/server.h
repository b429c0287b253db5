#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::http {

struct Request
{
    /** In capitals, for example `GET`. */
    std::string method;
    /** Path and query. */
    std::string target;
    std::string body;
};

struct Response
{
    unsigned status = 200;
    std::string contentType;
    std::string body;
};

/** Answers one request. Called in the server's thread; must not block. */
using Handler = std::function<Response(const Request &)>;

struct Listener
{
    Endpoint address;
    Handler handler;
};

/**
 * A small HTTP/1.1 server for a process's own interfaces, on one or more addresses. Connections are kept open between
 * requests. All work is done in run(); requestStop() may be called from any thread.
 */
class Server
{
public:
    explicit Server(std::vector<Listener> listeners);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Binds the addresses. Fails with ResultCode::SocketError. */
    Result<void> open();

    void run();
    void requestStop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::http
