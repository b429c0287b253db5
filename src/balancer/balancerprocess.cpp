#include "balancer/balancerprocess.h"

#include "balancer/balancerdatapath.h"
#include "balancer/connectionattempts.h"
#include "balancer/forwardingload.h"
#include "balancer/memberknowledge.h"
#include "balancer/rotationchoice.h"
#include "balancer/storereader.h"
#include "base/standstilldetector.h"
#include "base/thread.h"
#include "control/balancerdirectory.h"
#include "control/memberlog.h"
#include "control/processrunner.h"
#include "control/routedservices.h"
#include "http/server.h"
#include "membership/silentagents.h"
#include "platform/calls.h"
#include "settings/settingsfile.h"
#include "telemetry/logging.h"

#include <time.h>

#include <algorithm>
#include <optional>
#include <thread>

namespace samphireswitch::balancer {

namespace {

// Events of one minute at the rate limit of the packet path.
constexpr std::size_t s_eventCapacity = 12000;
constexpr std::chrono::milliseconds s_signalPoll {100};
// Time for which packets are forwarded after the departure was announced, if there is no readiness address. Peers learn
// of the departure while the fabric may still send packets to this balancer.
constexpr std::chrono::seconds s_leaveDuration {1};
// The platform checks the readiness twice a second and stops sending packets after two negative answers. Packets sent
// before are still in transit then.
constexpr std::chrono::milliseconds s_readinessWithdrawalTime {1600};
// After this time without a packet the routers are considered to have withdrawn their routes to this balancer.
constexpr std::chrono::milliseconds s_quietPeriod {700};
// How long an answer of the store counts as confirmation of the configuration: twice the longest interval between two
// answers to a watcher.
constexpr std::chrono::milliseconds s_confirmationValidity {3000};
// The system of a machine answers a connection attempt within a few milliseconds.
constexpr std::chrono::milliseconds s_connectionLimit {250};
// The state of the packet path is renewed at every poll for signals.
constexpr std::chrono::milliseconds s_standstillLimit = 5 * s_signalPoll;
constexpr std::chrono::milliseconds s_coverageValidity = 5 * s_signalPoll;
// Short enough to show load peaks of a few seconds.
constexpr std::chrono::milliseconds s_loadInterval {2000};

/** Processor time of all threads of this process. */
std::chrono::nanoseconds processorTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

/** Owns the threads of a balancer and the objects that they share. */
class Balancer
{
public:
    Balancer(const settings::BalancerSettings &settings, const std::string &path)
        : m_settings(settings)
        , m_settingsFile(path)
        , m_events(settings.name, s_eventCapacity)
        , m_dataPath(
              {settings.dataAddress, settings.hintCapacity, settings.delivery, settings.hintAddress, settings.linkRate},
              m_events)
        , m_control(settings,
                    balancerGossip(settings),
                    ownRecord(settings),
                    settings.seeds,
                    {[this](const control::ControlSnapshot &snapshot) { publish(snapshot); },
                     [this](protocol::Status &status) { describe(status); }},
                    m_events)
        , m_storeReader(settings, m_control.node())
        , m_readinessServer(readinessListeners())
    {
    }

    Result<void> open()
    {
        m_dataPath.setAbsentAgents(m_absentAgents);
        BOOST_LEAF_CHECK(m_dataPath.open());
        BOOST_LEAF_CHECK(m_readinessServer.open());
        return m_control.open();
    }

    /** Runs until a stop signal arrives. Fails with ResultCode::OutOfResources if a thread cannot be started. */
    Result<void> run()
    {
        auto started = startThreads();
        if (started) {
            runUntilStopSignal();
            announceDeparture();
        }
        // A pending call to the store may take seconds to return. Packets are forwarded until all other threads have
        // stopped, because routers may send packets to this balancer again when other balancers leave as well.
        stopStoreThreads();
        if (started) {
            waitForTrafficToEnd();
        }
        m_control.stop();
        m_readinessServer.requestStop();
        m_readinessThread.join();
        m_dataPath.requestStop();
        m_dataThread.join();
        m_events.logRecent();
        return started;
    }

private:
    static control::GossipSettings balancerGossip(const settings::BalancerSettings &settings)
    {
        control::GossipSettings gossip = control::gossipSettings(settings);
        gossip.digestInterval = settings.gossipInterval;
        return gossip;
    }

