#pragma once

#include "base/endpoint.h"
#include "standin/faultrules.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace samphireswitch::standin {

/** Relays datagrams to the first target and back, and the duplicates in turn to the other targets. */
class UdpRelay
{
public:
    UdpRelay(boost::asio::io_context &context, FaultRules &rules, const std::vector<Endpoint> &targets);

    /** Fails with ResultCode::SocketError. */
    Result<void> listen(const Endpoint &endpoint);

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;
    using UdpSocket = boost::asio::ip::udp::socket;

    struct DelayedDatagram
    {
        UdpSocket *socket = nullptr;
        UdpEndpoint destination;
        std::vector<std::byte> bytes;
    };

    void waitForRequests();
    void waitForReplies(UdpSocket &socket, const UdpEndpoint &client);
    /** Receives one datagram into the buffer; returns false if none is there. */
    bool receive(UdpSocket &socket, UdpEndpoint &sender, std::size_t &size);
    void relay(Direction direction, UdpSocket &socket, const UdpEndpoint &destination, std::size_t size);
    UdpSocket *socketFor(const UdpEndpoint &client);
    UdpEndpoint otherTarget();
    void sendDueDatagrams();

    boost::asio::io_context &m_context;
    FaultRules &m_rules;
    std::vector<UdpEndpoint> m_targets;
    std::size_t m_nextOtherTarget = 0;
    UdpSocket m_socket;
    boost::asio::steady_timer m_timer;
    std::map<UdpEndpoint, std::unique_ptr<UdpSocket>> m_clients;
    std::multimap<TimePoint, DelayedDatagram> m_delayed;
    std::array<std::byte, 65536> m_buffer {};
};

} // namespace samphireswitch::standin
