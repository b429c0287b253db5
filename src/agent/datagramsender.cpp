#include "agent/datagramsender.h"

#include "base/socketaddress.h"

#include <arpa/inet.h>

#include <cerrno>
#include <cstring>

namespace samphireswitch::agent {

namespace {

/**
 * Bytes reserved for a datagram in the batch: a packet of the largest MTU in use and the longest envelope header.
 * Larger datagrams are sent outside the batch.
 */
constexpr std::size_t s_datagramCapacity = 4096;

} // namespace

DatagramSender::DatagramSender()
    : m_buffer(s_batchSize * s_datagramCapacity)
{
    for (std::size_t i = 0; i < s_batchSize; ++i) {
        m_vectors[i].iov_base = m_buffer.data() + i * s_datagramCapacity;
        m_headers[i].msg_hdr.msg_iov = &m_vectors[i];
        m_headers[i].msg_hdr.msg_iovlen = 1;
        m_headers[i].msg_hdr.msg_name = &m_addresses[i];
        m_headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

void DatagramSender::setSocket(int socket)
{
    m_socket = socket;
}

void DatagramSender::append(const Endpoint &destination, std::span<const std::byte> bytes)
{
    if (bytes.size() > s_datagramCapacity) {
        sendUnbatched(destination, bytes);
        return;
    }
    if (m_count == s_batchSize) {
        flush();
    }
    std::memcpy(m_vectors[m_count].iov_base, bytes.data(), bytes.size());
    m_vectors[m_count].iov_len = bytes.size();
    m_addresses[m_count] = toSocketAddress(destination);
    ++m_count;
}

void DatagramSender::flush()
{
    std::size_t sent = 0;
    while (sent < m_count) {
        const int result =
            ::sendmmsg(m_socket, m_headers.data() + sent, static_cast<unsigned>(m_count - sent), MSG_DONTWAIT);
        if (result > 0) {
            sent += static_cast<std::size_t>(result);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        // sendmmsg() fails when the first datagram fails, for example because the receiver's port is closed. The
        // datagrams after it may still be sent.
        ++m_dropped;
        ++sent;
    }
    m_count = 0;
}

std::uint64_t DatagramSender::droppedDatagrams() const
{
    return m_dropped;
}

void DatagramSender::sendUnbatched(const Endpoint &destination, std::span<const std::byte> bytes)
{
    flush();
    const sockaddr_in address = toSocketAddress(destination);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    if (::sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT, generic, sizeof(address)) < 0) {
        ++m_dropped;
    }
}

} // namespace samphireswitch::agent
