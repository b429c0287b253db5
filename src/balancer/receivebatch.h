#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace samphireswitch::balancer {

/** Receives several datagrams with one system call into buffers that are allocated once. */
class ReceiveBatch
{
public:
    /** Allocates @p capacity buffers, each with room for the packet of a jumbo frame (9,000 bytes). */
    explicit ReceiveBatch(std::size_t capacity);

    ReceiveBatch(const ReceiveBatch &) = delete;
    ReceiveBatch &operator=(const ReceiveBatch &) = delete;

    /**
     * Blocks until a datagram arrives or the receive timeout of @p socket expires, then reads the datagrams that are
     * queued, up to the capacity. Returns 0 or the errno value of the failure, which is EAGAIN after a timeout.
     */
    int receive(int socket);

    /** Number of datagrams that the last call of receive() read; 0 after an error. */
    std::size_t size() const;

    /** Bytes of all datagrams that the last call of receive() read. */
    std::size_t bytes() const;

    /** Whether datagram @p index was longer than its buffer, so that its end is missing. */
    bool isTruncated(std::size_t index) const;

    /** Bytes of datagram @p index, aligned to 8 bytes. The span is valid until the next call of receive(). */
    std::span<const std::byte> datagram(std::size_t index) const;

private:
    // Not initialized, so that pages that no datagram has filled are not backed by memory.
    std::unique_ptr<std::byte[]> m_buffer;
    std::vector<iovec> m_vectors;
    std::vector<mmsghdr> m_messages;
    std::size_t m_size = 0;
};

} // namespace samphireswitch::balancer
