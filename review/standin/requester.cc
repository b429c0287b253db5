#include "requester.h"

#include "sockets.h"

#include <algorithm>
#include <array>

namespace review {

namespace {

constexpr Milliseconds s_tick {10};
constexpr std::array<Milliseconds, 3> s_copyTimes {Milliseconds(0), Milliseconds(200), Milliseconds(600)};
constexpr Milliseconds s_openLimit {1400};
constexpr Milliseconds s_firstRepeat {200};
constexpr Milliseconds s_longestRepeat {1600};
constexpr Milliseconds s_timeBudget {2500};

} // namespace

std::string toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::UnderWay:
        return "under way";
    case Outcome::Answered:
        return "answered";
    case Outcome::Refused:
        return "refused by a reset";
    case Outcome::NotOpened:
        return "not opened within 1.4 s";
    case Outcome::Reset:
        return "reset while open";
    case Outcome::Late:
        return "not answered within the time budget";
    case Outcome::ResetWhileIdle:
        return "reset while open and idle";
    }
    return {};
}

Requesters::Requesters(Loop &loop, const Address &address, Record &record)
    : m_record(record)
    , m_address(address)
    , m_socket(openUdp(address))
{
    loop.watch(m_socket, [this] {
        std::uint32_t senderIp = 0;
        for (std::string bytes; receiveUdp(m_socket, bytes, senderIp);) {
            handle(bytes, senderIp);
        }
    });
    loop.every(s_tick, [this] { tick(); });
}

const Attempt &Requesters::send(const std::string &id, const Address &destination, const Address &balancer)
{
    ++m_lastPort;
    Attempt &attempt = m_attempts[m_lastPort];
    attempt.id = id;
    attempt.source = {m_address.ip, m_lastPort};
    attempt.destination = destination;
    attempt.balancer = balancer;
    attempt.startedAt = Clock::now();
    attempt.sequence = static_cast<std::uint32_t>(m_random());
    m_record.line("request " + id + " is sent to " + toString(destination) + " by " + toString(attempt.source)
                  + " through " + toString(balancer));
    sendFirst(attempt);
    return attempt;
}

const Attempt &Requesters::sendOnKeptFlow(const std::string &id, const Address &destination, const Address &balancer)
{
    const Attempt &sent = send(id, destination, balancer);
    m_attempts[sent.source.port].isKept = true;
    return sent;
}

void Requesters::sendAgain(const Attempt &previous, const std::string &id)
{
    Attempt &attempt = m_attempts[previous.source.port];
    attempt.sequence += static_cast<std::uint32_t>(attempt.id.size());
    attempt.id = id;
    attempt.answer.clear();
    attempt.outcome = Outcome::UnderWay;
    attempt.startedAt = Clock::now();
    attempt.repeatAfter = s_firstRepeat;
    m_record.line("request " + id + " is sent on the open flow of " + toString(attempt.source));
    sendRequest(attempt);
}

bool Requesters::hasAttemptsUnderWay() const
{
    return std::ranges::any_of(m_attempts, [](const auto &entry) { return entry.second.outcome == Outcome::UnderWay; });
}

void Requesters::handle(const std::string &bytes, std::uint32_t senderIp)
{
    const auto packet = decode(bytes);
    const auto found = packet ? m_attempts.find(packet->destination.port) : m_attempts.end();
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    const bool isIdle = attempt.isKept && attempt.outcome == Outcome::Answered;
    if (attempt.outcome != Outcome::UnderWay && !isIdle) {
        return;
    }
    if (packet->source != attempt.destination || (!packet->isAuthentic && !(packet->isUnsigned && packet->rst))) {
        return;
    }
    if (packet->rst) {
        attempt.resetBy = senderIp;
        const Outcome onOpenFlow = isIdle ? Outcome::ResetWhileIdle : Outcome::Reset;
        finish(attempt, attempt.isOpen ? onOpenFlow : Outcome::Refused);
        return;
    }
    if (packet->syn && packet->ack && !attempt.isOpen && packet->acknowledgement == attempt.sequence + 1) {
        attempt.isOpen = true;
        attempt.nextFromHost = packet->sequence + 1;
        sendRequest(attempt);
        return;
    }
    if (!attempt.isOpen || packet->data.empty()) {
        return;
    }
    if (packet->sequence == attempt.nextFromHost && !isIdle) {
        attempt.answer = packet->data;
        attempt.nextFromHost += static_cast<std::uint32_t>(packet->data.size());
        finish(attempt, Outcome::Answered);
    }
    Packet last;
    last.source = attempt.source;
    last.destination = attempt.destination;
    last.sequence = attempt.sequence + 1 + static_cast<std::uint32_t>(attempt.id.size());
    last.acknowledgement = attempt.nextFromHost;
    last.ack = true;
    last.fin = !attempt.isKept;
    sendUdp(m_socket, attempt.balancer, encode(last));
}

void Requesters::tick()
{
    const TimePoint now = Clock::now();
    for (auto &[port, attempt] : m_attempts) {
        if (attempt.outcome != Outcome::UnderWay) {
            continue;
        }
        const auto age = now - attempt.startedAt;
        if (!attempt.isOpen) {
            if (age >= s_openLimit) {
                finish(attempt, Outcome::NotOpened);
            } else if (attempt.copies < s_copyTimes.size() && age >= s_copyTimes[attempt.copies]) {
                sendFirst(attempt);
            }
            continue;
        }
        if (age >= s_timeBudget) {
            finish(attempt, Outcome::Late);
        } else if (now - attempt.sentAt >= attempt.repeatAfter) {
            attempt.repeatAfter = std::min(2 * attempt.repeatAfter, s_longestRepeat);
            sendRequest(attempt);
        }
    }
}

void Requesters::sendFirst(Attempt &attempt)
{
    Packet packet;
    packet.source = attempt.source;
    packet.destination = attempt.destination;
    packet.sequence = attempt.sequence;
    packet.acknowledgement = attempt.copies;
    packet.syn = true;
    ++attempt.copies;
    sendUdp(m_socket, attempt.balancer, encode(packet));
}

void Requesters::sendRequest(Attempt &attempt)
{
    Packet packet;
    packet.source = attempt.source;
    packet.destination = attempt.destination;
    packet.sequence = attempt.sequence + 1;
    packet.acknowledgement = attempt.nextFromHost;
    packet.ack = true;
    packet.data = attempt.id;
    attempt.sentAt = Clock::now();
    sendUdp(m_socket, attempt.balancer, encode(packet));
}

void Requesters::finish(Attempt &attempt, Outcome outcome)
{
    attempt.outcome = outcome;
    m_record.line("request " + attempt.id + " to " + toString(attempt.destination) + ": " + toString(outcome)
                  + (attempt.resetBy == 0 ? "" : " from " + ipToString(attempt.resetBy))
                  + (attempt.answer.empty() ? "" : ", " + attempt.answer));
}

} // namespace review
