#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "soak/promisecheck.h"
#include "standin/faultrules.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::soak {

struct FabricBalancer
{
    /** As `balancer-1`. */
    std::string name;
    Endpoint packets;
    Endpoint readiness;
};

/** The platform's routers: hand each packet of a caller to a balancer in rotation. PROTOCOL.md, section Ingress. */
class Fabric
{
public:
    Fabric(boost::asio::io_context &context,
           std::vector<FabricBalancer> balancers,
           PromiseCheck &check,
           std::uint64_t seed);

    /** Binds the socket and begins to ask the balancers. Fails with ResultCode::SocketError. */
    Result<void> start(const Endpoint &endpoint);

    /** Hands on an encoded packet of a caller. */
    void send(const flow::FlowKey &key, bool isFirst, const std::string &bytes, TimePoint now);

    /** Executes a command of standin::FaultRules for the packets to one balancer. */
    void disturb(const std::string &balancer, const std::string &command);

    /** All balancers are in rotation. */
    bool isComplete() const;

private:
    struct Target
    {
        FabricBalancer balancer;
        standin::FaultRules rules;
        unsigned misses = 0;
        bool isInRotation = false;
    };

    void askAll();
    void answered(std::size_t index, unsigned status);
    std::vector<Target *> rotation();
    void transmit(const Endpoint &target, const std::string &bytes);

    boost::asio::io_context &m_context;
    PromiseCheck &m_check;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::vector<Target> m_targets;
};

} // namespace samphireswitch::soak
