#pragma once

#include "loop.h"
#include "packet.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace review {

/** Opens a non-blocking UDP socket. Throws std::runtime_error if the address is not free. */
int openUdp(const Address &address);
void sendUdp(int descriptor, const Address &to, std::string_view bytes);
/** Receives one datagram and the address of the machine that sent it. Returns false if none is queued. */
bool receiveUdp(int descriptor, std::string &bytes, std::uint32_t &senderIp);

/** An HTTP/1.1 request without the headers that the stand-ins do not use. */
struct HttpRequest
{
    std::string method;
    std::string target;
    std::string body;
};

/** Sends the response of a request: status and JSON body. May be called later, once. */
using HttpRespond = std::function<void(int status, const std::string &body)>;
using HttpHandler = std::function<void(const HttpRequest &request, const HttpRespond &respond)>;

/** Serves HTTP/1.1 on @p address until the loop ends. Throws std::runtime_error if the address is not free. */
int serveHttp(Loop &loop, const Address &address, const HttpHandler &handler);

/** Makes one HTTP call. @p done gets the status, or 0 if no response arrived within @p limit. */
void callHttp(Loop &loop,
              const Address &address,
              const HttpRequest &request,
              Milliseconds limit,
              const std::function<void(int status)> &done);

} // namespace review
