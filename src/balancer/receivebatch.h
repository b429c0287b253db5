#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <span>
#include <vector>

namespace samphireswitch::balancer {

/** Buffers for the datagrams that one system call receives. */
class ReceiveBatch
{
public:
    explicit ReceiveBatch(std::size_t capacity);

    ReceiveBatch(const ReceiveBatch &) = delete;
    ReceiveBatch &operator=(const ReceiveBatch &) = delete;

    /**
     * Waits for at least one datagram, at most for the socket's receive timeout, and takes those that have arrived.
     * Returns 0, or the number of the system's error; the error of a timeout is EAGAIN.
     */
    int receive(int socket);

    /** Number of datagrams that the last receive() took; 0 after an error. */
    std::size_t size() const;

    /** Whether datagram @p index was longer than its buffer. */
    bool isTruncated(std::size_t index) const;

    /** Bytes of datagram @p index. Valid until the next receive(). Aligned to 8 bytes. */
    std::span<const std::byte> datagram(std::size_t index) const;

private:
    std::vector<std::byte> m_buffer;
    std::vector<iovec> m_vectors;
    std::vector<mmsghdr> m_messages;
    std::size_t m_size = 0;
};

} // namespace samphireswitch::balancer
