#include "base/datagramsocket.h"

#include "base/socketaddress.h"

#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace samphireswitch {

Error socketError(const std::string &action, int code)
{
    return {ResultCode::SocketError, action + ": " + std::generic_category().message(code)};
}

int takePendingError(int descriptor)
{
    int code = 0;
    socklen_t size = sizeof(code);
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &code, &size) == 0 ? code : errno;
}

std::uint64_t droppedDatagrams(int descriptor)
{
    std::array<std::uint32_t, SK_MEMINFO_VARS> values {};
    socklen_t size = sizeof(values);
    const bool isTold = getsockopt(descriptor, SOL_SOCKET, SO_MEMINFO, values.data(), &size) == 0;
    return isTold && size == sizeof(values) ? values[SK_MEMINFO_DROPS] : 0;
}

Result<int> openDatagramSocket(const std::optional<Endpoint> &local, int bufferBytes)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return boost::leaf::new_error(socketError("cannot create a UDP socket", errno));
    }
    // A smaller buffer than requested loses packets in bursts but is no reason not to serve.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof(bufferBytes));
    if (!local) {
        return descriptor;
    }
    const sockaddr_in address = toSocketAddress(*local);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const int code = errno;
        close(descriptor);
        return boost::leaf::new_error(socketError("cannot bind " + toString(*local), code));
    }
    return descriptor;
}

} // namespace samphireswitch
