#include "standin/sockets.h"

#include <sstream>

namespace samphireswitch::standin {

namespace {

// A burst of a whole feed interval for some thousand feeds must fit, or the stand-in itself would lose packets.
constexpr int s_socketBufferBytes = 4 << 20;

auto socketError(const std::string &action, const std::string &address, const boost::system::error_code &error)
{
    return boost::leaf::new_error(
        Error {ResultCode::SocketError, "cannot " + action + " " + address + ": " + error.message()});
}

std::string text(const boost::asio::ip::udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

boost::asio::ip::udp::endpoint toUdp(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

boost::asio::ip::tcp::endpoint toTcp(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

Result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(toTcp(endpoint), error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return socketError("listen on", toString(endpoint), error);
    }
    return {};
}

Result<void> bindTo(boost::asio::ip::udp::socket &socket, const boost::asio::ip::udp::endpoint &endpoint)
{
    boost::system::error_code error;
    socket.open(boost::asio::ip::udp::v4(), error);
    if (!error) {
        socket.bind(endpoint, error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    if (error) {
        return socketError("bind", text(endpoint), error);
    }
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(s_socketBufferBytes), ignored);
    socket.set_option(boost::asio::socket_base::send_buffer_size(s_socketBufferBytes), ignored);
    return {};
}

Result<std::vector<Endpoint>> parseEndpoints(const std::string &list)
{
    std::vector<Endpoint> endpoints;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        BOOST_LEAF_AUTO(endpoint, parseEndpoint(item));
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

} // namespace samphireswitch::standin
