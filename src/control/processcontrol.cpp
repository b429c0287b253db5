#include "control/processcontrol.h"

#include "base/hash.h"

#include <pthread.h>
#include <signal.h>

#include <algorithm>

namespace samphireswitch::control {

namespace {

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

std::vector<protocol::Counter> controlCounters(const ControlCounters &counters)
{
    return {{"control_datagrams_in_total", static_cast<double>(counters.datagramsIn)},
            {"control_bytes_in_total", static_cast<double>(counters.bytesIn)},
            {"control_datagrams_out_total", static_cast<double>(counters.datagramsOut)},
            {"control_bytes_out_total", static_cast<double>(counters.bytesOut)},
            {"control_malformed_total", static_cast<double>(counters.malformed)},
            {"control_events_dropped_total", static_cast<double>(counters.eventsDropped)},
            {"configuration_conflicts_total", static_cast<double>(counters.configurationConflicts)},
            {"configuration_repairs_total", static_cast<double>(counters.configurationRepairs)}};
}

} // namespace

ProcessControl::ProcessControl(const settings::ProcessSettings &settings,
                               const GossipSettings &gossip,
                               const protocol::MemberRecord &self,
                               std::vector<Endpoint> seeds,
                               ProcessHooks hooks,
                               telemetry::EventLog &events)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_node(gossip,
             self,
             std::move(seeds),
             {[this](const PullRequest &request) { m_rpc.pull(request); },
              [this](const ControlSnapshot &snapshot) {
                  m_evacuations.update(snapshot);
                  m_hooks.changed(snapshot);
              }},
             events)
    , m_rpc(settings.controlAddress,
            {[this]() { return m_node.snapshot(); },
             [this]() { return status(); },
             [this]() { return m_node.configurationConfirmedAt(); },
             [this](const GossipEvent &event) { m_node.post(EventSource::Rpc, event); }},
            events)
    , m_metrics(settings.metricsAddress,
                {[this]() { return metrics(); },
                 [&events]() { return events.resetText(); },
                 [&events]() { return events.returnedPackets().text(); }})
{
}

ProcessControl::~ProcessControl()
{
    stop();
}

Result<void> ProcessControl::open()
{
    BOOST_LEAF_CHECK(m_node.open());
    BOOST_LEAF_CHECK(m_rpc.open());
    return m_metrics.open();
}

Result<void> ProcessControl::start()
{
    BOOST_LEAF_CHECK(m_nodeThread.start("control", [this]() { m_node.run(); }));
    BOOST_LEAF_CHECK(m_rpcThread.start("rpc", [this]() { m_rpc.run(); }));
    return m_metricsThread.start("metrics", [this]() { m_metrics.run(); });
}

void ProcessControl::stop()
{
    m_metrics.requestStop();
    m_rpc.requestStop();
    m_node.requestStop();
    m_nodeThread.join();
    m_rpcThread.join();
    m_metricsThread.join();
}

ControlNode &ProcessControl::node()
{
    return m_node;
}

protocol::Status ProcessControl::status() const
{
    const auto snapshot = m_node.snapshot();
    protocol::Status status;
    status.name = m_settings.name;
    status.role = snapshot->self.role;
    status.failureDomain = m_settings.failureDomain;
    status.generation = snapshot->configuration->generation();
    status.members = snapshot->members->records();
    status.counters = controlCounters(m_node.counters());
    m_evacuations.appendCounters(status);
    m_hooks.describe(status);
    return status;
}

std::vector<telemetry::Metric> ProcessControl::metrics() const
{
    const protocol::Status current = status();
    std::vector<telemetry::Metric> metrics {{"configuration_generation", static_cast<double>(current.generation)},
                                            {"members", static_cast<double>(current.members.size())}};
    for (const protocol::Counter &counter : current.counters) {
        metrics.push_back({counter.name, counter.value});
    }
    return metrics;
}

GossipSettings gossipSettings(const settings::ProcessSettings &settings)
{
    GossipSettings gossip;
    gossip.announceInterval = settings.announceInterval;
    gossip.membership.suspectAfter = settings.suspectAfter;
    gossip.membership.deadAfter = settings.deadAfter;
    gossip.registrarTimeout = settings.suspectAfter;
    gossip.registrarBackoff = settings.deadAfter;
    gossip.membership.orphanAfter = 2 * settings.deadAfter;
    return gossip;
}

protocol::MemberRecord
ownRecord(const settings::ProcessSettings &settings, protocol::MemberRole role, const std::string &name)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    protocol::MemberRecord self;
    self.id = hashText(name);
    self.role = role;
    self.incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    self.version = 1;
    self.name = name;
    self.failureDomain = settings.failureDomain;
    self.data = settings.dataAddress;
    self.control = settings.controlAddress;
    return self;
}

void appendSeries(const LatencyHistogram &histogram, const std::string &name, protocol::Status &status)
{
    for (const auto &[series, value] : histogram.series(name)) {
        status.counters.push_back({series, value});
    }
}

void blockSignals()
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the peer has closed must not terminate this process.
    signal(SIGPIPE, SIG_IGN);
}

std::optional<ProcessSignal> waitForSignal(std::chrono::milliseconds limit)
{
    const sigset_t signals = handledSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    timespec time {};
    time.tv_sec = seconds.count();
    time.tv_nsec = std::chrono::nanoseconds(limit - seconds).count();
    const int received = sigtimedwait(&signals, nullptr, &time);
    if (received <= 0) {
        return std::nullopt;
    }
    return received == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Stop;
}

bool waitForStopSignal(std::chrono::milliseconds limit)
{
    return waitForSignal(limit) == ProcessSignal::Stop;
}

} // namespace samphireswitch::control
