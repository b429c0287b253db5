#pragma once

#include "base/endpoint.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace samphireswitch::balancer {

/** Datagrams that one system call sends. */
class SendBatch
{
public:
    explicit SendBatch(std::size_t capacity);

    SendBatch(const SendBatch &) = delete;
    SendBatch &operator=(const SendBatch &) = delete;

    /** Buffer of the next datagram. The batch must not be full. */
    std::span<std::byte> nextBuffer();

    /** Adds the datagram of @p size bytes that was written to nextBuffer(). */
    void commit(const Endpoint &destination, std::size_t size);

    /** Sends the datagrams and empties the batch. A datagram that the system refuses is skipped. */
    void send(int socket);

    /** Number of datagrams handed to the system since construction. */
    std::uint64_t sent() const;
    /** Number of datagrams that the system refused since construction. */
    std::uint64_t errors() const;

private:
    std::vector<std::byte> m_buffer;
    std::vector<iovec> m_vectors;
    std::vector<sockaddr_in> m_addresses;
    std::vector<mmsghdr> m_messages;
    std::size_t m_size = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_errors = 0;
};

} // namespace samphireswitch::balancer
