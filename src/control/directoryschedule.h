#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace samphireswitch::control {

/** Timing of the calls to the balancer directory. */
struct DirectorySettings
{
    /** Requested duration of the lease on an entry. The store removes the entry when the lease expires. */
    std::chrono::milliseconds leaseDuration {9000};
    /** Number of renewals due within the duration of a lease. With 3, two renewals in a row may fail. */
    std::uint32_t renewalsPerLease = 3;
    /** Delay after a failed call. Entries must be in the store again within 2 s after the store recovers. */
    std::chrono::milliseconds retryDelay {400};
    /**
     * Minimum time between two writes of a changed entry. It limits the load on the store, since the start or the drain
     * of a process changes the entries of many balancers.
     */
    std::chrono::milliseconds writeInterval {2000};
    /**
     * Minimum time between two writes if the written entry lacks an agent or the departure of an agent's upstream. It
     * is shorter than writeInterval because a balancer that starts assumes that agents listed in no entry do not exist,
     * and an agent whose upstream is gone cannot find that out by itself.
     */
    std::chrono::milliseconds urgentWriteInterval {200};
    /** Minimum time between two reads while this process hears from no other process, or waits until it is listed. */
    std::chrono::milliseconds readInterval {1000};
    /** The directory is read again if no other process has been heard from for this long. */
    std::chrono::milliseconds isolationTimeout {1500};
};

/** Summary of the entry that this process should have in the store. */
struct EntryContent
{
    /** Hash of the members in the entry and their states. Versions are not included. */
    std::uint64_t hash = 0;
    /** Whether the entry in the store lacks an agent, or the departure of an agent's upstream. */
    bool isUrgent = false;
};

/** Requests a new lease from the store. */
struct GrantLease
{
};

/** Writes the entry of this process, in its current form, under the given lease. */
struct WriteEntry
{
    std::uint64_t lease = 0;
};

/** Renews the given lease. */
struct RenewLease
{
    std::uint64_t lease = 0;
};

/** Reads the entries of all balancers. */
struct ReadEntries
{
};

using DirectoryCall = std::variant<GrantLease, WriteEntry, RenewLease, ReadEntries>;

/**
 * Decides which call to the balancer directory is due next. A balancer keeps its entry in the store under a lease;
 * every process reads the directory when it starts and while it hears from no other process. An entry holds the record
 * of the balancer and can hold those of agents: after all processes lost power, a process that starts learns from the
 * entries the addresses of the others and which agents may hold flows.
 *
 * The class does no input or output and reads no clock. The caller makes the call and reports its result.
 */
class DirectorySchedule
{
public:
    /** @p hasEntry is true for a balancer, which writes an entry, and false for a process that only reads. */
    DirectorySchedule(const DirectorySettings &settings, bool hasEntry);

    /**
     * The call that is due at @p now, or nothing. @p lastHeard is the time of the last datagram from another process.
     * @p content describes the entry that this process should have in the store.
     */
    std::optional<DirectoryCall> due(TimePoint now, TimePoint lastHeard, const EntryContent &content) const;

    /**
     * The store granted @p lease for @p duration. @p now should be the time at which the request was sent, so that the
     * lease is renewed early enough. The entry has to be written under the new lease.
     */
    void leaseGranted(std::uint64_t lease, std::chrono::milliseconds duration, TimePoint now);
    /** The store renewed the lease. @p now as for leaseGranted(). */
    void leaseRenewed(TimePoint now);
    /** The lease has expired or may no longer be valid. A new lease is due, and then a write of the entry. */
    void leaseEnded();
    /** The entry with the hash @p contentHash is in the store. */
    void entryWritten(std::uint64_t contentHash, TimePoint now);
    /** The entries of all balancers were read. */
    void entriesRead(TimePoint now);
    /** Whether the directory is to be read regularly until it lists this process. */
    void setAwaitsListing(bool awaitsListing);
    /** A call failed. No call is due until DirectorySettings::retryDelay has passed. */
    void callFailed(TimePoint now);

private:
    DirectorySettings m_settings;
    bool m_hasEntry;
    bool m_wasRead = false;
    bool m_isWritten = false;
    bool m_awaitsListing = false;
    std::uint64_t m_lease = 0;
    std::chrono::milliseconds m_leaseDuration {0};
    TimePoint m_renewedAt;
    std::uint64_t m_writtenHash = 0;
    TimePoint m_writtenAt;
    TimePoint m_readAt;
    TimePoint m_pausedUntil;
};

} // namespace samphireswitch::control
