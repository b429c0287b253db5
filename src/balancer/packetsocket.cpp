#include "balancer/packetsocket.h"

#include "base/datagramsocket.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>

namespace samphireswitch::balancer {

namespace {

// Holds bursts that arrive while the thread is not scheduled. The kernel limits the size to net.core.rmem_max.
constexpr int s_socketBufferBytes = 4 * 1024 * 1024;

timeval toTimeval(std::chrono::microseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    timeval value {};
    value.tv_sec = seconds.count();
    value.tv_usec = (duration - seconds).count();
    return value;
}

} // namespace

Result<int> openPacketSocket(const Endpoint &endpoint, std::chrono::microseconds wait)
{
    BOOST_LEAF_AUTO(descriptor, openDatagramSocket(endpoint, s_socketBufferBytes));
    const timeval limit = toTimeval(wait);
    if (setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit)) != 0
        || setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit)) != 0) {
        const int code = errno;
        close(descriptor);
        return boost::leaf::new_error(socketError("cannot set the timeouts of a UDP socket", code));
    }
    return descriptor;
}

} // namespace samphireswitch::balancer
