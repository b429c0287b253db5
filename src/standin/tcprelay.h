#pragma once

#include "base/endpoint.h"
#include "standin/faultrules.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace samphireswitch::standin {

/** Relays TCP connections to one target. Cut and frozen directions hold their bytes until they are healed. */
class TcpRelay
{
public:
    TcpRelay(boost::asio::io_context &context, FaultRules &rules, const Endpoint &target);

    /** Fails with ResultCode::SocketError. */
    Result<void> listen(const Endpoint &endpoint);

private:
    void accept();

    FaultRules &m_rules;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace samphireswitch::standin
