#include "flow/packetview.h"

#include "flow/headerlayout.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace samphireswitch::flow {

namespace {

auto malformed(const char *reason)
{
    return boost::leaf::new_error(Error {ResultCode::PacketMalformed, reason});
}

} // namespace

Result<PacketView> PacketView::parse(std::span<const std::byte> bytes)
{
    iphdr ip {};
    if (bytes.size() < sizeof(ip)) {
        return malformed("the packet is shorter than an IPv4 header");
    }
    std::memcpy(&ip, bytes.data(), sizeof(ip));
    const std::size_t ipHeaderSize = ip.ihl * detail::s_bytesPerWord;
    const std::size_t totalSize = ntohs(ip.tot_len);
    if (ip.version != IPVERSION || ipHeaderSize < sizeof(ip)) {
        return malformed("the IP version is not 4 or the IPv4 header length is too small");
    }
    if (totalSize != bytes.size() || totalSize < ipHeaderSize) {
        return malformed("the IPv4 total length does not match the datagram or is smaller than the header");
    }
    if (ip.protocol != IPPROTO_TCP) {
        return malformed("the IPv4 protocol is not TCP");
    }
    if ((ntohs(ip.frag_off) & (IP_MF | IP_OFFMASK)) != 0) {
        return malformed("the packet is an IPv4 fragment");
    }
    tcphdr tcp {};
    if (totalSize - ipHeaderSize < sizeof(tcp)) {
        return malformed("the IPv4 payload is shorter than a TCP header");
    }
    std::memcpy(&tcp, bytes.data() + ipHeaderSize, sizeof(tcp));
    const std::size_t tcpHeaderSize = tcp.th_off * detail::s_bytesPerWord;
    if (tcpHeaderSize < sizeof(tcp) || tcpHeaderSize > totalSize - ipHeaderSize) {
        return malformed("the TCP data offset is smaller than a TCP header or beyond the end of the packet");
    }

    PacketView view;
    view.m_bytes = bytes;
    view.m_key.source = {ntohl(ip.saddr), ntohs(tcp.th_sport)};
    view.m_key.destination = {ntohl(ip.daddr), ntohs(tcp.th_dport)};
    view.m_sequenceNumber = ntohl(tcp.th_seq);
    view.m_acknowledgementNumber = ntohl(tcp.th_ack);
    view.m_payloadSize = totalSize - ipHeaderSize - tcpHeaderSize;
    view.m_flags = tcp.th_flags;
    return view;
}

const FlowKey &PacketView::key() const
{
    return m_key;
}

std::uint32_t PacketView::sequenceNumber() const
{
    return m_sequenceNumber;
}

std::uint32_t PacketView::acknowledgementNumber() const
{
    return m_acknowledgementNumber;
}

std::size_t PacketView::payloadSize() const
{
    return m_payloadSize;
}

std::span<const std::byte> PacketView::bytes() const
{
    return m_bytes;
}

Segment PacketView::segment() const
{
    Segment segment;
    segment.key = m_key;
    segment.sequenceNumber = m_sequenceNumber;
    segment.acknowledgementNumber = m_acknowledgementNumber;
    segment.payloadSize = m_payloadSize;
    segment.syn = isSyn();
    segment.ack = isAck();
    segment.fin = isFin();
    segment.rst = isRst();
    return segment;
}

bool PacketView::isSyn() const
{
    return (m_flags & TH_SYN) != 0;
}

bool PacketView::isAck() const
{
    return (m_flags & TH_ACK) != 0;
}

bool PacketView::isRst() const
{
    return (m_flags & TH_RST) != 0;
}

bool PacketView::isFin() const
{
    return (m_flags & TH_FIN) != 0;
}

bool PacketView::isFirstPacket() const
{
    return isSyn() && !isAck();
}

} // namespace samphireswitch::flow