    static protocol::MemberRecord ownRecord(const settings::BalancerSettings &settings)
    {
        protocol::MemberRecord record = control::ownRecord(settings, protocol::MemberRole::Balancer, settings.name);
        record.linkRate = settings.linkRate;
        record.processorShare = settings.processorShare;
        return record;
    }

    std::vector<http::Listener> readinessListeners()
    {
        if (m_settings.readinessAddress.port == 0) {
            return {};
        }
        return {{m_settings.readinessAddress, [this](const http::Request &request) {
                     if (!platform::isReadinessCall(request)) {
                         return http::Response {404, "text/plain", "the readiness is at another path\n"};
                     }
                     return platform::readinessAnswer(updateReadiness());
                 }}};
    }

    Result<void> startThreads()
    {
        BOOST_LEAF_CHECK(m_dataThread.start("packets", [this]() { m_dataPath.run(); }));
        BOOST_LEAF_CHECK(m_storeThread.start("store", [this]() { m_storeReader.run(); }));
        BOOST_LEAF_CHECK(m_readinessThread.start("readiness", [this]() { m_readinessServer.run(); }));
        BOOST_LEAF_CHECK(m_control.start());
        if (m_settings.storeProtocol != settings::StoreProtocol::Platform) {
            return {};
        }
        m_directory.emplace(m_settings.storeEndpoint, m_control.node(), true);
        return m_directoryThread.start("directory", [this]() { m_directory->run(); });
    }

    void stopStoreThreads()
    {
        m_storeReader.requestStop();
        if (m_directory) {
            m_directory->requestStop();
        }
        m_directoryThread.join();
        m_storeThread.join();
    }

    /** Reloads changed settings and updates the packet path until a stop signal arrives. */
    void runUntilStopSignal()
    {
        for (;;) {
            const auto signal = control::waitForSignal(s_signalPoll);
            if (signal == control::ProcessSignal::Stop) {
                return;
            }
            if (signal || m_settingsFile.hasChanged()) {
                reload();
            }
            refreshDataPathState();
            logLoad();
        }
    }

    /** Logs what the packet path forwarded in the last interval. */
    void logLoad()
    {
        // Reading the totals takes system calls and copies of histograms.
        const TimePoint now = Clock::now();
        if (!m_loadMeter.isDue(now)) {
            return;
        }
        const auto load = m_loadMeter.observe(forwardingTotals(), now);
        if (!load || load->packetsPerSecond == 0) {
            return;
        }
        telemetry::logEvent(telemetry::Severity::Info,
                            "forwarding-load",
                            {{"interval_ms", load->interval.count()},
                             {"packets_per_s", load->packetsPerSecond},
                             {"kbit_in_per_s", load->kilobitsInPerSecond},
                             {"kbit_out_per_s", load->kilobitsOutPerSecond},
                             {"batches_per_s", load->batchesPerSecond},
                             {"processor_permille", load->processorPermille},
                             {"link_permille", load->linkPermille},
                             {"busy_permille", load->busyPermille},
                             {"dropped_at_limit", load->droppedAtLimit},
                             {"overflows", load->overflows},
                             {"send_errors", load->sendErrors}});
    }

    ForwardingTotals forwardingTotals() const
    {
        const BalancerDataStatus data = m_dataPath.status();
        return {data.packetsIn,
                data.bytesIn,
                data.bytesOut,
                data.batches,
                data.receiveOverflows,
                data.sendErrors,
                processorTime(),
                data.droppedAtLimit,
                data.linkPermille,
                data.busyPermille};
    }

