#pragma once

#include "agent/passthroughdatapath.h"
#include "agent/servedrunstore.h"
#include "agent/storedflowsschedule.h"
#include "base/endpoint.h"
#include "base/identifiers.h"
#include "base/resultcode.h"
#include "base/wakesignal.h"
#include "platform/storeclient.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>

namespace samphireswitch::agent {

/**
 * Keeps the open flows of an agent and the runs that it has served in the platform's store, and reads those of an
 * earlier process at the start. run() makes all calls to the store; the other functions may be called from any thread.
 */
class FlowStore
{
public:
    /** @p dataPath and @p wake must be valid for the lifetime of the object. @p wake ends a wait of run(). */
    FlowStore(const Endpoint &store,
              AgentId agent,
              const StoredFlowsSettings &settings,
              PassthroughDataPath &dataPath,
              WakeSignal &wake);

    /** Makes the calls that are due until requestStop() is called. The first failure after a success is logged. */
    void run();
    /** Makes run() return after the store call in progress. Does not wait for it. */
    void requestStop();

    /** Sets the number of agents in the pool, with which the time between two writes grows. */
    void setPoolSize(std::size_t agents);

    /** Number of calls to the store since the start, including failed ones. */
    std::uint64_t calls() const;
    /** Number of calls to the store since the start that failed. */
    std::uint64_t failures() const;
    /** Number of flows that this process has in the store. */
    std::size_t storedFlows() const;

private:
    /** Makes the next call that is due, or waits. */
    void runOnce();
    void perform(const std::function<Result<void>()> &call);
    Result<void> execute(const ReadFlows &call);
    Result<void> execute(const GrantFlowsLease &call);
    Result<void> execute(const WriteFlows &call);
    Result<void> execute(const RenewFlowsLease &call);
    OpenFlows compareWithStored(const passthrough::StoredFlows &open) const;
    void recordFailure(const Error &error);

    PassthroughDataPath &m_dataPath;
    WakeSignal &m_wake;
    std::string m_key;
    platform::StoreClient m_client;
    ServedRunStore m_servedRuns;
    StoredFlowsSettings m_settings;
    StoredFlowsSchedule m_schedule;
    /** Hashes of the flows that this process has written last. */
    std::unordered_set<std::uint64_t> m_written;
    bool m_isStoreUnavailable = false;
    std::atomic<std::size_t> m_poolSize {1};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_failures {0};
    std::atomic<std::size_t> m_storedFlows {0};
    std::atomic<bool> m_stopRequested {false};
};

} // namespace samphireswitch::agent
