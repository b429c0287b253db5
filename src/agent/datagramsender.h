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

/** Sends datagrams in batches, without blocking, over a socket that the sender does not own. */
class DatagramSender
{
public:
    DatagramSender();

    /** Sets the socket to send over. Must be called before the first append(). */
    void setSocket(int socket);

    /**
     * Copies the datagram @p bytes into the batch; a full batch is sent first. A datagram that is too large for the
     * batch is sent at once, after the datagrams that are in the batch.
     */
    void append(const Endpoint &destination, std::span<const std::byte> bytes);

    /** Sends the batch. Datagrams that the socket rejects are dropped and counted in droppedDatagrams(). */
    void flush();

    /** Number of datagrams that the socket has rejected since the sender was created. */
    std::uint64_t droppedDatagrams() const;

private:
    static constexpr std::size_t s_batchSize = 64;

    void sendUnbatched(const Endpoint &destination, std::span<const std::byte> bytes);

    int m_socket = -1;
    std::size_t m_count = 0;
    std::uint64_t m_dropped = 0;
    std::vector<std::byte> m_buffer;
    std::array<sockaddr_in, s_batchSize> m_addresses {};
    std::array<iovec, s_batchSize> m_vectors {};
    std::array<mmsghdr, s_batchSize> m_headers {};
};

} // namespace samphireswitch::agent
