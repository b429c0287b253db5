#include "agent/passthroughagent.h"

#include "agent/flowstore.h"
#include "agent/passthroughdatapath.h"
#include "base/attempt.h"
#include "base/published.h"
#include "base/thread.h"
#include "control/balancerdirectory.h"
#include "control/processrunner.h"
#include "control/routedservices.h"
#include "http/server.h"
#include "passthrough/upstreamidentity.h"
#include "platform/calls.h"
#include "platform/packetformat.h"
#include "settings/settingsfile.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <utility>

namespace samphireswitch::agent {

namespace {

constexpr std::size_t s_eventCapacity = 12000;
constexpr std::chrono::milliseconds s_pollInterval {50};
// Minimum time between the announcement that the agent stops and its exit. A datagram with the announcement may be
// lost, and a later heartbeat repeats it; packets of open flows still pass during this time.
constexpr std::chrono::milliseconds s_stopNoticeTime {400};

/** The machine's time of day since the epoch. */
std::chrono::milliseconds timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/**
 * Runs the packet path, the report server and the control thread of an agent with passthrough delivery, and passes
 * configuration and state between them.
 */
class PassthroughAgent
{
public:
    PassthroughAgent(const settings::PassthroughAgentSettings &settings, const std::string &path)
        : m_settings(settings)
        , m_settingsFile(path)
        , m_events(settings.name, s_eventCapacity)
        , m_dataPath(dataSettings(settings), m_events, m_runsChanged)
        , m_control(settings,
                    agentGossip(settings),
                    agentRecord(settings),
                    settings.balancers,
                    {[this](const control::ControlSnapshot &snapshot) { adopt(snapshot); },
                     [this](protocol::Status &status) { describe(status); }},
                    m_events)
        , m_directory(settings.storeEndpoint, m_control.node(), false)
        , m_flowStore(settings.storeEndpoint,
                      AgentId::fromHostName(settings.host),
                      {.writeInterval = settings.storedFlowsInterval},
                      m_dataPath,
                      m_runsChanged)
        , m_reportServer({{settings.reportAddress, [this](const http::Request &request) { return answer(request); }}})
    {
        publishIdentity(settings);
    }

    Result<void> open()
    {
        BOOST_LEAF_CHECK(m_dataPath.open());
        BOOST_LEAF_CHECK(m_reportServer.open());
        return m_control.open();
    }

    /** Runs until a stop signal arrives. Fails with ResultCode::OutOfResources if a thread cannot be started. */
    Result<void> run()
    {
        auto started = startThreads();
        if (started) {
            serve();
            finishRequests();
        }
        m_directory.requestStop();
        m_flowStore.requestStop();
        m_reportServer.requestStop();
        m_dataPath.requestStop();
        m_control.stop();
        m_reportThread.join();
        m_dataThread.join();
        m_directoryThread.join();
        m_flowStoreThread.join();
        m_events.logRecent();
        return started;
    }

private:
    Result<void> startThreads()
    {
        BOOST_LEAF_CHECK(m_dataThread.start("packets", [this]() { m_dataPath.run(); }));
        BOOST_LEAF_CHECK(m_reportThread.start("reports", [this]() { m_reportServer.run(); }));
        BOOST_LEAF_CHECK(m_control.start());
        BOOST_LEAF_CHECK(m_flowStoreThread.start("flows", [this]() { m_flowStore.run(); }));
        return m_directoryThread.start("directory", [this]() { m_directory.run(); });
    }

    static PassthroughDataSettings dataSettings(const settings::PassthroughAgentSettings &settings)
    {
        PassthroughDataSettings data;
        data.admission.agent = AgentId::fromHostName(settings.host);
        data.admission.dataAddress = settings.dataAddress;
        data.admission.recordsServedRuns = settings.storedFlowsInterval.count() > 0;
        data.admission.startsEmpty = settings.startsEmpty;
        data.admission.busyComparison =
            settings.comparesWaits ? passthrough::BusyComparison::Wait : passthrough::BusyComparison::Load;
        data.admission.tracker.fullPacketData = platform::s_maximumPacketData;
        data.admission.registration.reportTimeout = settings.reportTimeout;
        data.admission.pace.isEnabled = settings.upstreamPacing == settings::UpstreamPacing::Adaptive;
        data.host = settings.host;
        data.upstreamAddress = settings.upstreamAddress;
        data.outboundAddress = settings.outboundAddress;
        return data;
    }