    /** Passes the certainty of the configuration and the coverage of the agents to the packet path. */
    void refreshDataPathState()
    {
        const TimePoint now = Clock::now();
        if (m_standstill.observe(now)) {
            m_resumedAt = now;
            telemetry::logEvent(telemetry::Severity::Warning, "stood-still", {});
        }
        const auto confirmation = m_storeReader.confirmation();
        m_dataPath.setConfirmation(*confirmation, confirmation->at + s_confirmationValidity);
        CoverageInputs inputs;
        inputs.startedAt = m_startedAt;
        inputs.agreedAt = m_control.node().agreedAt();
        inputs.resumedAt = m_resumedAt;
        inputs.isLeaving = m_leaving;
        inputs.hasPeerAnswered = m_control.node().hasPeerAnswered();
        if (m_directory) {
            inputs.agentsAtStart = m_directory->agentsAtStart();
        }
        const auto snapshot = m_control.node().snapshot();
        probeSilentAgents(*snapshot->members, now);
        inputs.lostAgents = m_silentAgents.lost();
        inputs.agentsStandingStill = m_silentAgents.standingStill();
        updateAbsentAgents(expectsAbsentAgent(inputs, *snapshot->members, now));
        const CoverageGrounds grounds {
            m_startedAt, inputs.agreedAt, m_resumedAt, describeAbsentAgents(*snapshot->members, now)};
        updateCoverage(coverageOf(inputs, *snapshot->members, now), now + s_coverageValidity, grounds);
    }

    /** Finds out which of the agents that do not respond stand still, and which are lost with their machines. */
    void probeSilentAgents(const membership::MembershipTable &members, TimePoint now)
    {
        m_silentAgents.update(silentAgents(members, now));
        for (const EndedAttempt &ended : m_attempts.takeEnded(now)) {
            m_silentAgents.attemptEnded(ended.attempt, ended.outcome);
        }
        for (const membership::SilentAgents::Attempt &attempt : m_silentAgents.takeDue(now)) {
            m_attempts.begin(attempt, now);
        }
    }

    /** Passes what is known of the agents that do not respond to the packet path, and logs a change. */
    void updateAbsentAgents(bool expectsReturn)
    {
        routing::AbsentAgents absent;
        for (const std::uint64_t agent : m_silentAgents.lost()) {
            absent.lost.push_back(AgentId {agent});
        }
        absent.expectsReturn = expectsReturn;
        if (absent == m_absentAgents) {
            return;
        }
        m_absentAgents = absent;
        telemetry::logEvent(telemetry::Severity::Info,
                            "absent-agents-changed",
                            {{"lost", absent.lost.size()},
                             {"standing_still", m_silentAgents.standingStill().size()},
                             {"expects_stopped", absent.expectsReturn}});
        m_dataPath.setAbsentAgents(std::move(absent));
    }

    /** Passes @p coverage, which holds until @p end and rests on @p grounds, to the packet path and logs a change. */
    void updateCoverage(routing::Coverage coverage, TimePoint end, const CoverageGrounds &grounds)
    {
        m_dataPath.setCoverage(coverage, end, grounds);
        if (coverage == m_coverage) {
            return;
        }
        m_coverage = coverage;
        telemetry::logEvent(
            telemetry::Severity::Info, "coverage-changed", {{"coverage", routing::coverageName(coverage)}});
    }

    /** Reports the balancer as not ready to the platform and as leaving to its peers. */
    void announceDeparture()
    {
        m_leaving = true;
        m_leavingSince = Clock::now();
        refreshDataPathState();
        telemetry::logEvent(telemetry::Severity::Info, "leaving", {{"limit_ms", m_settings.leaveLimit.count()}});
        m_control.node().post(control::EventSource::Process, control::SelfChanged {protocol::MemberState::Left});
    }

    /**
     * Waits until the routers have stopped sending packets, at most until the configured leave limit has passed since
     * the departure was announced. Without a readiness address, waits for s_leaveDuration instead.
     */
    void waitForTrafficToEnd()
    {
        if (m_settings.readinessAddress.port == 0) {
            std::this_thread::sleep_until(m_leavingSince + s_leaveDuration);
            return;
        }
        const TimePoint started = m_leavingSince;
        TimePoint lastPacket = Clock::now();
        std::uint64_t packets = m_dataPath.status().packetsIn;
        while (Clock::now() - started < m_settings.leaveLimit) {
            std::this_thread::sleep_for(s_signalPoll);
            const std::uint64_t current = m_dataPath.status().packetsIn;
            const TimePoint now = Clock::now();
            if (current != packets) {
                packets = current;
                lastPacket = now;
            }
            if (now - started >= s_readinessWithdrawalTime && now - lastPacket >= s_quietPeriod) {
                return;
            }
        }
        telemetry::logEvent(telemetry::Severity::Warning,
                            "left-under-traffic",
                            {{"last_packet_ms_ago", telemetry::toMilliseconds(Clock::now() - lastPacket)}});
    }

