#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace samphireswitch::control {

struct DirectorySettings
{
    /** The entry of a balancer that died is gone after this long. */
    std::chrono::milliseconds leaseDuration {9000};
    /** Share of a lease's duration after which it is renewed: two renewals may fail. */
    std::uint32_t renewalsPerLease = 3;
    /** Pause after a call that failed. Entries have to be back 2 s after the store is. */
    std::chrono::milliseconds retryPause {400};
    /** Time between two writes of an entry that changed. A start or a drain changes the entries of all balancers. */
    std::chrono::milliseconds writePause {2000};
    /**
     * The same for an entry that lacks an agent: a balancer that starts takes an agent that no entry names for one that
     * does not exist.
     */
    std::chrono::milliseconds newAgentPause {200};
    /** Time between two reads of the list while this process hears from no balancer. */
    std::chrono::milliseconds readPause {1000};
    /** Silence of all balancers after which the list is read. */
    std::chrono::milliseconds isolationTime {1500};
};

/** What the own entry should tell. */
struct EntryContent
{
    /** Differs for entries with other members or states. */
    std::uint64_t hash = 0;
    /** It names an agent that the written entry does not name. */
    bool hasNewAgent = false;
};

/** Ask the store for a lease. */
struct GrantLease
{
};

/** Write the own entry, with what this process knows now, under this lease. */
struct WriteEntry
{
    std::uint64_t lease = 0;
};

struct RenewLease
{
    std::uint64_t lease = 0;
};

/** Read the entries of all balancers. */
struct ReadEntries
{
};

using DirectoryCall = std::variant<GrantLease, WriteEntry, RenewLease, ReadEntries>;

/*
 * An entry holds the records of the balancer and of the agents that it knows. A process that starts after all of them
 * lost power learns from the entries where everybody was, and who may hold flows.
 */

/**
 * When a process calls the store for the list of balancers: which call is due next. A balancer keeps its own entry
 * under a lease; any process reads the list at its start and while it hears from nobody. Has no socket and no clock.
 */
class DirectorySchedule
{
public:
    /** @p hasEntry: this process is a balancer. */
    DirectorySchedule(const DirectorySettings &settings, bool hasEntry);

    /**
     * The call that is due, or nothing. @p lastHeard: when another process was last heard from. @p content: what the
     * own entry should tell.
     */
    std::optional<DirectoryCall> due(TimePoint now, TimePoint lastHeard, const EntryContent &content) const;

    void leaseGranted(std::uint64_t lease, std::chrono::milliseconds duration, TimePoint now);
    void leaseRenewed(TimePoint now);
    /** The store says that there is no such lease. */
    void leaseEnded();
    void entryWritten(std::uint64_t contentHash, TimePoint now);
    void entriesRead(TimePoint now);
    void callFailed(TimePoint now);

private:
    DirectorySettings m_settings;
    bool m_hasEntry;
    bool m_wasRead = false;
    bool m_isWritten = false;
    std::uint64_t m_lease = 0;
    std::chrono::milliseconds m_leaseDuration {0};
    TimePoint m_renewedAt;
    std::uint64_t m_writtenHash = 0;
    TimePoint m_writtenAt;
    TimePoint m_readAt;
    TimePoint m_pausedUntil;
};

} // namespace samphireswitch::control
