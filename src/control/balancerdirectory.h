#pragma once

#include "control/controlnode.h"
#include "control/directoryschedule.h"
#include "platform/storeclient.h"
#include "protocol/datagramcodec.h"

#include <atomic>
#include <cstdint>

namespace samphireswitch::control {

/**
 * The list of balancers in the store, by which processes find each other that know nobody: after a start with stale
 * seeds, or after all of them lost power. Only balancers have an entry; agents and their state are learned from peers.
 * All work is done in run(); the other functions may be called from any thread.
 */
class BalancerDirectory
{
public:
    /** @p hasEntry: this process is a balancer, and other processes find it here. @p node must be running. */
    BalancerDirectory(const Endpoint &store, ControlNode &node, bool hasEntry);

    void run();
    void requestStop();

    std::uint64_t calls() const;
    std::uint64_t failures() const;

private:
    void perform(const DirectoryCall &call);
    Result<void> carryOut(const GrantLease &call);
    Result<void> carryOut(const WriteEntry &call);
    Result<void> carryOut(const RenewLease &call);
    Result<void> carryOut(const ReadEntries &call);
    void noteFailure(const Error &error);

    ControlNode &m_node;
    platform::StoreClient m_client;
    DirectorySchedule m_schedule;
    protocol::DatagramCodec m_codec;
    bool m_isLost = false;
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_failures {0};
};

} // namespace samphireswitch::control