    /**
     * Requests the configuration of all services: an agent decides by the newest configuration that it or the balancer
     * knows.
     */
    static control::GossipSettings agentGossip(const settings::PassthroughAgentSettings &settings)
    {
        control::GossipSettings gossip = control::gossipSettings(settings);
        gossip.wholeConfiguration = true;
        return gossip;
    }

    /** Starts in the draining state, so that the agent gets no new flows until the upstream's state is known. */
    static protocol::MemberRecord agentRecord(const settings::PassthroughAgentSettings &settings)
    {
        auto record = control::ownRecord(settings, protocol::MemberRole::Agent, settings.host);
        record.service = ServiceId::fromName(settings.service);
        record.state = protocol::MemberState::Draining;
        return record;
    }

    /** Handles signals, changes of the settings file and the upstream's state until a stop signal arrives. */
    void serve()
    {
        for (;;) {
            const auto signal = control::waitForSignal(s_pollInterval);
            if (signal == control::ProcessSignal::Stop) {
                return;
            }
            if (signal || m_settingsFile.hasChanged()) {
                reload();
            }
            announceChanges();
        }
    }

    /** Stops accepting new flows and waits until all requests are answered, for at most the leave limit. */
    void finishRequests()
    {
        telemetry::logEvent(telemetry::Severity::Info, "leaving", {{"limit_ms", m_settings.leaveLimit.count()}});
        m_dataPath.stopAccepting();
        announceStop();
        const TimePoint deadline = Clock::now() + m_settings.leaveLimit;
        const TimePoint noticed = Clock::now() + std::min(s_stopNoticeTime, m_settings.leaveLimit);
        while (Clock::now() < noticed || (Clock::now() < deadline && m_dataPath.status()->requestsWaiting > 0)) {
            std::this_thread::sleep_for(s_pollInterval);
            announceStop();
        }
        const std::size_t unfinishedRequests = m_dataPath.status()->requestsWaiting;
        if (unfinishedRequests > 0) {
            telemetry::logEvent(telemetry::Severity::Warning, "left-with-requests", {{"requests", unfinishedRequests}});
        }
    }

    /**
     * Returns whether the upstream may still run and hold flows after this agent has exited. Only the upstream's own
     * word or a refused packet shows that it does not: searches then leave this agent out, and end in resets.
     */
    bool hasUpstream() const
    {
        const auto status = m_dataPath.status();
        return !status->upstreamLeft && !status->upstreamDown && !status->upstreamAbsent;
    }

    /** Announces that this process stops. The directory may tell meanwhile that it has no upstream. */
    void announceStop()
    {
        adoptDirectory();
        announce(hasUpstream() ? protocol::MemberState::Stopping : protocol::MemberState::Left);
    }

    /** Passes to the packet path, once, what the directory tells of the upstream of an earlier run. */
    void adoptDirectory()
    {
        const auto leftAt = m_directory.upstreamLeftAt();
        if (!leftAt || std::exchange(m_hadUpstreamLeft, true)) {
            return;
        }
        // The time of day may have been set back since.
        const auto age = std::max(timeOfDay() - *leftAt, std::chrono::milliseconds(0));
        telemetry::logEvent(telemetry::Severity::Info, "upstream-had-left", {{"ago_ms", age.count()}});
        m_dataPath.upstreamHadLeft(age);
    }

    /** When the upstream announced its exit, as in protocol::MemberRecord. */
    std::chrono::milliseconds upstreamLeftAt(const PassthroughDataStatus &status)
    {
        if (!status.upstreamLeft) {
            m_upstreamLeftAt = {};
        } else if (m_upstreamLeftAt.count() == 0) {
            const bool isEarlier = m_hadUpstreamLeft && status.service.empty();
            m_upstreamLeftAt = isEarlier ? m_directory.upstreamLeftAt().value_or(timeOfDay()) : timeOfDay();
        }
        return m_upstreamLeftAt;
    }

    /**
     * Whether the upstream is a new one beside an agent of which the directory still tells that its upstream has left.
     * Until it tells of this run, the agent takes no flows: after another restart it would deny them.
     */
    bool awaitsListing(bool isAccepting)
    {
        const bool awaits = isAccepting && m_hadUpstreamLeft && !m_directory.isListed();
        m_directory.setAwaitsListing(awaits);
        return awaits;
    }

