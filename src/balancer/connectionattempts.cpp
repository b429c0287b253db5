#include "balancer/connectionattempts.h"

#include "base/datagramsocket.h"
#include "base/socketaddress.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <utility>

namespace samphireswitch::balancer {

namespace {

using membership::ConnectionOutcome;

/** The outcome of an attempt that ended with the system's error @p code, or 0. */
ConnectionOutcome outcomeOf(int code)
{
    switch (code) {
    case 0:
        return ConnectionOutcome::Accepted;
    case ECONNREFUSED:
    case ECONNRESET:
        return ConnectionOutcome::Refused;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
        return ConnectionOutcome::Unanswered;
    default:
        return ConnectionOutcome::NotMade;
    }
}

/** The outcome of a connection that is being opened on @p descriptor; nothing if it is not known yet. */
std::optional<ConnectionOutcome> outcomeOn(int descriptor)
{
    pollfd source {descriptor, POLLOUT, 0};
    if (poll(&source, 1, 0) <= 0) {
        return std::nullopt;
    }
    return outcomeOf(takePendingError(descriptor));
}

} // namespace

ConnectionAttempts::ConnectionAttempts(std::chrono::milliseconds limit)
    : m_limit(limit)
{
}

ConnectionAttempts::~ConnectionAttempts()
{
    for (const Pending &pending : m_pending) {
        close(pending.descriptor);
    }
}

void ConnectionAttempts::begin(const membership::SilentAgents::Attempt &attempt, TimePoint now)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        m_ended.push_back({attempt, ConnectionOutcome::NotMade});
        return;
    }
    const sockaddr_in address = toSocketAddress(attempt.endpoint);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        && errno != EINPROGRESS) {
        m_ended.push_back({attempt, outcomeOf(errno)});
        close(descriptor);
        return;
    }
    m_pending.push_back({attempt, descriptor, now});
}

std::vector<EndedAttempt> ConnectionAttempts::takeEnded(TimePoint now)
{
    std::vector<EndedAttempt> ended = std::exchange(m_ended, {});
    std::erase_if(m_pending, [&](const Pending &pending) {
        // The system is asked first: while this process stood still, an answer may have arrived in time.
        auto outcome = outcomeOn(pending.descriptor);
        if (!outcome && now - pending.begunAt >= m_limit) {
            outcome = ConnectionOutcome::Unanswered;
        }
        if (outcome) {
            close(pending.descriptor);
            ended.push_back({pending.attempt, *outcome});
        }
        return outcome.has_value();
    });
    return ended;
}

} // namespace samphireswitch::balancer
