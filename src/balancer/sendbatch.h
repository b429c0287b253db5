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

    bool isFull() const;

    /** Copies @p bytes. The batch must not be full, and @p bytes must not exceed s_bufferBytes. */
    void add(const Endpoint &destination, std::span<const std::byte> bytes);

    /** Sends the datagrams and empties the batch. A datagram that the system refuses is skipped. */
    void send(int socket);

    /** Number of datagrams handed to the system since construction. */
    std::uint64_t sent() const;
    /** Number of datagrams that the system refused since construction. */
    std::uint64_t errors() const;

    /** Largest datagram: the largest received packet and an envelope with a full chain. */
    static constexpr std::size_t s_bufferBytes = 171 * std::size_t {64};

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
