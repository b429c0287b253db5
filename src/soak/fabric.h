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
    std::string failureDomain;
};

/** Where routers send the packets of a caller. */
struct RouterSettings
{
    /** Only to balancers of the caller's failure domain, if any of them is in rotation. */
    bool isZoned = false;
    /** Callers' addresses belong to them in turn. */
    std::vector<std::string> failureDomains;
    std::uint64_t seed = 1;
};

/** The platform's routers: hand each packet of a caller to a balancer in rotation. PROTOCOL.md, section Ingress. */
class Fabric
{
public:
    Fabric(boost::asio::io_context &context,
           std::vector<FabricBalancer> balancers,
           PromiseCheck &check,
           RouterSettings settings);

    /** A machine with a balancer is added. */
    void add(FabricBalancer balancer);
    /** The machine of a balancer is taken away. */
    void remove(const std::string &balancer);

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
        bool isPresent = true;
    };

    void askAll();
    void answered(std::size_t index, unsigned status);
    /** The balancers of @p targets that get packets, and all of them if fewer than half are in rotation. */
    static std::vector<Target *> rotationOf(const std::vector<Target *> &targets);
    /** The balancers that get the packets of a caller. */
    std::vector<Target *> rotation(const Endpoint &caller);
    void transmit(const Endpoint &target, const std::string &bytes);

    boost::asio::io_context &m_context;
    PromiseCheck &m_check;
    RouterSettings m_settings;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::vector<Target> m_targets;
};

} // namespace samphireswitch::soak
