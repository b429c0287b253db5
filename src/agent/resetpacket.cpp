#include "agent/resetpacket.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>
#include <span>

namespace samphireswitch::agent {

namespace {

constexpr std::uint8_t s_timeToLive = 64;
constexpr std::size_t s_bytesPerWord = 4;

std::uint32_t sumOf(std::span<const std::byte> bytes, std::uint32_t sum)
{
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
        sum += (std::to_integer<std::uint32_t>(bytes[i]) << 8U) | std::to_integer<std::uint32_t>(bytes[i + 1]);
    }
    return sum;
}

std::uint16_t checksumOf(std::uint32_t sum)
{
    while (sum > 0xffffU) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return htons(static_cast<std::uint16_t>(~sum));
}

iphdr makeIpHeader(const flow::FlowKey &key)
{
    iphdr header {};
    header.version = IPVERSION;
    header.ihl = sizeof(iphdr) / s_bytesPerWord;
    header.tot_len = htons(sizeof(ResetPacket));
    header.frag_off = htons(IP_DF);
    header.ttl = s_timeToLive;
    header.protocol = IPPROTO_TCP;
    header.saddr = htonl(key.destination.address);
    header.daddr = htonl(key.source.address);
    header.check = checksumOf(sumOf(std::as_bytes(std::span(&header, 1)), 0));
    return header;
}

tcphdr makeTcpHeader(const flow::PacketView &packet)
{
    tcphdr header {};
    header.th_sport = htons(packet.key().destination.port);
    header.th_dport = htons(packet.key().source.port);
    header.th_off = sizeof(tcphdr) / s_bytesPerWord;
    header.th_flags = TH_RST;
    if (packet.isAck()) {
        header.th_seq = htonl(packet.acknowledgementNumber());
        return header;
    }
    std::uint32_t length = static_cast<std::uint32_t>(packet.payloadSize());
    length += packet.isSyn() ? 1U : 0U;
    length += packet.isFin() ? 1U : 0U;
    header.th_flags |= TH_ACK;
    header.th_ack = htonl(packet.sequenceNumber() + length);
    return header;
}

std::uint32_t pseudoHeaderSum(const flow::FlowKey &key)
{
    std::uint32_t sum = IPPROTO_TCP + sizeof(tcphdr);
    for (const std::uint32_t address : {key.source.address, key.destination.address}) {
        sum += (address >> 16U) + (address & 0xffffU);
    }
    return sum;
}

} // namespace

ResetPacket makeResetPacket(const flow::PacketView &packet)
{
    const iphdr ip = makeIpHeader(packet.key());
    tcphdr tcp = makeTcpHeader(packet);
    tcp.th_sum = checksumOf(sumOf(std::as_bytes(std::span(&tcp, 1)), pseudoHeaderSum(packet.key())));
    ResetPacket bytes {};
    std::memcpy(bytes.data(), &ip, sizeof(ip));
    std::memcpy(bytes.data() + sizeof(ip), &tcp, sizeof(tcp));
    return bytes;
}

} // namespace samphireswitch::agent
