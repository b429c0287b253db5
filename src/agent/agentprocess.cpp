#include "agent/agentprocess.h"

#include "agent/agentdatapath.h"
#include "base/thread.h"
#include "control/processrunner.h"
#include "control/routedservices.h"
#include "telemetry/logging.h"

#include <thread>

namespace samphireswitch::agent {

namespace {

using configuration::HostState;

constexpr std::size_t s_eventCapacity = 20000;
constexpr std::chrono::milliseconds s_pollInterval {100};
// Time for the gossip to tell the other processes that the agent has left, before the process exits.
constexpr std::chrono::milliseconds s_leaveNoticeTime {300};
constexpr std::chrono::seconds s_drainReportInterval {10};
// An operator reads the list of flows that a drain waits for, so a longer list is cut off with a count of the rest.
constexpr std::size_t s_maxListedFlows = 20;

admission::HostMode toHostMode(HostState state)
{
    switch (state) {
    case HostState::Active:
        return admission::HostMode::Active;
    case HostState::Draining:
        return admission::HostMode::Draining;
    case HostState::Stopped:
        return admission::HostMode::Stopped;
    }
    return admission::HostMode::Stopped;
}

admission::ServiceTerms
toTerms(const configuration::ServiceRecord &record, Generation generation, const std::string &host)
{
    admission::ServiceTerms terms;
    terms.service = ServiceId::fromName(record.name);
    terms.address = record.address;
    terms.requestPort = record.requestPort;
    terms.feedPort = record.feedPort;
    terms.slots = record.slots;
    terms.connections = record.connections;
    terms.deadline = record.deadline;
    terms.generation = generation;
    const configuration::HostRecord *own = record.findHost(host);
    terms.namesHost = own != nullptr;
    terms.mode = terms.namesHost ? toHostMode(own->state) : admission::HostMode::Draining;
    if (record.removed) {
        terms.mode = admission::HostMode::Draining;
    }
    return terms;
}

std::string describeFlow(const admission::OwnedFlow &flow, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - flow.since);
    const std::string kind = flow.kind == admission::FlowKind::Feed ? "feed" : "request";
    return kind + ' ' + flow::toString(flow.key) + ", open for " + std::to_string(age.count()) + " s";
}

/** Runs the packet path and the control thread of an agent, and passes configuration and state between them. */
class Agent
{
public:
    /** The path of the settings file is not used, because the agent does not reload its settings. */
    Agent(const settings::AgentSettings &settings, const std::string &)
        : m_settings(settings)
        , m_events(settings.name, s_eventCapacity)
        , m_dataPath(dataSettings(settings), m_events)
        , m_control(settings,
                    control::gossipSettings(settings),
                    agentRecord(settings),
                    settings.balancers,
                    {[this](const control::ControlSnapshot &snapshot) { adopt(snapshot); },
                     [this](protocol::Status &status) { describe(status); }},
                    m_events)
    {
    }

    Result<void> open()
    {
        BOOST_LEAF_CHECK(m_dataPath.open());
        return m_control.open();
    }

    /** Runs until all flows have ended after an order to stop. Fails with ResultCode::OutOfResources. */
    Result<void> run()
    {
        auto started = startThreads();
        if (started) {
            serve();
        }
        m_control.stop();
        m_dataPath.requestStop();
        m_dataThread.join();
        return started;
    }

private:
    Result<void> startThreads()
    {
        BOOST_LEAF_CHECK(m_dataThread.start("packets", [this]() { m_dataPath.run(); }));
        return m_control.start();
    }

    void serve()
    {
        while (!isDone()) {
            if (control::waitForStopSignal(s_pollInterval)) {
                orderStop();
            }
            reportDrain();
        }
        m_control.node().post(control::EventSource::Process, control::SelfChanged {protocol::MemberState::Left});
        std::this_thread::sleep_for(s_leaveNoticeTime);
        telemetry::log(telemetry::Severity::Info, "stopped: all flows have ended");
    }

    static AgentDataSettings dataSettings(const settings::AgentSettings &settings)
    {
        AgentDataSettings data;
        data.host = settings.host;
        data.service = settings.service;
        data.dataAddress = settings.dataAddress;
        data.fabricAddress = settings.fabricAddress;
        data.upstreamAddress = settings.upstreamAddress;
        data.admission.halfOpenTimeout = settings.halfOpenTimeout;
        data.admission.noOwnerGrace = settings.noOwnerGrace;
        data.traceFile = settings.traceFile;
        return data;
    }

    static protocol::MemberRecord agentRecord(const settings::AgentSettings &settings)
    {
        auto record = control::ownRecord(settings, protocol::MemberRole::Agent, settings.host);
        record.service = ServiceId::fromName(settings.service);
        return record;
    }

    /** Passes the service's terms and the members of its pool to the packet path. Called in the control thread. */
    void adopt(const control::ControlSnapshot &snapshot)
    {
        const ServiceId service = ServiceId::fromName(m_settings.service);
        if (snapshot.self.state != protocol::MemberState::Active && m_stopOrdered) {
            m_dataPath.post(admission::DrainOrdered {});
        }
        const configuration::ServiceRecord *record = snapshot.configuration->find(service);
        if (record == nullptr) {
            return;
        }
        auto terms = toTerms(*record, snapshot.configuration->generation(), m_settings.host);
        const bool isEvacuated = control::isEvacuated(*snapshot.configuration, snapshot.self.failureDomain);
        if (isEvacuated && terms.mode == admission::HostMode::Active) {
            terms.mode = admission::HostMode::Draining;
        }
        m_dataPath.post(admission::ServiceTermsChanged {terms});
        postMembers(snapshot, service);
        m_stopConfigured = terms.mode == admission::HostMode::Stopped;
        m_targetState = terms.mode == admission::HostMode::Active && !m_stopOrdered ? protocol::MemberState::Active
                                                                                    : protocol::MemberState::Draining;
    }

