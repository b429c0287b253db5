#include "agent/datagramreceiver.h"

namespace samphireswitch::agent {

namespace {

/** Bytes reserved for a datagram; holds any UDP payload. Pages that no datagram fills are never backed by memory. */
constexpr std::size_t s_datagramCapacity = 65536;
constexpr std::size_t s_datagramWords = s_datagramCapacity / sizeof(std::uint64_t);

} // namespace

DatagramReceiver::DatagramReceiver()
    // 64-bit words keep each datagram aligned, so that the codec can read messages in place instead of copying them.
    : m_buffer(std::make_unique_for_overwrite<std::uint64_t[]>(s_batchSize * s_datagramWords))
{
    for (std::size_t i = 0; i < s_batchSize; ++i) {
        m_vectors[i].iov_base = m_buffer.get() + i * s_datagramWords;
        m_vectors[i].iov_len = s_datagramCapacity;
        m_headers[i].msg_hdr.msg_iov = &m_vectors[i];
        m_headers[i].msg_hdr.msg_iovlen = 1;
    }
}

std::size_t DatagramReceiver::receive(int socket)
{
    const int count = ::recvmmsg(socket, m_headers.data(), s_batchSize, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

std::span<const std::byte> DatagramReceiver::datagram(std::size_t index) const
{
    return {static_cast<const std::byte *>(m_vectors[index].iov_base), m_headers[index].msg_len};
}

} // namespace samphireswitch::agent
