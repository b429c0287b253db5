#pragma once

#include "base/endpoint.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace samphireswitch::agent {

/** Collects datagrams and sends them in batches over a socket that it does not own. */
class DatagramSender
{
public:
    DatagramSender();

    /** Must be called before the first append(). */
    void setSocket(int socket);

    /** Copies @p bytes into the batch; a full batch is sent first. */
    void append(const Endpoint &destination, std::span<const std::byte> bytes);

    /** Sends the batch. Datagrams that the socket does not take are dropped and counted. */
    void flush();

    std::uint64_t droppedDatagrams() const;

private:
    static constexpr std::size_t s_batchSize = 64;

    void sendAtOnce(const Endpoint &destination, std::span<const std::byte> bytes);

    int m_socket = -1;
    std::size_t m_count = 0;
    std::uint64_t m_dropped = 0;
    std::vector<std::byte> m_buffer;
    std::array<sockaddr_in, s_batchSize> m_addresses {};
    std::array<iovec, s_batchSize> m_vectors {};
    std::array<mmsghdr, s_batchSize> m_headers {};
};

} // namespace samphireswitch::agent
