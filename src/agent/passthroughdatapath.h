#pragma once

#include "base/endpoint.h"
#include "passthrough/passthroughadmission.h"
#include "passthrough/upstreamreport.h"
#include "telemetry/eventlog.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::agent {

struct PassthroughDataSettings
{
    passthrough::PassthroughSettings admission;
    std::string host;
    /** Where the upstream takes packets. */
    Endpoint upstreamAddress;
    /** Where the upstream sends its packets to. */
    Endpoint outboundAddress;
};

/** What the packet path tells the other threads; published several times a second and after each report. */
struct PassthroughDataStatus
{
    passthrough::PassthroughCounters counters;
    /** The upstream takes new flows. */
    bool accepting = false;
    /** The upstream has left for good. */
    bool left = false;
    /** The upstream has not reported since the start, and does not run. */
    bool upstreamAbsent = false;
    /** Pool that the upstream reported; empty before its first report. */
    std::string service;
    std::uint32_t slots = 0;
    std::size_t requestsWaiting = 0;
    std::size_t flows = 0;
    /** First packets that wait for a slot. */
    std::size_t firstPacketsHeld = 0;
    LatencyHistogram answerTimes {};
    LatencyHistogram waitingTimes {};
    bool knowsAllFlows = false;
    std::uint64_t packetsFromBalancers = 0;
    std::uint64_t packetsFromUpstream = 0;
    std::uint64_t malformed = 0;
    /** Datagrams that a socket did not take. */
    std::uint64_t droppedDatagrams = 0;
    /** Reports that were lost because the packet path did not take them in time. */
    std::uint64_t droppedReports = 0;
};

/**
 * The packet path of an agent whose upstream ends the callers' connections itself: envelopes in, packets to the
 * upstream and to callers out. All work is done in run(), which belongs to one thread; report() belongs to the thread
 * that takes the upstream's reports, setPeers() to the control thread, and the others to any thread.
 */
class PassthroughDataPath
{
public:
    PassthroughDataPath(const PassthroughDataSettings &settings, telemetry::EventLog &events);
    ~PassthroughDataPath();

    PassthroughDataPath(const PassthroughDataPath &) = delete;
    PassthroughDataPath &operator=(const PassthroughDataPath &) = delete;

    /** Binds the sockets. Fails with ResultCode::SocketError. */
    Result<void> open();

    void run();
    void requestStop();

    /** Hands over a report of the upstream. Returns false if it was dropped. */
    bool report(const passthrough::UpstreamMessage &message);

    /** Nobody listens at the upstream's address. */
    void upstreamAbsent();

    /** Replaces the agents of the upstream's pool. */
    void setPeers(std::vector<protocol::Candidate> peers);

    /** Replaces the addresses that the upstream may serve. Belongs to the control thread. */
    void setServed(passthrough::ServedDestinations served);

    /** No new flow is accepted any more. */
    void stopAccepting();

    /** The newest published status. */
    std::shared_ptr<const PassthroughDataStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::agent
