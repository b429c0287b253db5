#pragma once

#include "base/endpoint.h"

#include <cstdint>

namespace samphireswitch::standin {

/**
 * A /24 of the loopback network that no other deployment on this machine uses. It is reserved by a bound UDP socket,
 * so that tests can run at the same time, each process with the same port numbers on its own address.
 */
class LoopbackNetwork
{
public:
    /** Fails with ResultCode::SocketError if no network is free. */
    static Result<LoopbackNetwork> reserve();

    LoopbackNetwork(LoopbackNetwork &&other) noexcept;
    LoopbackNetwork(const LoopbackNetwork &) = delete;
    LoopbackNetwork &operator=(const LoopbackNetwork &) = delete;
    LoopbackNetwork &operator=(LoopbackNetwork &&) = delete;
    ~LoopbackNetwork();

    /** Address in host byte order of the host number @p host, 1 to 253. */
    std::uint32_t address(std::uint8_t host) const;

private:
    LoopbackNetwork(std::uint32_t network, int socket);

    std::uint32_t m_network;
    int m_socket;
};

} // namespace samphireswitch::standin
