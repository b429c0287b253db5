#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "flow/packetview.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::tests {

/** Fields of a TCP segment that are set by tests. */
struct Segment
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    std::string_view payload = {};
};

/** Builds an IPv4/TCP packet from the source to the destination of @p key, with valid checksums. */
std::vector<std::byte> makePacket(const flow::FlowKey &key, const Segment &segment);

/** Whether the IPv4 and TCP checksums of @p packet are valid. */
bool hasValidChecksums(std::span<const std::byte> packet);

/** A minimal TCP client that can exchange bytes over a path that loses and reorders packets. */
class TestCaller
{
public:
    using Send = std::function<void(const std::vector<std::byte> &packet)>;

    static constexpr std::uint32_t s_initialSequence = 4000000000U;

    /** @p initialSequence is the sequence number of the first packet. */
    TestCaller(const flow::FlowKey &key, Send send, std::uint32_t initialSequence = s_initialSequence);

    void connect();
    void write(std::string_view bytes);
    /** Sends a FIN after the written bytes. */
    void finish();
    void reset();
    /** Processes a packet that the agent sent to this caller; ignores packets of earlier connections. */
    void receive(const flow::PacketView &packet);
    /** Retransmits the SYN, data or FIN that has not been acknowledged in time. */
    void retransmit(TimePoint now);

    bool isEstablished() const;
    bool wasReset() const;
    /** Whether the agent's FIN and all bytes before the FIN have arrived. */
    bool receivedFin() const;
    /** Sequence number of the SYN-ACK. */
    std::uint32_t offeredSequence() const;
    const std::string &received() const;

private:
    void sendSegments();
    void acknowledge();
    void takePayload(const flow::PacketView &packet);

    flow::FlowKey m_key;
    Send m_send;
    std::uint32_t m_initialSequence;
    std::string m_outgoing;
    std::string m_received;
    std::map<std::uint32_t, std::string> m_outOfOrder;
    /** Number of bytes of m_outgoing that were acknowledged. */
    std::size_t m_acknowledged = 0;
    /** Number of bytes of m_outgoing that were sent. */
    std::size_t m_sent = 0;
    std::uint32_t m_offered = 0;
    std::uint32_t m_finSequence = 0;
    TimePoint m_lastProgress;
    bool m_synSent = false;
    bool m_established = false;
    bool m_reset = false;
    bool m_finishing = false;
    bool m_finKnown = false;
    bool m_receivedFin = false;
};

} // namespace samphireswitch::tests
