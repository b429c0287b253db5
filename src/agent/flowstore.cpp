#include "agent/flowstore.h"

#include "base/attempt.h"
#include "passthrough/storedflows.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <chrono>

namespace samphireswitch::agent {

namespace {

// Longer than the store takes while it is slow.
constexpr std::chrono::milliseconds s_callTimeout {1000};
// Interval at which open flows are compared with those in the store. The packet path tells of them once a second.
constexpr std::chrono::milliseconds s_pollInterval {1000};
// The key of an agent's flows is this prefix followed by the id of the agent.
const std::string s_keyPrefix = "samphireswitch/flows/";

} // namespace

FlowStore::FlowStore(const Endpoint &store,
                     AgentId agent,
                     const StoredFlowsSettings &settings,
                     PassthroughDataPath &dataPath,
                     WakeSignal &wake)
    : m_dataPath(dataPath)
    , m_wake(wake)
    , m_key(s_keyPrefix + std::to_string(agent.value))
    , m_client(store, s_callTimeout)
    , m_servedRuns(agent, m_client, dataPath)
    , m_settings(settings)
    , m_schedule(settings, Clock::now())
{
}

void FlowStore::run()
{
    while (!m_stopRequested) {
        runOnce();
    }
}

void FlowStore::runOnce()
{
    const TimePoint now = Clock::now();
    if (m_settings.writeInterval.count() > 0 && m_servedRuns.isDue(now)) {
        // Callers wait for these calls: a run gets no new flow before it is listed.
        perform([this] { return m_servedRuns.exchange(); });
        return;
    }
    const auto call = m_schedule.due(now, compareWithStored(*m_dataPath.openFlows()), m_poolSize);
    if (call) {
        perform([this, &call] { return std::visit([this](const auto &kind) { return execute(kind); }, *call); });
        return;
    }
    m_wake.waitFor(std::min(s_pollInterval, m_servedRuns.timeUntilRetry(now, s_pollInterval)));
}

void FlowStore::requestStop()
{
    m_stopRequested = true;
    m_wake.notify();
}

void FlowStore::setPoolSize(std::size_t agents)
{
    m_poolSize = agents;
}

std::uint64_t FlowStore::calls() const
{
    return m_calls;
}

std::uint64_t FlowStore::failures() const
{
    return m_failures;
}

std::size_t FlowStore::storedFlows() const
{
    return m_storedFlows;
}

OpenFlows FlowStore::compareWithStored(const passthrough::StoredFlows &open) const
{
    OpenFlows result {passthrough::contentHash(open), open.flows.size()};
    for (const protocol::LocatedFlow &located : open.flows) {
        result.unsaved += m_written.contains(passthrough::flowHash(located)) ? 0 : 1;
    }
    return result;
}

void FlowStore::perform(const std::function<Result<void>()> &call)
{
    ++m_calls;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(call());
            if (m_isStoreUnavailable) {
                m_isStoreUnavailable = false;
                telemetry::logEvent(telemetry::Severity::Info, "flow-store-back", {});
            }
            return {};
        },
        [this](const Error &error) { recordFailure(error); },
        [this]() {
            recordFailure({ResultCode::StoreUnavailable, "the failure carries no error object"});
        });
}

Result<void> FlowStore::execute(const ReadFlows &)
{
    BOOST_LEAF_AUTO(answer, m_client.read(m_key));
    m_schedule.flowsRead();
    if (answer.values.empty()) {
        return {};
    }
    const auto outcome = attempt([&] { return passthrough::decodeStoredFlows(answer.values.front().value); });
    if (const Error *error = std::get_if<Error>(&outcome)) {
        // Any writer can store a value under the key. The flows that this process writes replace it.
        telemetry::logEvent(telemetry::Severity::Warning, "stored-flows-unreadable", {{"reason", error->message}});
        return {};
    }
    const auto &stored = std::get<passthrough::StoredFlows>(outcome);
    telemetry::logEvent(telemetry::Severity::Info,
                        "stored-flows-read",
                        {{"flows", stored.flows.size()}, {"run_started", stored.runStartedSinceEpoch.count()}});
    m_dataPath.storedFlowsRead(stored);
    return {};
}

Result<void> FlowStore::execute(const GrantFlowsLease &)
{
    const TimePoint sent = Clock::now();
    BOOST_LEAF_AUTO(lease, m_client.grantLease(m_settings.leaseDuration));
    m_schedule.leaseGranted(lease.id, lease.duration, sent);
    return {};
}

Result<void> FlowStore::execute(const WriteFlows &call)
{
    const auto flows = m_dataPath.openFlows();
    auto written = m_client.transaction({}, {{m_key, passthrough::encodeStoredFlows(*flows), call.lease}});
    if (!written) {
        // The write may have failed because the lease has ended. A new lease costs only one call.
        m_schedule.leaseEnded();
        return written.error();
    }
    m_schedule.flowsWritten(passthrough::contentHash(*flows), Clock::now());
    m_storedFlows = flows->flows.size();
    telemetry::logEvent(telemetry::Severity::Debug, "stored-flows-written", {{"flows", flows->flows.size()}});
    m_written.clear();
    for (const protocol::LocatedFlow &located : flows->flows) {
        m_written.insert(passthrough::flowHash(located));
    }
    return {};
}

Result<void> FlowStore::execute(const RenewFlowsLease &call)
{
    const TimePoint sent = Clock::now();
    BOOST_LEAF_AUTO(renewal, m_client.renewLease(call.lease));
    if (renewal == platform::Renewal::Ended) {
        m_schedule.leaseEnded();
        return {};
    }
    m_schedule.leaseRenewed(sent);
    return {};
}

void FlowStore::recordFailure(const Error &error)
{
    ++m_failures;
    m_schedule.callFailed(Clock::now());
    if (m_isStoreUnavailable) {
        return;
    }
    m_isStoreUnavailable = true;
    telemetry::logEvent(telemetry::Severity::Warning, "flow-store-lost", {{"reason", error.message}});
}

} // namespace samphireswitch::agent