    void postMembers(const control::ControlSnapshot &snapshot, ServiceId service)
    {
        for (const routing::RoutedService &routed :
             control::routedServices(*snapshot.configuration, *snapshot.members)) {
            if (routed.service != service) {
                continue;
            }
            admission::MembersChanged event;
            event.eligible = routed.eligible.size();
            event.members.assign(routed.eligible.begin(), routed.eligible.end());
            event.members.insert(event.members.end(), routed.others.begin(), routed.others.end());
            m_dataPath.post(event);
        }
    }

    void orderStop()
    {
        telemetry::log(telemetry::Severity::Info,
                       "stopping: the agent accepts no new flows and waits for open flows to end");
        m_stopOrdered = true;
        m_targetState = protocol::MemberState::Draining;
    }

    /** Announces the target state if it has changed, and returns whether the agent may exit. */
    bool isDone()
    {
        const protocol::MemberState wanted = m_targetState;
        if (wanted != m_announcedState) {
            m_announcedState = wanted;
            m_control.node().post(control::EventSource::Process, control::SelfChanged {wanted});
        }
        return (m_stopOrdered || m_stopConfigured) && m_dataPath.status()->drained;
    }

    /** Logs at intervals of s_drainReportInterval which flows the drain waits for. */
    void reportDrain()
    {
        const auto status = m_dataPath.status();
        const TimePoint now = Clock::now();
        if (!status->draining || status->drained || now < m_nextDrainReport) {
            return;
        }
        m_nextDrainReport = now + s_drainReportInterval;
        for (const std::string &line : waitingFor(*status)) {
            telemetry::log(telemetry::Severity::Info, "the drain waits for " + line);
        }
    }

    /** Describes the open flows, one a line; lists at most s_maxListedFlows and the number of the others. */
    static std::vector<std::string> waitingFor(const AgentDataStatus &status)
    {
        std::vector<std::string> lines;
        for (const admission::OwnedFlow &flow : status.ownedFlows) {
            if (lines.size() == s_maxListedFlows) {
                lines.push_back(std::to_string(status.ownedFlows.size() - s_maxListedFlows) + " more");
                break;
            }
            lines.push_back(describeFlow(flow, Clock::now()));
        }
        return lines;
    }

    void describe(protocol::Status &status) const
    {
        const auto data = m_dataPath.status();
        status.state = data->drained ? "drained" : data->draining ? "draining" : data->ejected ? "ejected" : "active";
        if (status.generation == 0) {
            status.state = "waiting for a configuration";
        }
        status.waitingFor = waitingFor(*data);
        const std::vector<protocol::Counter> counters {
            {"flows_accepted_total", static_cast<double>(data->counters.accepted)},
            {"flows_passed_total", static_cast<double>(data->counters.passed)},
            {"flows_parked_total", static_cast<double>(data->counters.parked)},
            {"flows_handed_over_total", static_cast<double>(data->counters.handedOver)},
            {"flows_refused_total", static_cast<double>(data->counters.refused)},
            {"flows_ceded_total", static_cast<double>(data->counters.ceded)},
            {"flows_reset_unowned_total", static_cast<double>(data->counters.resetUnowned)},
            {"dropped_wrong_service_total", static_cast<double>(data->counters.droppedWrongService)},
            {"dropped_other_total", static_cast<double>(data->counters.droppedOther)},
            {"requests_answered_total", static_cast<double>(data->counters.answered)},
            {"requests_failed_total", static_cast<double>(data->counters.failed)},
            {"slots_busy", static_cast<double>(data->busySlots)},
            {"slots_effective", static_cast<double>(data->effectiveSlots)},
            {"feeds_held", static_cast<double>(data->feedsHeld)},
            {"connections_held", static_cast<double>(data->connectionsHeld)},
            {"packets_parked", static_cast<double>(data->parkedPackets)},
            {"datagrams_malformed_total", static_cast<double>(data->malformedDatagrams)},
            {"datagrams_dropped_total", static_cast<double>(data->droppedDatagrams)},
            {"events_dropped_total", static_cast<double>(data->droppedEvents)},
            {"parked_dropped_total", static_cast<double>(data->droppedParked)},
            {"packets_in_total", static_cast<double>(data->packetsIn)},
            {"packets_out_total", static_cast<double>(data->packetsOut)}};
        status.counters.insert(status.counters.end(), counters.begin(), counters.end());
    }

    settings::AgentSettings m_settings;
    telemetry::EventLog m_events;
    AgentDataPath m_dataPath;
    /** Whether a stop signal has arrived. */
    std::atomic<bool> m_stopOrdered {false};
    /** Whether the configuration sets this host to stopped. */
    std::atomic<bool> m_stopConfigured {false};
    /** State that the agent shall announce to the other processes. */
    std::atomic<protocol::MemberState> m_targetState {protocol::MemberState::Active};
    protocol::MemberState m_announcedState = protocol::MemberState::Active;
    TimePoint m_nextDrainReport;
    control::ProcessControl m_control;
    Thread m_dataThread;
};

} // namespace

int runAgent(const settings::AgentSettings &settings, const std::string &path)
{
    return control::runProcess<Agent>(
        settings, path, {{"role", "agent"}, {"data_address", toString(settings.dataAddress)}});
}

} // namespace samphireswitch::agent
