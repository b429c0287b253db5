#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace samphireswitch::soak {

/** A call that the platform or an upstream makes to a process. */
struct HttpCall
{
    std::string method;
    std::string target;
    std::string body;
};

/**
 * Makes one call on a connection of its own. @p done gets the status of the answer, or 0 if there was none within
 * @p limit.
 */
void startHttpCall(boost::asio::io_context &context,
                   const Endpoint &server,
                   const HttpCall &call,
                   std::chrono::milliseconds limit,
                   std::function<void(unsigned status)> done);

} // namespace samphireswitch::soak