    void reload()
    {
        const auto loaded =
            control::reloadSettings([this] { return settings::loadAnyAgentSettings(m_settingsFile.path()); });
        if (!loaded) {
            return;
        }
        const auto *own = std::get_if<settings::PassthroughAgentSettings>(&*loaded);
        if (own == nullptr) {
            telemetry::logEvent(telemetry::Severity::Error,
                                "reload-failed",
                                {{"reason", "the settings file no longer selects passthrough delivery"}});
            return;
        }
        control::applyReloaded(*own, own->balancers, m_control.node());
        m_settings.leaveLimit = own->leaveLimit;
        publishIdentity(*own);
    }

    void announceChanges()
    {
        // An upstream that has reported that it leaves holds flows until it exits, so searches for the owner of a flow
        // must still ask its agent. An agent without an upstream holds no flows, and asking it would only delay a
        // search.
        adoptDirectory();
        const auto status = m_dataPath.status();
        const auto idle = status->upstreamAbsent ? protocol::MemberState::Left : protocol::MemberState::Draining;
        const bool isActive = status->accepting && !awaitsListing(status->accepting);
        announce(isActive ? protocol::MemberState::Active : idle);
    }

    void announce(protocol::MemberState state)
    {
        // The packet path may publish a new status at any time, so both uses below need the same snapshot.
        const auto status = m_dataPath.status();
        const ServiceId service = ServiceId::fromName(status->service.empty() ? m_settings.service : status->service);
        const control::SelfChanged announced {state, service, upstreamLeftAt(*status)};
        if (m_announced == announced) {
            return;
        }
        m_announced = announced;
        telemetry::logEvent(telemetry::Severity::Info,
                            "state-announced",
                            {{"state", protocol::stateName(state)},
                             {"service", status->service},
                             {"upstream_left", status->upstreamLeft},
                             {"upstream_down", status->upstreamDown},
                             {"knows_all_flows", status->knowsAllFlows}});
        m_control.node().post(control::EventSource::Process, announced);
    }

    /** Passes the peers and the served addresses of @p snapshot to the packet path. Called in the control thread. */
    void adopt(const control::ControlSnapshot &snapshot)
    {
        std::vector<passthrough::Peer> peers;
        for (const protocol::MemberRecord &member : snapshot.members->agentsOf(snapshot.self.service)) {
            if (member.liveness == protocol::Liveness::Alive) {
                const bool isStopping = member.state == protocol::MemberState::Stopping;
                peers.push_back({{AgentId {member.id}, member.data}, member.incarnation, isStopping});
            }
        }
        m_flowStore.setPoolSize(peers.size());
        m_dataPath.setPeers(std::move(peers));
        if (snapshot.configuration->generation() != 0) {
            m_dataPath.setServed(control::servedDestinations(
                *snapshot.configuration, snapshot.self.service, snapshot.self.failureDomain));
        }
    }

    /** The address is that of the start, since the sockets are bound once. */
    void publishIdentity(const settings::PassthroughAgentSettings &settings)
    {
        m_identity.publish(std::make_shared<passthrough::UpstreamIdentity>(
            passthrough::UpstreamIdentity {settings.service, m_settings.upstreamAddress, settings.failureDomain}));
    }

    /** Refuses a report that changes nothing. Called in the thread of the report server. */
    http::Response reject(const http::Request &request, const Error &error)
    {
        ++m_rejectedReports;
        telemetry::logEvent(
            telemetry::Severity::Warning, "report-rejected", {{"target", request.target}, {"reason", error.message}});
        return platform::rejection(error);
    }

    /** Answers an HTTP request of the upstream. Called in the thread of the report server. */
    http::Response answer(const http::Request &request)
    {
        const auto outcome = attempt([&request] { return platform::decodeUpstreamCall(request); });
        if (const Error *error = std::get_if<Error>(&outcome)) {
            return reject(request, *error);
        }
        const auto &message = std::get<std::optional<passthrough::UpstreamMessage>>(outcome);
        if (!message) {
            return {404, "text/plain", "only reports of the upstream are taken here\n"};
        }
        const auto *report = std::get_if<passthrough::UpstreamReport>(&*message);
        const auto mismatch = report == nullptr ? std::nullopt : m_identity.current()->mismatch(*report);
        if (mismatch) {
            return reject(request, {ResultCode::MessageMalformed, *mismatch});
        }
        // The acknowledgement promises a leaving upstream that it gets no new flow, so the report must be queued for
        // the packet path before the acknowledgement is sent.
        if (!m_dataPath.report(*message)) {
            return {503, "text/plain", "busy\n"};
        }
        return platform::acknowledgement();
    }

