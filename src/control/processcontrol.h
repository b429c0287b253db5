#pragma once

#include "base/latencyhistogram.h"
#include "control/controlnode.h"
#include "control/rpcnode.h"
#include "protocol/status.h"
#include "settings/settings.h"
#include "telemetry/eventlog.h"
#include "telemetry/metricsendpoint.h"

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

namespace samphireswitch::control {

/** What a process adds to the threads that balancers and agents have in common. */
struct ProcessHooks
{
    /** Configuration, membership or the own record changed. Called in the control thread. */
    std::function<void(const ControlSnapshot &)> changed;
    /** Fills in what only this kind of process knows. Called in the RPC thread and the metrics thread. */
    std::function<void(protocol::Status &)> describe;
};

/** The control, RPC and metrics threads of a balancer or an agent. */
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

    /** Binds all addresses. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Starts the threads. */
    void start();

    /** Stops the threads and waits for them. */
    void stop();

    ControlNode &node();
    protocol::Status status() const;

private:
    std::vector<telemetry::Metric> metrics() const;

    settings::ProcessSettings m_settings;
    ProcessHooks m_hooks;
    ControlNode m_node;
    RpcNode m_rpc;
    telemetry::MetricsEndpoint m_metrics;
    std::vector<std::thread> m_threads;
};

/** The gossip settings that a settings file gives. */
GossipSettings gossipSettings(const settings::ProcessSettings &settings);

/** A record for this process; the incarnation is the time of its start. */
protocol::MemberRecord
ownRecord(const settings::ProcessSettings &settings, protocol::MemberRole role, const std::string &name);

/** Adds a histogram to the counters of @p status. */
void appendSeries(const LatencyHistogram &histogram, const std::string &name, protocol::Status &status);

/** What a signal asks of the process. */
enum class ProcessSignal {
    /** SIGTERM or SIGINT. */
    Stop,
    /** SIGHUP: the settings file has changed. */
    Reload,
};

/** Blocks the signals of ProcessSignal, in this thread and in those that it starts later. */
void blockSignals();

/** Waits for a signal; nothing if none came within @p limit. */
std::optional<ProcessSignal> waitForSignal(std::chrono::milliseconds limit);

/** Waits for a signal that asks the process to end; false if none came within @p limit. Others are ignored. */
bool waitForStopSignal(std::chrono::milliseconds limit);

} // namespace samphireswitch::control
