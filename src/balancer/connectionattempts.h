#pragma once

#include "base/time.h"
#include "membership/silentagents.h"

#include <chrono>
#include <vector>

namespace samphireswitch::balancer {

/** An attempt to connect that has ended. */
struct EndedAttempt
{
    membership::SilentAgents::Attempt attempt;
    membership::ConnectionOutcome outcome = membership::ConnectionOutcome::NotMade;
};

/**
 * Attempts to open TCP connections, of which only the outcome is of interest: each connection is closed at once. No
 * call blocks. Not thread-safe.
 */
class ConnectionAttempts
{
public:
    /** An attempt without an answer for @p limit ends as unanswered. */
    explicit ConnectionAttempts(std::chrono::milliseconds limit);
    ~ConnectionAttempts();

    ConnectionAttempts(const ConnectionAttempts &) = delete;
    ConnectionAttempts &operator=(const ConnectionAttempts &) = delete;

    void begin(const membership::SilentAgents::Attempt &attempt, TimePoint now);

    /** Removes and returns the attempts that have ended by @p now. */
    std::vector<EndedAttempt> takeEnded(TimePoint now);

private:
    struct Pending
    {
        membership::SilentAgents::Attempt attempt;
        int descriptor = -1;
        TimePoint begunAt;
    };

    std::chrono::milliseconds m_limit;
    std::vector<Pending> m_pending;
    /** Attempts that ended when they began. */
    std::vector<EndedAttempt> m_ended;
};

} // namespace samphireswitch::balancer
