#include "agent/upstreamprobe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace samphireswitch::agent {

ProbeOutcome probeUpstream(const Endpoint &upstream, std::chrono::milliseconds limit)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::socket socket(context);
    ProbeOutcome outcome = ProbeOutcome::Unanswered;
    const tcp::endpoint target(boost::asio::ip::address_v4(upstream.address), upstream.port);
    socket.async_connect(target, [&outcome](const boost::system::error_code &error) {
        if (!error) {
            outcome = ProbeOutcome::Listening;
        } else if (error == boost::asio::error::connection_refused) {
            outcome = ProbeOutcome::Refused;
        }
    });
    context.run_for(limit);
    return outcome;
}

} // namespace samphireswitch::agent
