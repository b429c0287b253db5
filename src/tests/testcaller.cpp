#include "tests/testcaller.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace samphireswitch::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t s_ipSize = sizeof(iphdr);
constexpr std::size_t s_headerSize = s_ipSize + sizeof(tcphdr);
constexpr std::size_t s_payloadSize = 1300;
constexpr std::size_t s_sendWindow = 16 * s_payloadSize;
constexpr auto s_retransmissionTime = 100ms;

std::uint32_t sumOf(std::span<const std::byte> bytes)
{
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        sum += std::to_integer<std::uint32_t>(bytes[i]) << (i % 2 == 0 ? 8U : 0U);
    }
    return sum;
}

std::uint16_t folded(std::uint32_t sum)
{
    while (sum > 0xffffU) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(sum);
}

std::uint16_t tcpSum(std::span<const std::byte> packet)
{
    const auto segment = packet.subspan(s_ipSize);
    const auto addresses = packet.subspan(offsetof(iphdr, saddr), 2 * sizeof(std::uint32_t));
    return folded(sumOf(addresses) + sumOf(segment) + IPPROTO_TCP + static_cast<std::uint32_t>(segment.size()));
}

} // namespace

std::vector<std::byte> makePacket(const flow::FlowKey &key, const Segment &segment)
{
    std::vector<std::byte> packet(s_headerSize + segment.payload.size());
    iphdr ip {};
    ip.version = IPVERSION;
    ip.ihl = s_ipSize / 4;
    ip.tot_len = htons(static_cast<std::uint16_t>(packet.size()));
    ip.ttl = 64;
    ip.protocol = IPPROTO_TCP;
    ip.saddr = htonl(key.source.address);
    ip.daddr = htonl(key.destination.address);
    ip.check = htons(static_cast<std::uint16_t>(~folded(sumOf(std::as_bytes(std::span(&ip, 1))))));
    tcphdr tcp {};
    tcp.th_sport = htons(key.source.port);
    tcp.th_dport = htons(key.destination.port);
    tcp.th_seq = htonl(segment.sequence);
    tcp.th_ack = htonl(segment.acknowledgement);
    tcp.th_off = sizeof(tcphdr) / 4;
    tcp.th_flags = segment.flags;
    tcp.th_win = htons(UINT16_MAX);
    std::memcpy(packet.data(), &ip, sizeof(ip));
    std::memcpy(packet.data() + s_ipSize, &tcp, sizeof(tcp));
    std::ranges::copy(std::as_bytes(std::span(segment.payload)), packet.begin() + s_headerSize);
    tcp.th_sum = htons(static_cast<std::uint16_t>(~tcpSum(packet)));
    std::memcpy(packet.data() + s_ipSize, &tcp, sizeof(tcp));
    return packet;
}

bool hasValidChecksums(std::span<const std::byte> packet)
{
    return folded(sumOf(packet.first(s_ipSize))) == 0xffffU && tcpSum(packet) == 0xffffU;
}

TestCaller::TestCaller(const flow::FlowKey &key, Send send, std::uint32_t initialSequence)
    : m_key(key)
    , m_send(std::move(send))
    , m_initialSequence(initialSequence)
{
}

void TestCaller::connect()
{
    m_synSent = true;
    m_lastProgress = Clock::now();
    m_send(makePacket(m_key, {m_initialSequence, 0, TH_SYN}));
}

void TestCaller::write(std::string_view bytes)
{
    m_outgoing += bytes;
    sendSegments();
}

void TestCaller::finish()
{
    m_finishing = true;
    sendSegments();
}

void TestCaller::reset()
{
    const auto sequence = m_initialSequence + 1 + static_cast<std::uint32_t>(m_sent);
    m_send(makePacket(m_key, {sequence, 0, TH_RST}));
}

