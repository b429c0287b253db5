#include "balancer/sendbatch.h"

#include <arpa/inet.h>

#include <cerrno>

namespace samphireswitch::balancer {

namespace {

// Room for the largest received packet in an envelope with a full chain. An odd number of cache lines, so that the
// headers of consecutive datagrams fall into different cache sets.
constexpr std::size_t s_bufferBytes = 161 * std::size_t {64};

} // namespace

SendBatch::SendBatch(std::size_t capacity)
    : m_buffer(capacity * s_bufferBytes)
    , m_vectors(capacity)
    , m_addresses(capacity)
    , m_messages(capacity)
{
    for (std::size_t index = 0; index < capacity; ++index) {
        m_vectors[index] = {m_buffer.data() + index * s_bufferBytes, 0};
        m_addresses[index].sin_family = AF_INET;
        m_messages[index].msg_hdr.msg_name = &m_addresses[index];
        m_messages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        m_messages[index].msg_hdr.msg_iov = &m_vectors[index];
        m_messages[index].msg_hdr.msg_iovlen = 1;
    }
}

std::span<std::byte> SendBatch::nextBuffer()
{
    return std::span(m_buffer).subspan(m_size * s_bufferBytes, s_bufferBytes);
}

void SendBatch::commit(const Endpoint &destination, std::size_t size)
{
    m_addresses[m_size].sin_addr.s_addr = htonl(destination.address);
    m_addresses[m_size].sin_port = htons(destination.port);
    m_vectors[m_size].iov_len = size;
    ++m_size;
}

void SendBatch::send(int socket)
{
    std::size_t first = 0;
    while (first < m_size) {
        const int count = sendmmsg(socket, &m_messages[first], static_cast<unsigned>(m_size - first), 0);
        if (count > 0) {
            first += static_cast<std::size_t>(count);
            m_sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno == EAGAIN) {
            // The send buffer stayed full for the socket's timeout. Waiting again for each of the other datagrams would
            // stop the thread for seconds.
            m_errors += m_size - first;
            break;
        }
        // The error belongs to the first datagram that is left, or to an earlier one whose port refused it. Skipping
        // one datagram either way guarantees progress.
        ++first;
        ++m_errors;
    }
    m_size = 0;
}

std::uint64_t SendBatch::sent() const
{
    return m_sent;
}

std::uint64_t SendBatch::errors() const
{
    return m_errors;
}

} // namespace samphireswitch::balancer
