#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "flow/packetview.h"
#include "standin/controlport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace samphireswitch::standin {

struct FabricSettings
{
    Endpoint listen;
    std::vector<Endpoint> balancers;
    /** Packets whose inner source is one of these addresses go to the caller that they are addressed to. */
    std::unordered_set<std::uint32_t> services;
    std::chrono::microseconds delay {0};
    std::uint64_t seed = 0;
};

/** The operators' network: sprays the packets of callers over all balancers and delivers answers to callers. */
class Fabric
{
public:
    Fabric(boost::asio::io_context &context, FabricSettings settings);

    /** Fails with ResultCode::SocketError. */
    Result<void> start();

    /**
     * Commands of the control port: `balancers ip:port,...` replaces the balancers that packets are sprayed over,
     * `counts` returns the counts.
     */
    std::string execute(const std::string &command);

    /** Packets per balancer, and over how many balancers the packets of each flow were spread. */
    boost::json::object counts() const;

private:
    struct FlowCount
    {
        std::uint64_t packets = 0;
        std::unordered_set<std::size_t> balancers;
    };

    struct DelayedPacket
    {
        TimePoint due;
        boost::asio::ip::udp::endpoint destination;
        std::vector<std::byte> bytes;
    };

    void waitForPackets();
    void receivePackets();
    void handlePacket(std::span<const std::byte> bytes, const boost::asio::ip::udp::endpoint &sender);
    void sprayPacket(const flow::PacketView &packet);
    void sendLater(std::span<const std::byte> bytes, const boost::asio::ip::udp::endpoint &destination);
    void sendNow(std::span<const std::byte> bytes, const boost::asio::ip::udp::endpoint &destination);
    void armDelayTimer();
    void sendDuePackets();
    std::size_t balancerNumber(const Endpoint &balancer);

    FabricSettings m_settings;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_delayTimer;
    std::mt19937_64 m_random;
    std::array<std::byte, 65536> m_buffer {};
    std::deque<DelayedPacket> m_delayed;
    std::unordered_map<std::uint32_t, boost::asio::ip::udp::endpoint> m_callers;
    std::unordered_map<flow::FlowKey, FlowCount> m_flows;
    std::vector<Endpoint> m_knownBalancers;
    std::vector<std::uint64_t> m_packetsPerBalancer;
    std::uint64_t m_packetsToCallers = 0;
    std::uint64_t m_packetsDropped = 0;
};

} // namespace samphireswitch::standin