void TestCaller::receive(const flow::PacketView &packet)
{
    if (packet.isRst()) {
        m_reset = true;
        return;
    }
    const std::size_t acknowledged = packet.acknowledgementNumber() - (m_initialSequence + 1);
    if (acknowledged > m_outgoing.size() + 1) {
        return;
    }
    if (packet.isSyn()) {
        m_offered = packet.sequenceNumber();
        m_established = true;
        acknowledge();
        sendSegments();
        return;
    }
    if (acknowledged > m_acknowledged) {
        m_acknowledged = acknowledged;
        m_sent = std::max(m_sent, std::min(m_acknowledged, m_outgoing.size()));
        m_lastProgress = Clock::now();
        sendSegments();
    }
    takePayload(packet);
}

void TestCaller::retransmit(TimePoint now)
{
    if (!m_synSent || now - m_lastProgress < s_retransmissionTime) {
        return;
    }
    m_lastProgress = now;
    if (!m_established) {
        m_send(makePacket(m_key, {m_initialSequence, 0, TH_SYN}));
        return;
    }
    if (m_acknowledged < m_outgoing.size() + (m_finishing ? 1 : 0)) {
        m_sent = std::min(m_acknowledged, m_outgoing.size());
        sendSegments();
    }
}

bool TestCaller::isEstablished() const
{
    return m_established;
}

bool TestCaller::wasReset() const
{
    return m_reset;
}

bool TestCaller::receivedFin() const
{
    return m_receivedFin;
}

std::uint32_t TestCaller::offeredSequence() const
{
    return m_offered;
}

const std::string &TestCaller::received() const
{
    return m_received;
}

void TestCaller::sendSegments()
{
    if (!m_established) {
        return;
    }
    const std::uint32_t expected =
        m_offered + 1 + static_cast<std::uint32_t>(m_received.size()) + (m_receivedFin ? 1 : 0);
    const std::uint32_t first = m_initialSequence + 1;
    while (m_sent < m_outgoing.size() && m_sent < m_acknowledged + s_sendWindow) {
        const auto payload = std::string_view(m_outgoing).substr(m_sent, s_payloadSize);
        m_send(makePacket(m_key, {first + static_cast<std::uint32_t>(m_sent), expected, TH_ACK, payload}));
        m_sent += payload.size();
    }
    if (m_finishing && m_sent == m_outgoing.size() && m_acknowledged <= m_outgoing.size()) {
        m_send(makePacket(m_key, {first + static_cast<std::uint32_t>(m_sent), expected, TH_ACK | TH_FIN}));
    }
}

void TestCaller::acknowledge()
{
    const std::uint32_t fin = m_receivedFin ? 1 : 0;
    const std::uint32_t expected = m_offered + 1 + static_cast<std::uint32_t>(m_received.size()) + fin;
    const auto next = static_cast<std::uint32_t>(std::max(m_sent, m_acknowledged));
    m_send(makePacket(m_key, {m_initialSequence + 1 + next, expected, TH_ACK}));
}

void TestCaller::takePayload(const flow::PacketView &packet)
{
    const std::uint32_t offset = packet.sequenceNumber() - (m_offered + 1);
    const std::size_t size = packet.payloadSize();
    if (packet.isFin()) {
        m_finKnown = true;
        m_finSequence = offset + static_cast<std::uint32_t>(size);
    }
    if (size == 0 && !packet.isFin()) {
        return;
    }
    const auto *data = reinterpret_cast<const char *>(packet.bytes().last(size).data());
    m_outOfOrder.emplace(offset, std::string(data, size));
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first <= m_received.size()) {
        const auto node = m_outOfOrder.extract(m_outOfOrder.begin());
        const std::size_t known = m_received.size() - node.key();
        if (known < node.mapped().size()) {
            m_received += node.mapped().substr(known);
        }
    }
    m_receivedFin = m_finKnown && m_received.size() >= m_finSequence;
    acknowledge();
}

} // namespace samphireswitch::tests
