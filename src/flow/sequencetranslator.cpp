#include "flow/sequencetranslator.h"

#include "flow/headerlayout.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <cassert>
#include <cstring>

namespace samphireswitch::flow {

namespace {

std::span<std::byte> tcpHeader(std::span<std::byte> packet)
{
    const std::size_t ipHeaderSize = (std::to_integer<std::size_t>(packet.front()) & 0x0fU) * detail::s_bytesPerWord;
    assert(packet.size() >= ipHeaderSize + sizeof(tcphdr));
    return packet.subspan(ipHeaderSize);
}

std::uint32_t foldedSum(std::uint32_t sum)
{
    while (sum > 0xffffU) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return sum;
}

/** RFC 1624, equation 3: HC' = ~(~HC + ~m + m'), for the two 16-bit halves of a 32-bit field. */
std::uint16_t updatedChecksum(std::uint16_t checksum, std::uint32_t oldValue, std::uint32_t newValue)
{
    std::uint32_t sum = static_cast<std::uint16_t>(~checksum);
    sum += (~oldValue >> 16U) + (~oldValue & 0xffffU);
    sum += (newValue >> 16U) + (newValue & 0xffffU);
    return static_cast<std::uint16_t>(~foldedSum(sum));
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
    const std::span<std::byte> bytes = tcpHeader(packet);
    tcphdr header = readTcpHeader(bytes);
    const std::uint32_t before = ntohl(header.th_seq);
    const std::uint32_t after = before + m_offset;
    header.th_seq = htonl(after);
    header.th_sum = htons(updatedChecksum(ntohs(header.th_sum), before, after));
    writeTcpHeader(header, bytes);
}

void SequenceTranslator::translateIncoming(std::span<std::byte> packet) const
{
    const std::span<std::byte> bytes = tcpHeader(packet);
    tcphdr header = readTcpHeader(bytes);
    if ((header.th_flags & TH_ACK) == 0) {
        return;
    }
    const std::uint32_t before = ntohl(header.th_ack);
    const std::uint32_t after = before - m_offset;
    header.th_ack = htonl(after);
    header.th_sum = htons(updatedChecksum(ntohs(header.th_sum), before, after));
    writeTcpHeader(header, bytes);
}

std::uint32_t SequenceTranslator::offset() const
{
    return m_offset;
}

} // namespace samphireswitch::flow
