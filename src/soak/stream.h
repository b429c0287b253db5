#pragma once

#include "base/time.h"
#include "soak/packet.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace samphireswitch::soak {

/**
 * One end of an open flow: bytes in order over packets that are lost, repeated and reordered. Window, acknowledgements
 * and retransmissions as PROTOCOL.md, section Flows, describes them, but every packet with data is acknowledged.
 */
class Stream
{
public:
    using Send = std::function<void(const flow::Segment &head, std::string_view data)>;

    /**
     * @p key has this end as its source. @p nextToSend and @p nextToReceive are the numbers after those of the
     * handshake.
     */
    Stream(const flow::FlowKey &key, std::uint32_t nextToSend, std::uint32_t nextToReceive, Send send);

    void write(std::string_view bytes, TimePoint now);

    /** Ends this direction after what was written. */
    void close(TimePoint now);

    /** Takes a packet of the other end and returns the bytes that are now in order. */
    std::string receive(const Packet &packet, TimePoint now);

    /** Repeats what was not acknowledged in time. */
    void repeatLost(TimePoint now);

    /** The other end has closed its direction, and all before was received. */
    bool isClosedByPeer() const;

    /** Both directions are closed and acknowledged. */
    bool isFinished() const;

    /** Too many retransmissions were not acknowledged. */
    bool hasFailed() const;

    /** The acknowledgement number of this end's latest packet. */
    std::uint32_t acknowledged() const;

    /** Sends an acknowledgement without data. */
    void acknowledge();

private:
    struct Outgoing
    {
        std::uint32_t sequence = 0;
        std::string data;
        bool fin = false;
        TimePoint sentAt;
        /** Times that it was sent. */
        unsigned sent = 0;
    };

    struct Incoming
    {
        std::string data;
        bool fin = false;
    };

    void queue(std::string data, bool fin);
    void sendWindow(TimePoint now);
    void transmit(Outgoing &packet, TimePoint now);
    void dropAcknowledged(std::uint32_t acknowledgement);

    flow::FlowKey m_key;
    std::uint32_t m_nextToQueue;
    std::uint32_t m_nextToReceive;
    Send m_send;
    std::deque<Outgoing> m_outgoing;
    std::map<std::uint32_t, Incoming> m_incoming;
    bool m_isClosing = false;
    bool m_isClosedByPeer = false;
    bool m_hasFailed = false;
};

} // namespace samphireswitch::soak
