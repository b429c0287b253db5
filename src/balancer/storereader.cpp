#include "balancer/storereader.h"

#include "control/watcherchoice.h"
#include "store/configurationstore.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <random>
#include <thread>

namespace samphireswitch::balancer {

namespace {

constexpr std::chrono::milliseconds s_callLimit {2000};
// A watch is opened again this often, and head is read then, so that a watch that silently died delays a change only
// this long.
constexpr std::chrono::milliseconds s_watchLimit {2000};
constexpr std::chrono::milliseconds s_idleWait {500};
// After an outage all watchers return; the random part keeps them from calling at the same moment.
constexpr std::chrono::milliseconds s_firstRetry {200};
constexpr std::chrono::milliseconds s_longestRetry {3000};

std::chrono::milliseconds jitter(std::chrono::milliseconds limit, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution(limit.count() / 2, limit.count());
    return std::chrono::milliseconds(distribution(random));
}

} // namespace

StoreReader::StoreReader(const Endpoint &store, control::ControlNode &node)
    : m_store(store)
    , m_node(node)
{
}

void StoreReader::run()
{
    store::ConfigurationStore configurationStore(m_store, s_callLimit);
    std::mt19937_64 random(std::random_device {}());
    std::chrono::milliseconds retry = s_firstRetry;
    while (!m_stopRequested) {
        if (!isWatcher()) {
            std::this_thread::sleep_for(s_idleWait);
            continue;
        }
        if (readOnce(configurationStore)) {
            retry = s_firstRetry;
            continue;
        }
        ++m_failures;
        std::this_thread::sleep_for(jitter(retry, random));
        retry = std::min(2 * retry, s_longestRetry);
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

bool StoreReader::readOnce(store::ConfigurationStore &configurationStore)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            const Generation inForce = m_node.snapshot()->configuration->generation();
            const TimePoint started = Clock::now();
            ++m_calls;
            BOOST_LEAF_AUTO(delta, configurationStore.changesSince(inForce));
            m_latency.add(Clock::now() - started);
            if (delta.to > inForce) {
                m_node.post(control::EventSource::Store, control::ConfigurationReceived {std::move(delta)});
            }
            ++m_calls;
            BOOST_LEAF_CHECK(configurationStore.waitForChange(s_watchLimit));
            return true;
        },
        [](const Error &error) {
            telemetry::log(telemetry::Severity::Warning, "store: " + error.message);
            return false;
        },
        []() { return false; });
}

bool StoreReader::isWatcher() const
{
    const auto snapshot = m_node.snapshot();
    return control::shouldWatchStore(snapshot->self, *snapshot->members);
}

} // namespace samphireswitch::balancer
