#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace samphireswitch::standin {

/** A TCP port on which a test changes a stand-in while it runs: one command per line, one line as the response. */
class ControlPort
{
public:
    /** Executes a command and returns the response, without the line end. */
    using Handler = std::function<std::string(const std::string &command)>;

    /** Fails with ResultCode::SocketError if @p endpoint cannot be bound. */
    Result<void> listen(boost::asio::io_context &context, const Endpoint &endpoint, Handler handler);

private:
    void accept();

    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    Handler m_handler;
};

} // namespace samphireswitch::standin