    void reload()
    {
        const auto loaded =
            control::reloadSettings([this] { return settings::loadBalancerSettings(m_settingsFile.path()); });
        if (loaded) {
            control::applyReloaded(*loaded, loaded->seeds, m_control.node());
            m_settings.leaveLimit = loaded->leaveLimit;
        }
    }

    /** Returns whether the balancer is ready to receive packets, and logs a change. */
    bool updateReadiness()
    {
        const auto snapshot = m_control.node().snapshot();
        const bool isConfigured = snapshot->configuration->generation() != 0;
        const auto silence = Clock::now() - m_control.node().lastHeard();
        const bool inRotation =
            m_rotationHold.observe(isInRotation(snapshot->self, snapshot->members->records()), Clock::now());
        const bool ready = isReady({m_leaving, isConfigured, m_hasMembers, silence, inRotation});
        if (ready != m_wasReady) {
            m_wasReady = ready;
            telemetry::logEvent(telemetry::Severity::Info,
                                "readiness-changed",
                                {{"ready", ready},
                                 {"leaving", m_leaving.load()},
                                 {"generation", snapshot->configuration->generation()},
                                 {"has_members", m_hasMembers.load()},
                                 {"in_rotation", inRotation},
                                 {"peers_silent_ms", isConfigured ? telemetry::toMilliseconds(silence) : -1}});
        }
        return ready;
    }

    /** Builds a routing table from the configuration and the members and passes it to the packet path. */
    void publish(const control::ControlSnapshot &snapshot)
    {
        if (snapshot.configuration->generation() == 0) {
            return;
        }
        m_memberLog.update(*snapshot.members);
        const auto routed =
            control::routedConfiguration(*snapshot.configuration, *snapshot.members, m_settings.failureDomain);
        // Flows of evacuated upstreams go on, and need balancers that are ready.
        m_hasMembers = std::ranges::any_of(
            routed.pools, [](const auto &pool) { return !pool.eligible.empty() || pool.hasEvacuated; });
        m_dataPath.publish(
            snapshot.configuration->generation(), routed.services, routed.pools, snapshot.configuration->contentHash());
    }

