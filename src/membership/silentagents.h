#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace samphireswitch::membership {

/** How an attempt to open a TCP connection to a process ended. */
enum class ConnectionOutcome : std::uint8_t {
    /** The system accepted the connection for the process, which runs or stands still. */
    Accepted,
    /** The system refused the connection, because no process listens there. */
    Refused,
    /** Nobody answered in time. */
    Unanswered,
    /** The attempt could not be made, which says nothing of the process. */
    NotMade,
};

/** When SilentAgents has agents probed. */
struct SilentAgentSettings
{
    /** From the start of an attempt to the next one if the connection was accepted. A process stands still for longer.
     */
    std::chrono::milliseconds acceptedInterval {2000};
    /** The same for other outcomes. */
    std::chrono::milliseconds otherInterval {300};
    /** Number of consecutive unanswered attempts after which a machine counts as lost. A single packet may be lost. */
    std::uint32_t attempts = 2;
    /** Number of agents that are probed; of further ones nothing is known. */
    std::size_t capacity = 64;
};

/**
 * What is known of the machines of agents that have stopped responding. A process that stands still is as silent as a
 * machine that is lost, but its system still accepts connections for it, and its upstream holds its flows. Has no
 * socket or clock.
 */
class SilentAgents
{
public:
    /** An attempt to connect to an agent that is to begin now. */
    struct Attempt
    {
        std::uint64_t agent = 0;
        Endpoint endpoint;
        /** Distinguishes the attempts: the result of one that began before the agent responded again is outdated. */
        std::uint64_t number = 0;
    };

    explicit SilentAgents(const SilentAgentSettings &settings = {});

    /** Replaces the agents that are silent. What is known of an agent is forgotten once it responds or restarts. */
    void update(const std::vector<protocol::MemberRecord> &silent);

    /** The attempts that are due at @p now. Each of them has to be followed by a call of attemptEnded(). */
    std::vector<Attempt> takeDue(TimePoint now);

    void attemptEnded(const Attempt &attempt, ConnectionOutcome outcome);

    /** Agents whose machines do not answer. */
    const std::set<std::uint64_t> &lost() const;

    /** Agents for which connections are accepted although they do not respond: they stand still, and go on later. */
    std::set<std::uint64_t> standingStill() const;

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        Endpoint endpoint;
        TimePoint nextAttempt;
        /** Number of the attempt under way; 0 if there is none. */
        std::uint64_t attempt = 0;
        std::optional<ConnectionOutcome> outcome;
        std::uint32_t unanswered = 0;
    };

    SilentAgentSettings m_settings;
    std::map<std::uint64_t, Entry> m_agents;
    std::set<std::uint64_t> m_lost;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace samphireswitch::membership