    void describe(protocol::Status &status) const
    {
        const auto data = m_dataPath.status();
        status.state = data->accepting ? "active" : data->upstreamLeft ? "left" : "draining";
        const std::vector<protocol::Counter> counters {
            {"requests_waiting", static_cast<double>(data->requestsWaiting)},
            {"flows_tracked", static_cast<double>(data->flows)},
            {"slots", static_cast<double>(data->slots)},
            {"upstream_concurrency_limit", static_cast<double>(data->concurrencyLimit)},
            {"upstream_cold_limit", data->coldLimitInForce ? 1.0 : 0.0},
            {"first_packets_held", static_cast<double>(data->firstPacketsHeld)},
            {"first_packets_displaced_total", static_cast<double>(data->firstPacketsDisplaced)},
            {"slot_time_seconds", std::chrono::duration<double>(data->slotTime).count()},
            {"location_records", static_cast<double>(data->locationRecords)},
            {"stored_flows", static_cast<double>(m_flowStore.storedFlows())},
            {"flow_store_calls_total", static_cast<double>(m_flowStore.calls())},
            {"flow_store_failures_total", static_cast<double>(m_flowStore.failures())},
            {"knows_all_flows", data->knowsAllFlows ? 1.0 : 0.0},
            {"packets_from_balancers_total", static_cast<double>(data->packetsFromBalancers)},
            {"packets_from_upstream_total", static_cast<double>(data->packetsFromUpstream)},
            {"datagrams_malformed_total", static_cast<double>(data->malformedDatagrams)},
            {"datagrams_dropped_total", static_cast<double>(data->droppedDatagrams)},
            {"reports_dropped_total", static_cast<double>(data->droppedReports)},
            {"reports_rejected_total", static_cast<double>(m_rejectedReports)},
            {"packets_returned_total", static_cast<double>(m_events.returnedPackets().total())},
            {"log_lines_suppressed_total", static_cast<double>(telemetry::logCounters().suppressed)},
            {"log_lines_dropped_total", static_cast<double>(telemetry::logCounters().dropped)}};
        status.counters.insert(status.counters.end(), counters.begin(), counters.end());
        for (const auto &[priority, held] : data->firstPacketsHeldByPriority) {
            status.counters.push_back({"first_packets_held_by_priority{priority=\"" + std::to_string(priority) + "\"}",
                                       static_cast<double>(held)});
        }
        control::appendSeries(data->answerTimes, "upstream_answer", status);
        control::appendSeries(data->waitingTimes, "first_packet_waiting", status);
        for (std::size_t change = 0; change < data->paceChanges.size(); ++change) {
            const auto name = passthrough::paceChangeName(static_cast<passthrough::PaceChange>(change));
            status.counters.push_back({"upstream_pace_changes_total{reason=\"" + std::string(name) + "\"}",
                                       static_cast<double>(data->paceChanges[change])});
        }
        for (std::size_t cause = 0; cause < data->counters.decisions.size(); ++cause) {
            const auto name = passthrough::causeName(static_cast<passthrough::Cause>(cause));
            status.counters.push_back({"decisions_total{cause=\"" + std::string(name) + "\"}",
                                       static_cast<double>(data->counters.decisions[cause])});
        }
    }

    settings::PassthroughAgentSettings m_settings;
    settings::SettingsFile m_settingsFile;
    /** What reports have to match. */
    Published<passthrough::UpstreamIdentity> m_identity;
    std::atomic<std::uint64_t> m_rejectedReports {0};
    telemetry::EventLog m_events;
    WakeSignal m_runsChanged;
    PassthroughDataPath m_dataPath;
    control::SelfChanged m_announced {protocol::MemberState::Draining, ServiceId {}};
    control::ProcessControl m_control;
    control::BalancerDirectory m_directory;
    FlowStore m_flowStore;
    /** The directory told that the upstream had left before the start of this process. */
    bool m_hadUpstreamLeft = false;
    /** When the upstream announced its exit, by the time of day since the epoch; 0 if it did not. */
    std::chrono::milliseconds m_upstreamLeftAt {0};
    http::Server m_reportServer;
    Thread m_dataThread;
    Thread m_reportThread;
    Thread m_directoryThread;
    Thread m_flowStoreThread;
};

} // namespace

int runPassthroughAgent(const settings::PassthroughAgentSettings &settings, const std::string &path)
{
    return control::runProcess<PassthroughAgent>(settings,
                                                 path,
                                                 {{"role", "agent"},
                                                  {"data_address", toString(settings.dataAddress)},
                                                  {"upstream_address", toString(settings.upstreamAddress)},
                                                  {"starts_empty", settings.startsEmpty}});
}

} // namespace samphireswitch::agent
