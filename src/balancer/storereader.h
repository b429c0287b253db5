#pragma once

#include "base/endpoint.h"
#include "control/controlnode.h"
#include "platform/publishedconfiguration.h"
#include "settings/settings.h"
#include "store/configurationstore.h"
#include "telemetry/distribution.h"

#include <atomic>
#include <cstdint>
#include <variant>

namespace samphireswitch::balancer {

/** Where the configuration comes from, by the protocol of the store. */
using ConfigurationSource = std::variant<store::ConfigurationStore, platform::PublishedConfiguration>;

/**
 * The store thread of a balancer: hands new configuration from the store to the control thread while this balancer is
 * one of the watchers of its failure domain. All work is done in run(); the other functions may be called from any
 * thread.
 */
class StoreReader
{
public:
    StoreReader(const settings::BalancerSettings &settings, control::ControlNode &node);

    void run();
    void requestStop();

    std::uint64_t calls() const;
    std::uint64_t failures() const;
    telemetry::Distribution::Summary latency() const;
    LatencyHistogram latencies() const;
    /** When the store last confirmed what the newest configuration is; the epoch of the clock if it never did. */
    TimePoint confirmedAt() const;

private:
    /** Reads what is new and waits for the next change; false if the store failed. */
    bool readOnce(ConfigurationSource &source);
    Result<void> readChanges(ConfigurationSource &source);
    bool isWatcher() const;
    /** Logs that the store was lost or is back. */
    void noteAvailability(bool available, const std::string &reason);

    settings::BalancerSettings m_settings;
    control::ControlNode &m_node;
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_failures {0};
    std::atomic<TimePoint> m_confirmedAt {TimePoint()};
    /** Since when the store has been unavailable, for the log; the epoch of the clock while it is available. */
    TimePoint m_lostAt;
    telemetry::Distribution m_latency;
};

} // namespace samphireswitch::balancer
