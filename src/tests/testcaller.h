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

/** Fields of a TCP segment that tests vary. */
struct Segment
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    std::string_view payload = {};
};

/** An IPv4/TCP packet from @p key's source to its destination, with valid checksums. */
std::vector<std::byte> makePacket(const flow::FlowKey &key, const Segment &segment);

/** Both checksums of a packet are valid. */
bool hasValidChecksums(std::span<const std::byte> packet);

/** A caller's TCP connection, just good enough to exchange bytes over a path that loses and reorders packets. */
class TestCaller
{
public:
    using Send = std::function<void(const std::vector<std::byte> &packet)>;

    static constexpr std::uint32_t s_initialSequence = 4000000000U;

    TestCaller(const flow::FlowKey &key, Send send);

    void connect();
    void write(std::string_view bytes);
    /** Sends a FIN after the written bytes. */
    void finish();
    void reset();
    /** Takes a packet that the agent sent to this caller. */
    void receive(const flow::PacketView &packet);
    /** Repeats what was not acknowledged in time. */
    void retransmit(TimePoint now);

    bool isEstablished() const;
    bool wasReset() const;
    /** The other side's FIN arrived, and all bytes before it. */
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
    std::string m_outgoing;
    std::string m_received;
    std::map<std::uint32_t, std::string> m_outOfOrder;
    /** Bytes of m_outgoing that were acknowledged, and those that were sent. */
    std::size_t m_acknowledged = 0;
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
