#pragma once

#include "base/latencyhistogram.h"
#include "base/thread.h"
#include "control/controlnode.h"
#include "control/evacuationlog.h"
#include "control/rpcnode.h"
#include "protocol/status.h"
#include "settings/settings.h"
#include "telemetry/eventlog.h"
#include "telemetry/metricsendpoint.h"

#include <chrono>
#include <functional>
#include <vector>

namespace samphireswitch::control {

/** Hooks by which a balancer or an agent extends the threads of ProcessControl. */
struct ProcessHooks
{
    /** The configuration, the membership or the record of this process changed. Called in the control thread. */
    std::function<void(const ControlSnapshot &)> changed;
    /** Adds the role-specific parts of the status. Called in the RPC thread and in the metrics thread. */
    std::function<void(protocol::Status &)> describe;
};

/** Owns the control, RPC and metrics threads of a balancer or an agent. */
class ProcessControl
{
public:
    ProcessControl(const settings::ProcessSettings &settings,
                   const GossipSettings &gossip,
                   const protocol::MemberRecord &self,
                   std::vector<Endpoint> seeds,
                   ProcessHooks hooks,
                   telemetry::EventLog &events);
    ~ProcessControl();

    ProcessControl(const ProcessControl &) = delete;
    ProcessControl &operator=(const ProcessControl &) = delete;

    /** Binds the control address (UDP and TCP) and the metrics address. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Starts the threads. open() must have succeeded. Fails with ResultCode::OutOfResources. */
    Result<void> start();

    /** Stops the threads and waits until they have ended. Does nothing if they are not running. */
    void stop();

    ControlNode &node();
    /** The current status of this process. May be called from any thread if ProcessHooks::describe allows it. */
    protocol::Status status() const;

private:
    /** The counters of status() as metrics, with the generation of the configuration and the number of members. */
    std::vector<telemetry::Metric> metrics() const;

    settings::ProcessSettings m_settings;
    ProcessHooks m_hooks;
    EvacuationLog m_evacuations;
    ControlNode m_node;
    RpcNode m_rpc;
    telemetry::MetricsEndpoint m_metrics;
    Thread m_nodeThread;
    Thread m_rpcThread;
    Thread m_metricsThread;
};

/** Derives the gossip settings from the settings of a process. */
GossipSettings gossipSettings(const settings::ProcessSettings &settings);

/**
 * Creates the member record of this process. The id is a hash of @p name, and the incarnation is the current wall-clock
 * time in microseconds, so that a restarted process has a higher incarnation than its predecessor.
 */
protocol::MemberRecord
ownRecord(const settings::ProcessSettings &settings, protocol::MemberRole role, const std::string &name);

/** Adds the series of @p histogram to the counters of @p status, with names that begin with @p name. */
void appendSeries(const LatencyHistogram &histogram, const std::string &name, protocol::Status &status);

/** Request that a signal makes to the process. */
enum class ProcessSignal {
    /** SIGTERM or SIGINT. */
    Stop,
    /** SIGHUP: read the settings file again. */
    Reload,
};

/**
 * Blocks the signals of ProcessSignal in the calling thread and in threads that it starts later, so that they can be
 * received by waitForSignal(). Ignores SIGPIPE.
 */
void blockSignals();

/** Waits for a signal of ProcessSignal. Returns nothing if none arrived within @p limit. */
std::optional<ProcessSignal> waitForSignal(std::chrono::milliseconds limit);

/**
 * Waits for one signal and returns whether it requests the process to stop. Returns false if no signal arrived within
 * @p limit, or if a reload was requested, which is then ignored.
 */
bool waitForStopSignal(std::chrono::milliseconds limit);

} // namespace samphireswitch::control
