#include "balancer/storereader.h"

#include "control/watcherchoice.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <random>
#include <thread>

namespace samphireswitch::balancer {

namespace {

constexpr std::chrono::milliseconds s_callTimeout {1000};
// A watch ends after this time and the newest generation is read before the next one, so that a watch whose connection
// failed silently delays a change by at most this time.
constexpr std::chrono::milliseconds s_watchTimeout {1500};
constexpr std::chrono::milliseconds s_idleWait {200};
// Delays between attempts while the store is unavailable. jitter() randomizes them, so that the watchers do not all
// call the store at the same moment after an outage.
constexpr std::chrono::milliseconds s_initialRetryDelay {100};
constexpr std::chrono::milliseconds s_maximumRetryDelay {1000};

/** A random duration between half of @p limit and @p limit. */
std::chrono::milliseconds jitter(std::chrono::milliseconds limit, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution(limit.count() / 2, limit.count());
    return std::chrono::milliseconds(distribution(random));
}

ConfigurationSource makeSource(const settings::BalancerSettings &settings)
{
    if (settings.storeProtocol == settings::StoreProtocol::Platform) {
        return ConfigurationSource(
            std::in_place_type<platform::PublishedConfiguration>, settings.storeEndpoint, s_callTimeout);
    }
    return ConfigurationSource(std::in_place_type<store::ConfigurationStore>, settings.storeEndpoint, s_callTimeout);
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

/** Visitor that returns the generation and the number of records of an update, for the log. */
struct UpdateSize
{
    struct Size
    {
        Generation generation = 0;
        std::size_t records = 0;
    };

    Size operator()(const configuration::ConfigurationDelta &delta) const
    {
        return {delta.to, delta.records.size()};
    }

    Size operator()(const configuration::ConfigurationPatch &patch) const
    {
        return {patch.generation, patch.records.size()};
    }
};

} // namespace

StoreReader::StoreReader(const settings::BalancerSettings &settings, control::ControlNode &node)
    : m_settings(settings)
    , m_node(node)
{
}

void StoreReader::run()
{
    ConfigurationSource source = makeSource(m_settings);
    std::mt19937_64 random(std::random_device {}());
    std::chrono::milliseconds retryDelay = s_initialRetryDelay;
    while (!m_stopRequested) {
        if (!isWatcher()) {
            std::this_thread::sleep_for(s_idleWait);
            continue;
        }
        if (readAndWatch(source)) {
            retryDelay = s_initialRetryDelay;
            continue;
        }
        ++m_failures;
        std::this_thread::sleep_for(jitter(retryDelay, random));
        retryDelay = std::min(2 * retryDelay, s_maximumRetryDelay);
    }
}

void StoreReader::requestStop()
{
    m_stopRequested = true;
}

std::uint64_t StoreReader::calls() const
{
    return m_calls;
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

TimePoint StoreReader::confirmedAt() const
{
    return m_confirmedAt;
}

bool StoreReader::readAndWatch(ConfigurationSource &source)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(readChanges(source));
            ++m_calls;
            BOOST_LEAF_CHECK(std::visit([](auto &kind) { return kind.waitForChange(s_watchTimeout); }, source));
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
    BOOST_LEAF_AUTO(reading, std::visit(ReadConfiguration {*inForce, started}, source));
    m_latency.add(Clock::now() - started);
    m_confirmedAt = started;
    logAvailabilityChange(true, {});
    if (const auto *update = std::get_if<configuration::ConfigurationUpdate>(&reading)) {
        const auto size = std::visit(UpdateSize {}, update->content);
        telemetry::logEvent(
            telemetry::Severity::Info,
            "configuration-read",
            {{"generation", size.generation}, {"generation_before", inForce->generation()}, {"records", size.records}});
        m_node.post(control::EventSource::Store, *update);
    } else if (const auto *confirmation = std::get_if<configuration::ConfigurationConfirmation>(&reading)) {
        m_node.post(control::EventSource::Store, *confirmation);
    }
    return {};
}

bool StoreReader::isWatcher() const
{
    const auto snapshot = m_node.snapshot();
    return control::shouldWatchStore(snapshot->self, *snapshot->members);
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
