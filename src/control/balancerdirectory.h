#pragma once

#include "control/controlnode.h"
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
 * The list of balancers in the store, by which processes find each other that know nobody: after a start with stale
 * seeds, or after all of them lost power. Only balancers have an entry, which also tells the agents that they know.
 * All work is done in run(); the other functions may be called from any thread.
 */
class BalancerDirectory
{
public:
    /** @p hasEntry: this process is a balancer, and other processes find it here. @p node must be running. */
    BalancerDirectory(const Endpoint &store, ControlNode &node, bool hasEntry);

    void run();
    void requestStop();

    /**
     * Ids of the agents that the entries named when the list was first read; nothing before that, or if there was no
     * entry of another process. A process that started later than they were written may not know all of them yet.
     */
    std::optional<std::set<std::uint64_t>> agentsAtStart() const;

    std::uint64_t calls() const;
    std::uint64_t failures() const;

private:
    void perform(const DirectoryCall &call);
    Result<void> carryOut(const GrantLease &call);
    Result<void> carryOut(const WriteEntry &call);
    Result<void> carryOut(const RenewLease &call);
    Result<void> carryOut(const ReadEntries &call);
    void noteFailure(const Error &error);
    void noteAgents(const std::vector<protocol::MemberRecord> &records);
    /** Rebuilds the own entry if the members have changed since. */
    void updateEntry();

    ControlNode &m_node;
    platform::StoreClient m_client;
    DirectorySchedule m_schedule;
    protocol::DatagramCodec m_codec;
    bool m_hasEntry;
    /** What the own entry should tell, and the members that it was built from. */
    protocol::MemberUpdate m_entry;
    EntryContent m_content;
    std::shared_ptr<const ControlSnapshot> m_entrySource;
    /** The agents that the written entry names. */
    std::set<std::uint64_t> m_writtenAgents;
    bool m_isLost = false;
    mutable std::mutex m_mutex;
    std::optional<std::set<std::uint64_t>> m_agentsAtStart;
    bool m_wasRead = false;
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_failures {0};
};

} // namespace samphireswitch::control
