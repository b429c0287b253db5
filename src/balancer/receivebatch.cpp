#include "balancer/receivebatch.h"

#include <cerrno>

namespace samphireswitch::balancer {

namespace {

// Fits the packet of a jumbo frame (9,000 bytes). The size is an odd number of cache lines, so that the headers of
// consecutive packets map to different cache sets.
constexpr std::size_t s_bufferBytes = 145 * std::size_t {64};

} // namespace

ReceiveBatch::ReceiveBatch(std::size_t capacity)
    : m_buffer(std::make_unique_for_overwrite<std::byte[]>(capacity * s_bufferBytes))
    , m_vectors(capacity)
    , m_messages(capacity)
{
    for (std::size_t index = 0; index < capacity; ++index) {
        m_vectors[index] = {m_buffer.get() + index * s_bufferBytes, s_bufferBytes};
        m_messages[index].msg_hdr.msg_iov = &m_vectors[index];
        m_messages[index].msg_hdr.msg_iovlen = 1;
    }
}

int ReceiveBatch::receive(int socket)
{
    m_size = 0;
    const int received =
        recvmmsg(socket, m_messages.data(), static_cast<unsigned>(m_messages.size()), MSG_WAITFORONE, nullptr);
    if (received < 0) {
        return errno;
    }
    m_size = static_cast<std::size_t>(received);
    return 0;
}

std::size_t ReceiveBatch::size() const
{
    return m_size;
}

std::size_t ReceiveBatch::bytes() const
{
    std::size_t sum = 0;
    for (std::size_t index = 0; index < m_size; ++index) {
        sum += m_messages[index].msg_len;
    }
    return sum;
}

bool ReceiveBatch::isTruncated(std::size_t index) const
{
    return (m_messages[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

std::span<const std::byte> ReceiveBatch::datagram(std::size_t index) const
{
    return {m_buffer.get() + index * s_bufferBytes, m_messages[index].msg_len};
}

} // namespace samphireswitch::balancer