    /** Adds the state and the metrics of the balancer to @p status. */
    void describe(protocol::Status &status) const
    {
        const BalancerDataStatus data = m_dataPath.status();
        status.state = status.generation == 0 ? "waiting for a configuration" : "active";
        const std::vector<protocol::Counter> counters {
            {"packets_in_total", static_cast<double>(data.packetsIn)},
            {"packets_forwarded_total", static_cast<double>(data.packetsForwarded)},
            {"bytes_in_total", static_cast<double>(data.bytesIn)},
            {"bytes_out_total", static_cast<double>(data.bytesOut)},
            {"receive_batches_total", static_cast<double>(data.batches)},
            {"receive_overflows_total", static_cast<double>(data.receiveOverflows)},
            {"first_packets_total", static_cast<double>(data.firstPackets)},
            {"hints_learned_total", static_cast<double>(data.hintsLearned)},
            {"hints_used_total", static_cast<double>(data.hintsUsed)},
            {"hints_rejected_total", static_cast<double>(data.hintsRejected)},
            {"hints_held", static_cast<double>(data.hintsHeld)},
            {"events_suppressed_total", static_cast<double>(data.eventsSuppressed)},
            {"repeated_first_packets_total", static_cast<double>(data.repeatedFirstPackets)},
            {"agents_silenced_total", static_cast<double>(data.agentsSilenced)},
            {"owner_searches_total", static_cast<double>(data.searches)},
            {"search_agents_silent_total", static_cast<double>(data.agentsUnanswered)},
            {"search_resends_suppressed_total", static_cast<double>(data.resendsSuppressed)},
            {"owner_searches_repeated_total", static_cast<double>(data.searchesRepeated)},
            {"packets_awaiting_owner_total", static_cast<double>(data.packetsAwaitingOwner)},
            {"packets_of_absent_owners_total", static_cast<double>(data.packetsOfAbsentOwners)},
            {"resets_no_service_total", static_cast<double>(data.resetsNoService)},
            {"bulk_packets_dropped_at_limit_total", static_cast<double>(data.droppedAtLimit)},
            {"link_utilization_permille", static_cast<double>(data.linkPermille)},
            {"busy_permille", static_cast<double>(data.busyPermille)},
            {"log_lines_suppressed_total", static_cast<double>(telemetry::logCounters().suppressed)},
            {"log_lines_dropped_total", static_cast<double>(telemetry::logCounters().dropped)},
            {"dropped_malformed_total", static_cast<double>(data.droppedMalformed)},
            {"dropped_no_service_total", static_cast<double>(data.droppedNoService)},
            {"dropped_no_member_total", static_cast<double>(data.droppedNoMember)},
            {"send_errors_total", static_cast<double>(data.sendErrors)},
            {"store_calls_total", static_cast<double>(m_storeReader.calls())},
            {"store_substitute_reads_total", static_cast<double>(m_storeReader.substituteReads())},
            {"store_failures_total", static_cast<double>(m_storeReader.failures())},
            {"store_call_microseconds_p99", static_cast<double>(m_storeReader.latency().percentile99.count())}};
        status.counters.insert(status.counters.end(), counters.begin(), counters.end());
        if (m_directory) {
            status.counters.push_back({"directory_calls_total", static_cast<double>(m_directory->calls())});
            status.counters.push_back({"directory_failures_total", static_cast<double>(m_directory->failures())});
        }
        for (std::size_t verdict = 0; verdict < data.endedSearches.size(); ++verdict) {
            const auto name = routing::verdictName(static_cast<routing::AbsenceVerdict>(verdict));
            status.counters.push_back({"searches_ended_total{verdict=\"" + std::string(name) + "\"}",
                                       static_cast<double>(data.endedSearches[verdict])});
        }
        for (std::size_t verdict = 0; verdict < data.refusedFirstPackets.size(); ++verdict) {
            const auto name = routing::verdictName(static_cast<routing::RefusalVerdict>(verdict));
            status.counters.push_back({"first_packets_refused_total{verdict=\"" + std::string(name) + "\"}",
                                       static_cast<double>(data.refusedFirstPackets[verdict])});
        }
        control::appendSeries(data.searchTimes, "owner_search", status);
        control::appendSeries(m_storeReader.latencies(), "store_call", status);
    }

    settings::BalancerSettings m_settings;
    settings::SettingsFile m_settingsFile;
    telemetry::EventLog m_events;
    BalancerDataPath m_dataPath;
    std::atomic<bool> m_leaving {false};
    std::atomic<bool> m_hasMembers {false};
    TimePoint m_startedAt = Clock::now();
    TimePoint m_leavingSince;
    /** Accessed only by the main thread. */
    routing::Coverage m_coverage = routing::Coverage::Partial;
    StandstillDetector m_standstill {s_standstillLimit};
    ForwardingLoadMeter m_loadMeter {s_loadInterval};
    /** When the process last noticed that it had stood still; the epoch of the clock if it never did. */
    TimePoint m_resumedAt;
    membership::SilentAgents m_silentAgents;
    ConnectionAttempts m_attempts {s_connectionLimit};
    /** An agent may be stopping while this process starts, which does not know of it yet. */
    routing::AbsentAgents m_absentAgents {{}, true};
    /** Accessed only by the control thread. */
    control::MemberLog m_memberLog;
    /** These are accessed only by the thread of the readiness server. */
    bool m_wasReady = false;
    RotationHold m_rotationHold;
    control::ProcessControl m_control;
    StoreReader m_storeReader;
    std::optional<control::BalancerDirectory> m_directory;
    http::Server m_readinessServer;
    Thread m_dataThread;
    Thread m_storeThread;
    Thread m_readinessThread;
    Thread m_directoryThread;
};

} // namespace

int runBalancer(const settings::BalancerSettings &settings, const std::string &path)
{
    return control::runProcess<Balancer>(settings,
                                         path,
                                         {{"role", "balancer"},
                                          {"data_address", toString(settings.dataAddress)},
                                          {"failure_domain", settings.failureDomain}});
}

} // namespace samphireswitch::balancer
