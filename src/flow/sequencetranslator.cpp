#include "flow/sequencetranslator.h"

#include "flow/headerlayout.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <cassert>
#include <cstring>

namespace samphireswitch::flow {

namespace {

/** Returns the part of @p packet that starts with the TCP header and includes the payload. */
std::span<std::byte> tcpSegment(std::span<std::byte> packet)
{
    const std::size_t ipHeaderSize = (std::to_integer<std::size_t>(packet.front()) & 0x0fU) * detail::s_bytesPerWord;
    assert(packet.size() >= ipHeaderSize + sizeof(tcphdr));
    return packet.subspan(ipHeaderSize);
}

/** Adds the carries of @p sum back into its low 16 bits, as one's complement addition requires. */
std::uint32_t foldCarries(std::uint32_t sum)
{
    while (sum > 0xffffU) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return sum;
}

/**
 * Returns the Internet checksum after a 32-bit field of the covered data changed from @p oldValue to @p newValue, by
 * RFC 1624, equation 3: HC' = ~(~HC + ~m + m'), applied to both 16-bit halves of the field. All values are in host byte
 * order.
 */
std::uint16_t updatedChecksum(std::uint16_t checksum, std::uint32_t oldValue, std::uint32_t newValue)
{
    std::uint32_t sum = static_cast<std::uint16_t>(~checksum);
    sum += (~oldValue >> 16U) + (~oldValue & 0xffffU);
    sum += (newValue >> 16U) + (newValue & 0xffffU);
    return static_cast<std::uint16_t>(~foldCarries(sum));
}

void writeTcpHeader(const tcphdr &header, std::span<std::byte> bytes)
{
    std::memcpy(bytes.data(), &header, sizeof(header));
}

tcphdr readTcpHeader(std::span<const std::byte> bytes)
{
    tcphdr header {};
    std::memcpy(&header, bytes.data(), sizeof(header));
    return header;
}

} // namespace

SequenceTranslator::SequenceTranslator(std::uint32_t offset)
    : m_offset(offset)
{
}

void SequenceTranslator::translateOutgoing(std::span<std::byte> packet) const
{
    const std::span<std::byte> bytes = tcpSegment(packet);
    tcphdr header = readTcpHeader(bytes);
    const std::uint32_t oldNumber = ntohl(header.th_seq);
    const std::uint32_t newNumber = oldNumber + m_offset;
    header.th_seq = htonl(newNumber);
    header.th_sum = htons(updatedChecksum(ntohs(header.th_sum), oldNumber, newNumber));
    writeTcpHeader(header, bytes);
}

void SequenceTranslator::translateIncoming(std::span<std::byte> packet) const
{
    const std::span<std::byte> bytes = tcpSegment(packet);
    tcphdr header = readTcpHeader(bytes);
    if ((header.th_flags & TH_ACK) == 0) {
        return;
    }
    const std::uint32_t oldNumber = ntohl(header.th_ack);
    const std::uint32_t newNumber = oldNumber - m_offset;
    header.th_ack = htonl(newNumber);
    header.th_sum = htons(updatedChecksum(ntohs(header.th_sum), oldNumber, newNumber));
    writeTcpHeader(header, bytes);
}

std::uint32_t SequenceTranslator::offset() const
{
    return m_offset;
}

} // namespace samphireswitch::flow
