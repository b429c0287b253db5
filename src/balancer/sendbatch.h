#pragma once

#include "base/endpoint.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace samphireswitch::balancer {

/** Collects datagrams and sends them with as few system calls as possible. */
class SendBatch
{
public:
    /** Allocates buffers for @p capacity datagrams of up to s_bufferBytes each. */
    explicit SendBatch(std::size_t capacity);

    SendBatch(const SendBatch &) = delete;
    SendBatch &operator=(const SendBatch &) = delete;

    bool isFull() const;

    /**
     * Appends a datagram to @p destination with a copy of @p bytes. The batch must not be full, and @p bytes must not
     * be longer than s_bufferBytes; neither is checked.
     */
    void add(const Endpoint &destination, std::span<const std::byte> bytes);

    /**
     * Sends the datagrams through @p socket and empties the batch. A datagram that the system rejects is skipped. If
     * the send buffer stays full for the send timeout of the socket, the remaining datagrams are discarded.
     */
    void send(int socket);

    /** Number of datagrams that the system accepted since construction. */
    std::uint64_t sent() const;
    /** Bytes of these datagrams. */
    std::uint64_t bytes() const;
    /** Number of datagrams that were skipped or discarded since construction. */
    std::uint64_t errors() const;

    /** Size of a datagram that holds the largest received packet in an envelope with the longest candidate chain. */
    static constexpr std::size_t s_bufferBytes = 171 * std::size_t {64};

private:
    // Not initialized, so that pages that no datagram has filled are not backed by memory.
    std::unique_ptr<std::byte[]> m_buffer;
    std::vector<iovec> m_vectors;
    std::vector<sockaddr_in> m_addresses;
    std::vector<mmsghdr> m_messages;
    std::size_t m_size = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_errors = 0;
};

} // namespace samphireswitch::balancer
