#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace samphireswitch::membership {

/** Timeouts of the failure detector and the number of registrars. */
struct MembershipSettings
{
    /** A registrar marks a member as suspect after this time without a heartbeat; the member then gets no new flows. */
    std::chrono::milliseconds suspectAfter {2000};
    /** A registrar marks a member as dead after this time without a heartbeat; existing flows then avoid it as well. */
    std::chrono::milliseconds deadAfter {10000};
    /**
     * Timeout after which a registrar marks an unconfirmed member, which is known from an earlier time only, as dead.
     * It covers several of the reports that members send to a process that has started.
     */
    std::chrono::milliseconds unconfirmedAfter {5000};
    /**
     * Timeout after which a registrar marks a member as suspect that should report to it but does not. The member is
     * marked as dead after a further deadAfter.
     */
    std::chrono::milliseconds orphanAfter {20000};
    /** Records of members that died or left are discarded after this time. */
    std::chrono::milliseconds forgetAfter {600000};
    /**
     * Records of agents that had died before this process learned of them are discarded after this time. It is longer
     * than the time for which an agent that died is expected back.
     */
    std::chrono::milliseconds forgetLearnedAfter {30000};
    /** Number of balancers, called registrars, to which each member announces itself. */
    std::size_t registrarCount = 2;
};

/** One hash for each bucket of members; a member belongs to the bucket of its id modulo their number. */
using BucketHashes = std::array<std::uint64_t, protocol::s_digestBucketCount>;

/**
 * The agents and balancers that one process knows, with the failure detector for those that report to this process.
 * Of two records of a member the one with the higher (incarnation, version, liveness) is kept, so that all processes
 * converge to the same records regardless of the order in which these arrive.
 */
class MembershipTable
{
public:
    /** @p self is the id of this process. merge() ignores records with this id, which come from other processes. */
    MembershipTable(const MembershipSettings &settings, std::uint64_t self);

    /**
     * Merges records that other processes sent. Returns the records that changed the table. A record that merely marks
     * a member as suspect or dead is rejected while this process hears from the member; see disputedLiveness().
     */
    std::vector<protocol::MemberRecord> merge(const std::vector<protocol::MemberRecord> &records, TimePoint now);

    /**
     * Adds the agents among @p records that died and that this table lacks, as having died at @p now. merge() ignores
     * them. A process that has just started needs them, because their upstreams may hold flows. Returns the records
     * that were added.
     */
    std::vector<protocol::MemberRecord> addDeadAgents(const std::vector<protocol::MemberRecord> &records,
                                                      TimePoint now);

    /**
     * Handles the announcement of a member that chose this process as its registrar. Returns true if @p record changed
     * the table.
     */
    bool announced(const protocol::MemberRecord &record, TimePoint now);

    /**
     * Handles the end of an isolation of this process. Restores the liveness that members had before, because their
     * silence was caused by the isolation, and restarts the timeouts of all members at @p now. Returns true if the
     * liveness of any member was restored.
     */
    bool connectivityRestored(TimePoint now);

    /**
     * The liveness that other processes claim for member @p id, if merge() rejected the claim because this process
     * hears from the member. The member must be notified to refute the claim with a newer record.
     */
    std::optional<protocol::Liveness> disputedLiveness(std::uint64_t id) const;

    /** Agents that were marked as dead at @p time or later and are still dead, in ascending order of their ids. */
    std::vector<protocol::MemberRecord> deadAgentsSince(TimePoint time) const;

    /** Agents that are suspect, in ascending order of their ids. */
    std::vector<protocol::MemberRecord> suspectAgents() const;

    /**
     * Agents that are not known to be gone but may have stopped, in ascending order of their ids: they have announced
     * their stop, or are unconfirmed.
     */
    std::vector<protocol::MemberRecord> stoppingAgents() const;

    /**
     * Handles a heartbeat of a member. Returns false if the member has to announce itself, because the table lacks this
     * incarnation and version of its record or because the record is unconfirmed.
     */
    bool heartbeat(std::uint64_t id, std::uint64_t incarnation, std::uint64_t version, TimePoint now);

    /** Why no heartbeats arrive: the members failed, or this process is isolated and hears from no other process. */
    enum class SilenceCause { RemoteFailure, LocalIsolation };

    /**
     * Marks members that were not heard from as suspect or dead and discards old records. Returns the records whose
     * liveness changed. Each call examines all members that report to this process but only a bounded number of the
     * others, so that its duration is bounded with a large table. Changes made with SilenceCause::LocalIsolation are
     * reverted by connectivityRestored() and must not be sent to other processes.
     */
    std::vector<protocol::MemberRecord> expire(TimePoint now, SilenceCause silence = SilenceCause::RemoteFailure);

    /** The record of member @p id, valid until the table changes; null if it is unknown. */
    const protocol::MemberRecord *find(std::uint64_t id) const;

    /** Ids of the balancers that are alive and active, in ascending order; valid until the table changes. */
    std::span<const std::uint64_t> liveBalancers() const;

