#pragma once

#include "agent/passthroughstatus.h"
#include "base/endpoint.h"
#include "base/wakesignal.h"
#include "passthrough/passthroughadmission.h"
#include "passthrough/upstreamreport.h"
#include "telemetry/eventlog.h"

#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::agent {

/** Settings of the packet path of an agent with passthrough delivery. */
struct PassthroughDataSettings
{
    passthrough::PassthroughSettings admission;
    std::string host;
    /** Address at which the upstream receives packets. */
    Endpoint upstreamAddress;
    /** Address of the agent to which the upstream sends its packets. */
    Endpoint outboundAddress;
};

/**
 * The packet path of an agent with passthrough delivery, whose upstream terminates the callers' connections itself.
 * The packet path receives callers' packets in envelopes and delivers them to the upstream, and forwards the upstream's
 * packets to the callers. All packets are processed in run(), which must be called by one thread only. report() must be
 * called only by the thread that receives the upstream's reports, setPeers() and setServed() only by the control
 * thread; the other functions may be called by any thread.
 */
class PassthroughDataPath
{
public:
    /** @p runsChanged is notified when runsToRecord() changes; it must be valid for the lifetime of the object. */
    PassthroughDataPath(const PassthroughDataSettings &settings, telemetry::EventLog &events, WakeSignal &runsChanged);
    ~PassthroughDataPath();

    PassthroughDataPath(const PassthroughDataPath &) = delete;
    PassthroughDataPath &operator=(const PassthroughDataPath &) = delete;

    /**
     * Binds the sockets and connects one to the upstream's address. Fails with ResultCode::SocketError if the system
     * refuses a socket, an address or an event descriptor. Must succeed before run() is called.
     */
    Result<void> open();

    /** Processes packets until requestStop() is called. */
    void run();
    /** Makes run() return after its current iteration. */
    void requestStop();

    /** Queues a report of the upstream for run(). Returns false if the queue is full and the report was dropped. */
    bool report(const passthrough::UpstreamMessage &message);

    /**
     * Replaces the list of agents of the upstream's pool, which a search for a flow's owner may ask and which record
     * the owners of each other's flows.
     */
    void setPeers(std::vector<passthrough::Peer> peers);

    /** Replaces the addresses that the upstream may serve by the newest configuration that the agent knows. */
    void setServed(passthrough::ServedDestinations served);

    /** Tells that the upstream had announced its exit before the start of this process. */
    void upstreamHadLeft(Clock::duration age);

    /** Passes on the flows that an earlier process of this agent has kept in the store. */
    void storedFlowsRead(passthrough::StoredFlows stored);

    /** The open flows to keep in the store, updated about once a second. Never null. */
    std::shared_ptr<const passthrough::StoredFlows> openFlows() const;

    /** Passes on the runs of the upstream that the store listed after the start of this process. */
    void earlierRunsRead(passthrough::ServedRuns earlier);

    /** Tells that the store lists @p recorded. */
    void runsRecorded(passthrough::ServedRuns recorded);

    /** The runs of the upstream that the store should list; none before the first report. Never null. */
    std::shared_ptr<const passthrough::ServedRuns> runsToRecord() const;

    /** Makes the agent accept no new flow from now on; packets of open flows still pass. */
    void stopAccepting();

    /** Returns the most recently published status. */
    std::shared_ptr<const PassthroughDataStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::agent
