#pragma once

#include "base/endpoint.h"
#include "base/socketaddress.h"
#include "flow/flowkey.h"
#include "platform/packetformat.h"
#include "tests/testtimes.h"

#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <span>
#include <vector>

namespace samphireswitch::tests {

/** A bound UDP socket that plays a caller, a balancer, another agent or the upstream. */
class Port
{
public:
    using Bytes = std::vector<std::byte>;

    explicit Port(const Endpoint &endpoint)
        : m_endpoint(endpoint)
    {
        open();
    }

    ~Port()
    {
        close();
    }

    Port(const Port &) = delete;
    Port &operator=(const Port &) = delete;

    void open()
    {
        m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = toSocketAddress(m_endpoint);
        EXPECT_EQ(bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }

    /** From now on nobody listens here. */
    void close()
    {
        ::close(m_socket);
        m_socket = -1;
    }

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    void send(const Endpoint &to, std::span<const std::byte> bytes) const
    {
        const sockaddr_in address = toSocketAddress(to);
        sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    /** The next datagram, or nothing within the time. */
    std::optional<Bytes> receive(std::chrono::milliseconds limit = s_ampleTime) const
    {
        pollfd source {m_socket, POLLIN, 0};
        if (poll(&source, 1, static_cast<int>(limit.count())) <= 0) {
            return std::nullopt;
        }
        Bytes bytes(65536);
        const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
        bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return bytes;
    }

private:
    int m_socket = -1;
    Endpoint m_endpoint;
};

/** A packet of the caller in the platform's format, whose sum stands for what its sender wrote. */
inline Port::Bytes callerPacket(const flow::FlowKey &key, std::byte flags, std::uint16_t payloadSize = 0)
{
    constexpr std::size_t sumSize = 4;
    constexpr std::size_t lengthOffset = 4;
    constexpr std::size_t flagsOffset = 30;
    const auto reset = platform::makeReset(key, 1000);
    Port::Bytes bytes(reset.begin(), reset.end());
    // A reset goes to the caller; the other way round it comes from it.
    std::swap_ranges(bytes.begin() + 14, bytes.begin() + 18, bytes.begin() + 18);
    std::swap_ranges(bytes.begin() + 22, bytes.begin() + 24, bytes.begin() + 24);
    std::fill_n(bytes.begin(), sumSize, std::byte {0xab});
    bytes[flagsOffset] = flags;
    bytes[lengthOffset] = std::byte(payloadSize >> 8U);
    bytes[lengthOffset + 1] = std::byte(payloadSize & 0xffU);
    bytes.resize(bytes.size() + payloadSize);
    return bytes;
}

} // namespace samphireswitch::tests