    /**
     * Ids of the balancers that may run, but of which nobody has heard since they were read from the directory, in
     * ascending order; valid until the table changes. They hold no duty.
     */
    std::span<const std::uint64_t> unconfirmedBalancers() const;

    /**
     * Marks balancer @p id as suspect because it did not answer probes of this process, unless it reports to this
     * process and was heard from. Returns the record if it changed.
     */
    std::vector<protocol::MemberRecord> reportSilent(std::uint64_t id, TimePoint now);

    /** Agents of @p service that are not dead and have not left, in ascending order of their ids. */
    std::vector<protocol::MemberRecord> agentsOf(ServiceId service) const;

    /** Agents of @p service that died or left at @p time or later, in ascending order of their ids. */
    std::vector<protocol::MemberRecord> agentsGoneSince(ServiceId service, TimePoint time) const;

    /** All records, in ascending order of their ids. */
    std::vector<protocol::MemberRecord> records() const;

    /**
     * Records in the buckets whose hash differs from @p hashes, where @p self is treated as part of the table, and
     * those of the agents that died shortly before @p now, which the hashes do not include.
     */
    std::vector<protocol::MemberRecord>
    recordsDiffering(const BucketHashes &hashes, const protocol::MemberRecord &self, TimePoint now) const;

    /**
     * Hashes of the buckets, by which two processes find the records that differ. Members that died or left are
     * excluded, because processes discard them at different times. @p self is the record of this process, which its own
     * table lacks but the tables of other processes contain; it is included so that processes with the same members
     * have the same hashes.
     */
    BucketHashes bucketHashes(const protocol::MemberRecord &self) const;

    /** Combines bucketHashes() of the table and @p self into one hash. */
    std::uint64_t hash(const protocol::MemberRecord &self) const;

    /** Number of records, including those of members that died or left. */
    std::size_t size() const;

private:
    struct Entry
    {
        protocol::MemberRecord record;
        /** When a heartbeat, announcement or newer record last arrived, or when an isolation of this process ended. */
        TimePoint lastHeard;
        /** When the member was marked as dead or left. */
        TimePoint endedAt;
        /** Whether the agent had died before this process learned of it. */
        bool wasLearnedDead = false;
        /** The claim of other processes that merge() rejected. */
        std::optional<protocol::Liveness> disputedLiveness;
        /** Since when the member should report to this process without having done so. */
        std::optional<TimePoint> expectedSince;
        /** Liveness before this process was isolated, if it was changed during the isolation. */
        std::optional<protocol::Liveness> livenessBeforeIsolation;
    };

    /** Replaces the record of @p entry, updates the indexes and clears the state that belonged to the old record. */
    void store(Entry &entry, const protocol::MemberRecord &record, TimePoint now);
    /** Adds @p record to the indexes and the bucket hashes. */
    void index(const protocol::MemberRecord &record);
    /** Removes @p record from the indexes and the bucket hashes. */
    void unindex(const protocol::MemberRecord &record);
    /** The index of balancers that contains the one with this record; null if it is in none. */
    std::vector<std::uint64_t> *balancerIndexFor(const protocol::MemberRecord &record);
    /** The index that contains the agent with this record: m_goneAgents if it died or left, else m_agents. */
    std::map<ServiceId, std::set<std::uint64_t>> &agentIndexFor(const protocol::MemberRecord &record);
    /**
     * Sets the liveness of @p entry to that of the failure detector if it ranks higher than the recorded one, and
     * appends the new record to @p changed.
     */
    void
    updateLiveness(Entry &entry, TimePoint now, SilenceCause silence, std::vector<protocol::MemberRecord> &changed);
    /**
     * Whether @p record only claims a worse liveness of a member from which this process heard within the last
     * suspectAfter.
     */
    bool isDisputed(const Entry &entry, const protocol::MemberRecord &record, TimePoint now) const;
    /** Whether this process is one of the registrars that the member should report to. */
    bool isChosenRegistrar(const Entry &entry) const;
    /** The liveness that the failure detector derives from the time without messages of the member. */
    protocol::Liveness assessLiveness(const Entry &entry, TimePoint now) const;
    /** Sets expectedSince if the member should report to this process but does not, and clears it otherwise. */
    void updateExpectedSince(Entry &entry, TimePoint now) const;

    MembershipSettings m_settings;
    std::uint64_t m_self;
    std::map<std::uint64_t, Entry> m_entries;
    /** Ids of the members that report to this process. */
    std::set<std::uint64_t> m_heardDirectly;
    std::vector<std::uint64_t> m_liveBalancers;
    std::vector<std::uint64_t> m_unconfirmedBalancers;
    /** Ids of the agents that neither died nor left, by service. */
    std::map<ServiceId, std::set<std::uint64_t>> m_agents;
    /** Ids of the agents that died or left, by service. */
    std::map<ServiceId, std::set<std::uint64_t>> m_goneAgents;
    /** Id of the member at which the last call of expire() stopped; the next call continues after it. */
    std::uint64_t m_lastExaminedId = 0;
    /** XOR of the record hashes of the members in each bucket. */
    BucketHashes m_bucketHashes {};
};

} // namespace samphireswitch::membership
