#include "balancer/storereader.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <random>
#include <thread>

namespace samphireswitch::balancer {

namespace {

constexpr std::chrono::milliseconds s_callTimeout {1000};
constexpr Clock::duration s_idleWait = std::chrono::milliseconds(100);

std::unique_ptr<ConfigurationSource> makeSource(const settings::BalancerSettings &settings)
{
    if (settings.storeProtocol == settings::StoreProtocol::Platform) {
        return std::make_unique<ConfigurationSource>(
            std::in_place_type<platform::PublishedConfiguration>, settings.storeEndpoint, s_callTimeout);
    }
    return std::make_unique<ConfigurationSource>(
        std::in_place_type<store::ConfigurationStore>, settings.storeEndpoint, s_callTimeout);
}

const char *roleName(control::StoreReadRole role)
{
    switch (role) {
    case control::StoreReadRole::None:
        return "none";
    case control::StoreReadRole::Watcher:
        return "watcher";
    case control::StoreReadRole::Substitute:
        return "substitute";
    }
    return "unknown";
}

/** Visitor that compares the configuration in a ConfigurationSource with the one in force. */
struct ReadConfiguration
{
    const configuration::ConfigurationTable &inForce;
    TimePoint startedAt;

    Result<configuration::ConfigurationReading> operator()(store::ConfigurationStore &source) const
    {
        using configuration::ConfigurationReading;
        BOOST_LEAF_AUTO(delta, source.changesSince(inForce.generation()));
        if (delta.to > inForce.generation()) {
            return ConfigurationReading {configuration::ConfigurationUpdate {std::move(delta), startedAt}};
        }
        return ConfigurationReading {
            configuration::ConfigurationConfirmation {inForce.generation(), inForce.contentHash(), startedAt}};
    }

    Result<configuration::ConfigurationReading> operator()(platform::PublishedConfiguration &source) const
    {
        return source.read(inForce, startedAt);
    }
};

/** Visitor that returns which content an update leads to, and the number of its records. */
struct UpdateOutline
{
    struct Outline
    {
        Generation generation = 0;
        std::size_t records = 0;
        /** 0 if it is not known. */
        std::uint64_t contentHash = 0;
    };

    Outline operator()(const configuration::ConfigurationDelta &delta) const
    {
        return {delta.to, delta.records.size()};
    }

    Outline operator()(const configuration::ConfigurationPatch &patch) const
    {
        return {patch.generation, patch.records.size(), patch.contentHash};
    }
};

} // namespace

StoreReader::StoreReader(const settings::BalancerSettings &settings, control::ControlNode &node)
    : m_settings(settings)
    , m_node(node)
    , m_duty(Clock::now(), std::mt19937_64(std::random_device {}()))
{
}

void StoreReader::run()
{
    while (!m_stopRequested) {
        updateRole();
        if (m_role == control::StoreReadRole::None) {
            // Closes the connection, and with it a watch that the store would keep open.
            m_source.reset();
            m_unavailableSince = {};
            std::this_thread::sleep_for(s_idleWait);
            continue;
        }
        const auto delay = m_duty.nextAttempt() - Clock::now();
        if (delay > Clock::duration(0)) {
            std::this_thread::sleep_for(std::min(delay, s_idleWait));
            continue;
        }
        if (m_source == nullptr) {
            m_source = makeSource(m_settings);
        }
        if (readAndWatch(*m_source)) {
            m_duty.watchSucceeded();
            continue;
        }
        ++m_failures;
        m_duty.callFailed(m_rank, Clock::now());
    }
}

void StoreReader::updateRole()
{
    const auto snapshot = m_node.snapshot();
    const auto confirmedAt = m_node.configurationConfirmedAt();
    const TimePoint now = Clock::now();
    m_rank = control::storeReadRank(snapshot->self, *snapshot->members);
    const control::StoreReadRole role = m_duty.role(m_rank, confirmedAt, now);
    if (role == m_role) {
        return;
    }
    telemetry::logEvent(telemetry::Severity::Info,
                        "store-read-role",
                        {{"role", roleName(role)},
                         {"role_before", roleName(m_role)},
                         {"rank", m_rank},
                         {"confirmed_age_ms", confirmedAt ? telemetry::toMilliseconds(now - *confirmedAt) : -1}});
    m_role = role;
}

void StoreReader::requestStop()
{
    m_stopRequested = true;
}

std::uint64_t StoreReader::calls() const
{
    return m_calls;
}

std::uint64_t StoreReader::substituteReads() const
{
    return m_substituteReads;
}

std::uint64_t StoreReader::failures() const
{
    return m_failures;
}

telemetry::Distribution::Summary StoreReader::latency() const
{
    return m_latency.summary();
}

LatencyHistogram StoreReader::latencies() const
{
    return m_latency.histogram();
}

std::shared_ptr<const StoreConfirmation> StoreReader::confirmation() const
{
    return m_confirmation.current();
}

bool StoreReader::readAndWatch(ConfigurationSource &source)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(readChanges(source));
            ++m_calls;
            const auto duration = m_duty.watchDuration(m_role);
            BOOST_LEAF_CHECK(std::visit([&](auto &kind) { return kind.waitForChange(duration); }, source));
            return true;
        },
        [this](const Error &error) {
            if (error.code == ResultCode::StoreCompacted) {
                // The next read returns the complete state, which includes the changes of the discarded history.
                telemetry::logEvent(telemetry::Severity::Info, "store-history-lost", {{"reason", error.message}});
                return true;
            }
            logAvailabilityChange(false, error.message);
            return false;
        },
        []() { return false; });
}

