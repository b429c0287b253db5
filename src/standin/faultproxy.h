#pragma once

#include "standin/faultrules.h"
#include "standin/tcprelay.h"
#include "standin/udprelay.h"

namespace samphireswitch::standin {

/** Relays UDP and TCP from one address to another and applies one set of faults to both. */
class FaultProxy
{
public:
    /** Datagrams and connections go to the first of @p targets, duplicated datagrams to the others. */
    FaultProxy(boost::asio::io_context &context, const std::vector<Endpoint> &targets, std::uint64_t seed);

    /** Fails with ResultCode::SocketError. */
    Result<void> listen(const Endpoint &endpoint);

    /** Executes a command of FaultRules. */
    std::string execute(const std::string &command);

private:
    FaultRules m_rules;
    UdpRelay m_udp;
    TcpRelay m_tcp;
};

} // namespace samphireswitch::standin
