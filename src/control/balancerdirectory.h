#pragma once

#include "control/controlnode.h"
#include "control/departedagents.h"
#include "control/directoryschedule.h"
#include "platform/storeclient.h"
#include "protocol/datagramcodec.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace samphireswitch::control {

/**
 * Client of the balancer directory, a list of balancers in the store. A process that cannot reach a known balancer
 * finds the others through the directory, for example when its seeds are out of date or when all processes lost power
 * at once. Each balancer keeps one entry, which holds its own record and can hold the records of agents that it knows.
 * run() makes all calls to the store; the other functions may be called from any thread.
 */
class BalancerDirectory
{
public:
    /**
     * @p store is the address of the store. @p hasEntry is true for a balancer, which keeps an entry of its own, and
     * false for an agent, which only reads. @p node supplies the membership and receives the records that were read;
     * it runs in a thread of its own.
     */
    BalancerDirectory(const Endpoint &store, ControlNode &node, bool hasEntry);

    /**
     * Makes the calls that are due until requestStop() is called. A failed call is counted and retried after a delay;
     * the first failure after a success is logged.
     */
    void run();
    /** Makes run() return after the store call or the pause in progress. Does not wait for it. */
    void requestStop();

    /**
     * Ids of the agents that the directory listed when this process first read it. Returns nothing before the first
     * successful read, and if that read returned no records. A process that has just started may not have all of
     * these agents in its membership yet.
     */
    std::optional<std::set<std::uint64_t>> agentsAtStart() const;

    /**
     * When the upstream of this agent left, by the machine's time of day since the epoch, if the directory told at its
     * first read that it had left before this process began.
     */
    std::optional<std::chrono::milliseconds> upstreamLeftAt() const;
    /** Whether the directory lists this run of the process, as far as it was read. */
    bool isListed() const;
    /**
     * Whether the directory is to be read again and again until it lists this run of the process. An agent of which the
     * directory says that its upstream has left must not get flows before: after a restart it would deny them.
     */
    void setAwaitsListing(bool awaitsListing);

    /** Number of calls to the store since the start, including failed ones. */
    std::uint64_t calls() const;
    /** Number of calls to the store since the start that failed. */
    std::uint64_t failures() const;

private:
    void perform(const DirectoryCall &call);
    Result<void> execute(const GrantLease &call);
    Result<void> execute(const WriteEntry &call);
    Result<void> execute(const RenewLease &call);
    Result<void> execute(const ReadEntries &call);
    void recordFailure(const Error &error);
    /** Stores the agents among @p records for agentsAtStart(). Only the first call has an effect. */
    void recordAgentsAtStart(const std::vector<protocol::MemberRecord> &records);
    /** Stores what @p records tell of this process. */
    void recordSelf(const std::vector<protocol::MemberRecord> &records);
    /** Rebuilds the entry of this process if the control thread has published a new snapshot. */
    void updateEntry();

    ControlNode &m_node;
    platform::StoreClient m_client;
    DirectorySchedule m_schedule;
    protocol::DatagramCodec m_codec;
    bool m_hasEntry;
    /** The entry as it should be in the store, its summary for the schedule, and the snapshot it was built from. */
    protocol::MemberUpdate m_entry;
    EntryContent m_content;
    std::shared_ptr<const ControlSnapshot> m_entrySnapshot;
    /** Ids of the agents in the entry that was last written to the store, and of those whose upstreams have left. */
    std::set<std::uint64_t> m_writtenAgents;
    std::set<std::uint64_t> m_writtenDepartures;
    DepartedAgents m_departed;
    bool m_isStoreUnavailable = false;
    mutable std::mutex m_mutex;
    std::optional<std::set<std::uint64_t>> m_agentsAtStart;
    bool m_wasRead = false;
    std::atomic<std::chrono::milliseconds> m_upstreamLeftAt {std::chrono::milliseconds(0)};
    std::atomic<bool> m_isListed {false};
    std::atomic<bool> m_awaitsListing {false};
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_failures {0};
};

} // namespace samphireswitch::control
