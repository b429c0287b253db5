#include "standin/loopbacknetwork.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace samphireswitch::standin {

namespace {

constexpr std::uint32_t s_firstNetwork = 0x7f0a0000; // 127.10.0.0
constexpr std::uint32_t s_networkSize = 256;
constexpr std::uint32_t s_networkCount = 10000;
constexpr std::uint32_t s_reservingHost = 254;
constexpr std::uint16_t s_reservingPort = 7099;

int tryBind(std::uint32_t address)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(address);
    name.sin_port = htons(s_reservingPort);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

Result<LoopbackNetwork> LoopbackNetwork::reserve()
{
    const auto first = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t attempt = 0; attempt < s_networkCount; ++attempt) {
        const std::uint32_t network = s_firstNetwork + (first + attempt) % s_networkCount * s_networkSize;
        const int descriptor = tryBind(network + s_reservingHost);
        if (descriptor >= 0) {
            return LoopbackNetwork(network, descriptor);
        }
    }
    return boost::leaf::new_error(Error {ResultCode::SocketError, "no loopback network is free"});
}

LoopbackNetwork::LoopbackNetwork(std::uint32_t network, int socket)
    : m_network(network)
    , m_socket(socket)
{
}

LoopbackNetwork::LoopbackNetwork(LoopbackNetwork &&other) noexcept
    : m_network(other.m_network)
    , m_socket(std::exchange(other.m_socket, -1))
{
}

LoopbackNetwork::~LoopbackNetwork()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

std::uint32_t LoopbackNetwork::address(std::uint8_t host) const
{
    return m_network + host;
}

} // namespace samphireswitch::standin
