#pragma once

#include "base/endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <vector>

namespace samphireswitch::standin {

boost::asio::ip::udp::endpoint toUdp(const Endpoint &endpoint);
boost::asio::ip::tcp::endpoint toTcp(const Endpoint &endpoint);

/** Opens, binds and listens. Fails with ResultCode::SocketError. */
Result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

/** Opens a non-blocking socket with large buffers and binds it. Fails with ResultCode::SocketError. */
Result<void> bindTo(boost::asio::ip::udp::socket &socket, const boost::asio::ip::udp::endpoint &endpoint);

/** Parses comma-separated `a.b.c.d:port`. Fails with ResultCode::InvalidAddress. */
Result<std::vector<Endpoint>> parseEndpoints(const std::string &text);

} // namespace samphireswitch::standin
