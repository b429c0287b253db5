#pragma once

#include "loop.h"
#include "packet.h"
#include "record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace review {

/** How a requester's attempt has ended. */
enum class Outcome {
    UnderWay,
    /** The host's whole answer arrived. */
    Answered,
    /** A reset arrived before the flow was open. */
    Refused,
    /** No SYN+ACK arrived within 1.4 s. */
    NotOpened,
    /** A reset arrived on the open flow. */
    Reset,
    /** No answer arrived within the time budget. */
    Late,
    /** A reset arrived while the flow was open and had no request under way. */
    ResetWhileIdle,
};

std::string toString(Outcome outcome);

/** One attempt: a flow with one request. */
struct Attempt
{
    std::string id;
    Address source;
    Address destination;
    /** The balancer that takes the packets. */
    Address balancer;
    Outcome outcome = Outcome::UnderWay;
    std::string answer;
    /** Address of the machine that sent the reset; 0 if there was none. */
    std::uint32_t resetBy = 0;
    TimePoint startedAt;
    /** Sequence number of the first packet, then that of the byte before the request under way. */
    std::uint32_t sequence = 0;
    std::uint32_t nextFromHost = 0;
    bool isOpen = false;
    /** The requester keeps the flow open for further requests. */
    bool isKept = false;
    TimePoint sentAt;
    Milliseconds repeatAfter {200};
    std::uint32_t copies = 0;
};

/** Requesters at one address, PROTOCOL.md, section Flows. */
class Requesters
{
public:
    Requesters(Loop &loop, const Address &address, Record &record);

    /**
     * Sends the request @p id to @p destination in a flow of its own, whose packets go to @p balancer. The reference
     * stays valid.
     */
    const Attempt &send(const std::string &id, const Address &destination, const Address &balancer);

    /** As send(), but keeps the flow open after the answer. */
    const Attempt &sendOnKeptFlow(const std::string &id, const Address &destination, const Address &balancer);

    /** Sends the further request @p id on the open flow of @p previous, which was answered. */
    void sendAgain(const Attempt &previous, const std::string &id);

    bool hasAttemptsUnderWay() const;

private:
    void handle(const std::string &bytes, std::uint32_t senderIp);
    void tick();
    void sendFirst(Attempt &attempt);
    void sendRequest(Attempt &attempt);
    void finish(Attempt &attempt, Outcome outcome);

    Record &m_record;
    Address m_address;
    int m_socket = -1;
    std::uint16_t m_lastPort = 40000;
    std::map<std::uint16_t, Attempt> m_attempts;
    std::mt19937 m_random {7};
};

} // namespace review
