#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <memory>

struct netif;
struct pbuf;

namespace samphireswitch::standin {

/**
 * The caller's IP stack: lwIP in the calling thread, with one interface that sends each packet to the fabric in a UDP
 * datagram. lwIP's state is global, so a process has at most one instance.
 */
class CallerStack
{
public:
    CallerStack(boost::asio::io_context &context, const Endpoint &fabric, std::uint32_t address);
    CallerStack(const CallerStack &) = delete;
    CallerStack &operator=(const CallerStack &) = delete;
    ~CallerStack();

    /** Fails with ResultCode::SocketError. */
    Result<void> start();

private:
    static signed char initializeInterface(netif *interface);
    void sendPacket(pbuf *packet);
    void waitForPackets();
    void receivePackets();
    void handleTimers();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_fabric;
    boost::asio::steady_timer m_timer;
    std::uint32_t m_address;
    std::unique_ptr<netif> m_interface;
    std::array<std::byte, 65536> m_receiveBuffer {};
    std::array<std::byte, 65536> m_sendBuffer {};
};

} // namespace samphireswitch::standin
