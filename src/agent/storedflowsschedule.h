#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace samphireswitch::agent {

/** Timing of the calls by which an agent keeps its open flows in the store. */
struct StoredFlowsSettings
{
    /** Minimum time between two writes of changed flows; 0 if the flows are neither written nor read. */
    std::chrono::milliseconds writeInterval {2000};
    /** Time that each agent of the pool adds to it, so that the pool's number of writes a second has a limit. */
    std::chrono::milliseconds intervalPerAgent {50};
    /** The same two times while most of the flows are in the store. Flows that stay open for long change seldom. */
    std::chrono::milliseconds calmInterval {4000};
    std::chrono::milliseconds calmIntervalPerAgent {400};
    /**
     * Requested duration of the lease on the flows. They are of no use once the flows are idle for longer than agents
     * keep them, and those of a machine that is gone must not stay in the store.
     */
    std::chrono::milliseconds leaseDuration {120000};
    /** Delay after a failed read. Callers wait meanwhile. */
    std::chrono::milliseconds readRetryDelay {300};
    /** The flows are not read any more after this time: they have ended. */
    std::chrono::milliseconds readLimit {75000};
    /** Delay after a failed write; it doubles with each further failure in a row, up to longestRetryDelay. */
    std::chrono::milliseconds writeRetryDelay {1000};
    std::chrono::milliseconds longestRetryDelay {30000};
};

/** Reads the flows of an earlier process. */
struct ReadFlows
{
};

/** Requests a lease for the flows. */
struct GrantFlowsLease
{
};

/** Writes the open flows in their current form under the given lease. */
struct WriteFlows
{
    std::uint64_t lease = 0;
};

/** Renews the given lease. */
struct RenewFlowsLease
{
    std::uint64_t lease = 0;
};

/** The open flows, compared with those that this process has written. */
struct OpenFlows
{
    /** Hash of the open flows; 0 if there are none. */
    std::uint64_t contentHash = 0;
    std::size_t count = 0;
    /** How many of them are not in the store. */
    std::size_t unsaved = 0;
};

using StoredFlowsCall = std::variant<ReadFlows, GrantFlowsLease, WriteFlows, RenewFlowsLease>;

/**
 * Decides which call is due next by which an agent keeps its open flows in the store. The flows of an earlier process
 * are read before any are written, which would replace them. Flows that did not change are not written again.
 *
 * The class does no input or output and reads no clock. The caller makes the call and reports its result.
 */
class StoredFlowsSchedule
{
public:
    /** @p now is the start of the agent. */
    StoredFlowsSchedule(const StoredFlowsSettings &settings, TimePoint now);

    /**
     * The call that is due at @p now, or nothing. @p poolSize is the number of agents in the pool.
     */
    std::optional<StoredFlowsCall> due(TimePoint now, const OpenFlows &open, std::size_t poolSize) const;

    /** The flows were read, or there were none. */
    void flowsRead();
    /** The store granted @p lease for @p duration. @p now is the time at which the request was sent. */
    void leaseGranted(std::uint64_t lease, std::chrono::milliseconds duration, TimePoint now);
    /** The store renewed the lease. @p now as for leaseGranted(). */
    void leaseRenewed(TimePoint now);
    /** The lease has ended, and the flows are not in the store any more. */
    void leaseEnded();
    /** The flows with the hash @p contentHash are in the store. */
    void flowsWritten(std::uint64_t contentHash, TimePoint now);
    /** A call failed. No call is due for a while. */
    void callFailed(TimePoint now);

private:
    std::chrono::milliseconds writeInterval(const OpenFlows &open, std::size_t poolSize) const;

    StoredFlowsSettings m_settings;
    TimePoint m_startedAt;
    bool m_wasRead = false;
    std::uint64_t m_lease = 0;
    std::chrono::milliseconds m_leaseDuration {0};
    TimePoint m_renewedAt;
    /** Of the flows that this process has written; 0 if there are none in the store. */
    std::uint64_t m_writtenHash = 0;
    TimePoint m_writtenAt;
    std::chrono::milliseconds m_retryDelay;
    TimePoint m_pausedUntil;
};

} // namespace samphireswitch::agent
