#include "balancer/balancerprocess.h"

#include "balancer/balancerdatapath.h"
#include "balancer/storereader.h"
#include "control/processcontrol.h"
#include "control/routedservices.h"
#include "telemetry/logging.h"

#include <thread>

namespace samphireswitch::balancer {

namespace {

constexpr std::size_t s_eventCapacity = 20000;
constexpr std::chrono::milliseconds s_signalPoll {1000};
// Gives peers the time to learn that this balancer leaves while the fabric may still hand it packets.
constexpr std::chrono::seconds s_leaveTime {1};

/** The threads of a balancer and what joins them. */
class Balancer
{
public:
    explicit Balancer(const settings::BalancerSettings &settings)
        : m_events(settings.name, s_eventCapacity)
        , m_dataPath({settings.dataAddress, settings.hintCapacity}, m_events)
        , m_control(settings,
                    balancerGossip(settings),
                    control::ownRecord(settings, protocol::MemberRole::Balancer, settings.name),
                    settings.seeds,
                    {[this](const control::ControlSnapshot &snapshot) { publish(snapshot); },
                     [this](protocol::Status &status) { describe(status); }},
                    m_events)
        , m_storeReader(settings.storeEndpoint, m_control.node())
    {
    }

    Result<void> open()
    {
        BOOST_LEAF_CHECK(m_dataPath.open());
        return m_control.open();
    }

    void run()
    {
        std::thread data([this]() { m_dataPath.run(); });
        std::thread store([this]() { m_storeReader.run(); });
        m_control.start();
        while (!control::waitForStopSignal(s_signalPoll)) { }
        telemetry::log(telemetry::Severity::Info, "leaving");
        m_control.node().post(control::EventSource::Process, control::SelfChanged {protocol::MemberState::Left});
        std::this_thread::sleep_for(s_leaveTime);
        m_storeReader.requestStop();
        m_dataPath.requestStop();
        store.join();
        m_control.stop();
        data.join();
    }

private:
    static control::GossipSettings balancerGossip(const settings::BalancerSettings &settings)
    {
        control::GossipSettings gossip = control::gossipSettings(settings);
        gossip.digestInterval = settings.gossipInterval;
        return gossip;
    }

    void publish(const control::ControlSnapshot &snapshot)
    {
        if (snapshot.configuration->generation() == 0) {
            return;
        }
        m_dataPath.publish(snapshot.configuration->generation(),
                           control::routedServices(*snapshot.configuration, *snapshot.members));
    }

    void describe(protocol::Status &status) const
    {
        const BalancerDataStatus data = m_dataPath.status();
        status.state = status.generation == 0 ? "waiting for a configuration" : "active";
        const std::vector<protocol::Counter> counters {
            {"packets_in_total", static_cast<double>(data.packetsIn)},
            {"packets_forwarded_total", static_cast<double>(data.packetsForwarded)},
            {"first_packets_total", static_cast<double>(data.firstPackets)},
            {"hints_learned_total", static_cast<double>(data.hintsLearned)},
            {"hints_used_total", static_cast<double>(data.hintsUsed)},
            {"hints_rejected_total", static_cast<double>(data.hintsRejected)},
            {"hints_held", static_cast<double>(data.hintsHeld)},
            {"events_suppressed_total", static_cast<double>(data.eventsSuppressed)},
            {"dropped_malformed_total", static_cast<double>(data.droppedMalformed)},
            {"dropped_no_service_total", static_cast<double>(data.droppedNoService)},
            {"dropped_no_member_total", static_cast<double>(data.droppedNoMember)},
            {"send_errors_total", static_cast<double>(data.sendErrors)},
            {"store_calls_total", static_cast<double>(m_storeReader.calls())},
            {"store_failures_total", static_cast<double>(m_storeReader.failures())},
            {"store_call_microseconds_p99", static_cast<double>(m_storeReader.latency().percentile99.count())}};
        status.counters.insert(status.counters.end(), counters.begin(), counters.end());
    }

    telemetry::EventLog m_events;
    BalancerDataPath m_dataPath;
    control::ProcessControl m_control;
    StoreReader m_storeReader;
};

} // namespace

int runBalancer(const settings::BalancerSettings &settings)
{
    control::blockStopSignals();
    telemetry::startLogging(settings.name, settings.logLevel);
    Balancer balancer(settings);
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(balancer.open());
            telemetry::log(telemetry::Severity::Info, "balancer started on " + toString(settings.dataAddress));
            balancer.run();
            return 0;
        },
        [](const Error &error) {
            telemetry::log(telemetry::Severity::Error, error.message);
            return 1;
        },
        []() { return 1; });
}

} // namespace samphireswitch::balancer
