#include "soak/stream.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::soak {

namespace {

// PROTOCOL.md, sections Packets and Flows.
constexpr std::size_t s_largestData = 1200;
constexpr std::size_t s_window = 16;
constexpr std::chrono::milliseconds s_firstInterval {200};
constexpr std::chrono::milliseconds s_longestInterval {1600};
constexpr unsigned s_mostRetransmissions = 8;

/** Whether @p first is before @p second; numbers wrap around. */
bool isBefore(std::uint32_t first, std::uint32_t second)
{
    return static_cast<std::int32_t>(first - second) < 0;
}

std::chrono::milliseconds intervalAfter(unsigned sent)
{
    return std::min(s_longestInterval, s_firstInterval * (1U << std::min(sent - 1, s_mostRetransmissions)));
}

} // namespace

Stream::Stream(const flow::FlowKey &key, std::uint32_t nextToSend, std::uint32_t nextToReceive, Send send)
    : m_key(key)
    , m_nextToQueue(nextToSend)
    , m_nextToReceive(nextToReceive)
    , m_send(std::move(send))
{
}

void Stream::write(std::string_view bytes, TimePoint now)
{
    for (; !bytes.empty(); bytes.remove_prefix(std::min(bytes.size(), s_largestData))) {
        queue(std::string(bytes.substr(0, s_largestData)), false);
    }
    sendWindow(now);
}

void Stream::close(TimePoint now)
{
    if (std::exchange(m_isClosing, true)) {
        return;
    }
    queue({}, true);
    sendWindow(now);
}

std::string Stream::receive(const Packet &packet, TimePoint now)
{
    if (packet.head.ack) {
        dropAcknowledged(packet.head.acknowledgementNumber);
    }
    std::string bytes;
    if (!packet.data.empty() || packet.head.fin) {
        if (!isBefore(packet.head.sequenceNumber, m_nextToReceive)) {
            m_incoming.try_emplace(packet.head.sequenceNumber, Incoming {packet.data, packet.head.fin});
        }
        for (auto next = m_incoming.find(m_nextToReceive); next != m_incoming.end();
             next = m_incoming.find(m_nextToReceive)) {
            bytes += next->second.data;
            m_nextToReceive += static_cast<std::uint32_t>(next->second.data.size()) + (next->second.fin ? 1 : 0);
            m_isClosedByPeer = m_isClosedByPeer || next->second.fin;
            m_incoming.erase(next);
        }
        acknowledge();
    }
    sendWindow(now);
    return bytes;
}

void Stream::repeatLost(TimePoint now)
{
    for (Outgoing &packet : m_outgoing) {
        if (packet.sent == 0 || now - packet.sentAt < intervalAfter(packet.sent)) {
            continue;
        }
        if (packet.sent > s_mostRetransmissions) {
            m_hasFailed = true;
            return;
        }
        transmit(packet, now);
    }
}

bool Stream::isClosedByPeer() const
{
    return m_isClosedByPeer;
}

bool Stream::isFinished() const
{
    return m_isClosing && m_outgoing.empty() && m_isClosedByPeer;
}

bool Stream::hasFailed() const
{
    return m_hasFailed;
}

std::uint32_t Stream::acknowledged() const
{
    return m_nextToReceive;
}

void Stream::acknowledge()
{
    flow::Segment head;
    head.key = m_key;
    head.sequenceNumber = m_outgoing.empty() ? m_nextToQueue : m_outgoing.front().sequence;
    head.acknowledgementNumber = m_nextToReceive;
    head.ack = true;
    m_send(head, {});
}

void Stream::queue(std::string data, bool fin)
{
    const auto size = static_cast<std::uint32_t>(data.size()) + (fin ? 1 : 0);
    m_outgoing.push_back({m_nextToQueue, std::move(data), fin, {}, 0});
    m_nextToQueue += size;
}

void Stream::sendWindow(TimePoint now)
{
    for (std::size_t index = 0; index < std::min(s_window, m_outgoing.size()); ++index) {
        if (m_outgoing[index].sent == 0) {
            transmit(m_outgoing[index], now);
        }
    }
}

void Stream::transmit(Outgoing &packet, TimePoint now)
{
    flow::Segment head;
    head.key = m_key;
    head.sequenceNumber = packet.sequence;
    head.acknowledgementNumber = m_nextToReceive;
    head.ack = true;
    head.fin = packet.fin;
    packet.sentAt = now;
    ++packet.sent;
    m_send(head, packet.data);
}

void Stream::dropAcknowledged(std::uint32_t acknowledgement)
{
    while (!m_outgoing.empty() && m_outgoing.front().sent > 0
           && isBefore(m_outgoing.front().sequence, acknowledgement)) {
        m_outgoing.pop_front();
    }
}

} // namespace samphireswitch::soak
