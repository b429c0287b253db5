#include "balancer/sendbatch.h"

#include <arpa/inet.h>

#include <cerrno>
#include <cstring>

namespace samphireswitch::balancer {

SendBatch::SendBatch(std::size_t capacity)
    : m_buffer(std::make_unique_for_overwrite<std::byte[]>(capacity * s_bufferBytes))
    , m_vectors(capacity)
    , m_addresses(capacity)
    , m_messages(capacity)
{
    for (std::size_t index = 0; index < capacity; ++index) {
        m_vectors[index] = {m_buffer.get() + index * s_bufferBytes, 0};
        m_addresses[index].sin_family = AF_INET;
        m_messages[index].msg_hdr.msg_name = &m_addresses[index];
        m_messages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        m_messages[index].msg_hdr.msg_iov = &m_vectors[index];
        m_messages[index].msg_hdr.msg_iovlen = 1;
    }
}

bool SendBatch::isFull() const
{
    return m_size == m_messages.size();
}

void SendBatch::add(const Endpoint &destination, std::span<const std::byte> bytes)
{
    m_addresses[m_size].sin_addr.s_addr = htonl(destination.address);
    m_addresses[m_size].sin_port = htons(destination.port);
    std::memcpy(m_vectors[m_size].iov_base, bytes.data(), bytes.size());
    m_vectors[m_size].iov_len = bytes.size();
    ++m_size;
}

void SendBatch::send(int socket)
{
    std::size_t first = 0;
    while (first < m_size) {
        const int count = sendmmsg(socket, &m_messages[first], static_cast<unsigned>(m_size - first), 0);
        if (count > 0) {
            for (int index = 0; index < count; ++index) {
                m_bytes += m_vectors[first + static_cast<std::size_t>(index)].iov_len;
            }
            first += static_cast<std::size_t>(count);
            m_sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno == EAGAIN) {
            // The send buffer stayed full for the send timeout of the socket. Waiting for the timeout once more for
            // each remaining datagram would block the thread for seconds.
            m_errors += m_size - first;
            break;
        }
        // The error concerns the first remaining datagram, or an earlier one whose destination port is closed. Skipping
        // a datagram in both cases guarantees progress.
        ++first;
        ++m_errors;
    }
    m_size = 0;
}

std::uint64_t SendBatch::sent() const
{
    return m_sent;
}

std::uint64_t SendBatch::bytes() const
{
    return m_bytes;
}

std::uint64_t SendBatch::errors() const
{
    return m_errors;
}

} // namespace samphireswitch::balancer