Result<void> StoreReader::readChanges(ConfigurationSource &source)
{
    const auto inForce = m_node.snapshot()->configuration;
    const TimePoint started = Clock::now();
    ++m_calls;
    const bool isSubstitute = m_role == control::StoreReadRole::Substitute;
    m_substituteReads += isSubstitute ? 1 : 0;
    BOOST_LEAF_AUTO(reading, std::visit(ReadConfiguration {*inForce, started}, source));
    m_latency.add(Clock::now() - started);
    logAvailabilityChange(true, {});
    if (const auto *update = std::get_if<configuration::ConfigurationUpdate>(&reading)) {
        const auto outline = std::visit(UpdateOutline {}, update->content);
        telemetry::logEvent(telemetry::Severity::Info,
                            "configuration-read",
                            {{"generation", outline.generation},
                             {"generation_before", inForce->generation()},
                             {"records", outline.records}});
        m_duty.readSucceeded(started);
        if (!update->isPartlyConfirmed) {
            confirm({outline.generation, outline.contentHash, started});
        }
        m_node.post(control::EventSource::Store, *update);
    } else if (const auto *confirmation = std::get_if<configuration::ConfigurationConfirmation>(&reading)) {
        m_duty.readSucceeded(started);
        confirm({confirmation->generation, confirmation->contentHash, started});
        m_node.post(control::EventSource::Store, *confirmation);
    } else if (isSubstitute) {
        m_duty.callFailed(m_rank, Clock::now());
    }
    return {};
}

void StoreReader::confirm(const StoreConfirmation &confirmation)
{
    m_confirmation.publish(std::make_shared<const StoreConfirmation>(confirmation));
}

void StoreReader::logAvailabilityChange(bool available, const std::string &reason)
{
    const bool wasUnavailable = m_unavailableSince != TimePoint();
    if (available && wasUnavailable) {
        telemetry::logEvent(telemetry::Severity::Info,
                            "store-back",
                            {{"lost_for_ms", telemetry::toMilliseconds(Clock::now() - m_unavailableSince)}});
        m_unavailableSince = {};
    } else if (!available && !wasUnavailable) {
        telemetry::logEvent(telemetry::Severity::Warning, "store-lost", {{"reason", reason}});
        m_unavailableSince = Clock::now();
    }
}

} // namespace samphireswitch::balancer
