#pragma once

#include "balancer/storeconfirmation.h"
#include "base/endpoint.h"
#include "base/published.h"
#include "control/controlnode.h"
#include "control/storereadduty.h"
#include "platform/publishedconfiguration.h"
#include "settings/settings.h"
#include "store/configurationstore.h"
#include "telemetry/distribution.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <variant>

namespace samphireswitch::balancer {

/** Client for the store that holds the configuration; the settings select its protocol. */
using ConfigurationSource = std::variant<store::ConfigurationStore, platform::PublishedConfiguration>;

/**
 * Reads new configuration from the store and passes it to the control thread, while StoreReadDuty says so. One thread
 * executes run(); the other functions may be called from any thread.
 */
class StoreReader
{
public:
    StoreReader(const settings::BalancerSettings &settings, control::ControlNode &node);

    /** Reads and watches the store until requestStop(), and retries with a delay after a failure. */
    void run();
    /** Makes run() return after the current call to the store, which may take seconds. */
    void requestStop();

    /** Number of calls to the store since construction, including failed calls. */
    std::uint64_t calls() const;
    /** Number of reads for want of a confirmation by another balancer, since construction, including failed ones. */
    std::uint64_t substituteReads() const;
    /** Number of failed attempts to read or watch the store since construction. */
    std::uint64_t failures() const;
    /** Summary of the durations of successful reads; watches are not included. */
    telemetry::Distribution::Summary latency() const;
    /** Histogram of the durations that latency() summarizes. */
    LatencyHistogram latencies() const;
    /** The last successful read of the store; its time is the epoch of the clock if no read has succeeded. */
    std::shared_ptr<const StoreConfirmation> confirmation() const;

private:
    /**
     * Reads the changes since the current configuration, then waits for the next change or the timeout of the watch.
     * Returns false if the store failed. Returns true if the store has compacted the changes, because the next read
     * returns the complete state.
     */
    bool readAndWatch(ConfigurationSource &source);
    /** Reads the changes since the current configuration and posts them to the control thread. */
    Result<void> readChanges(ConfigurationSource &source);
    /** Makes @p confirmation the newest one. */
    void confirm(const StoreConfirmation &confirmation);
    /** Determines the role of this balancer, and logs a change of it. */
    void updateRole();
    /** Logs when the store becomes unavailable, with @p reason, and when it is available again. */
    void logAvailabilityChange(bool available, const std::string &reason);

    settings::BalancerSettings m_settings;
    control::ControlNode &m_node;
    control::StoreReadDuty m_duty;
    control::StoreReadRole m_role = control::StoreReadRole::None;
    std::size_t m_rank = 0;
    /** Null while this balancer does not read the store. */
    std::unique_ptr<ConfigurationSource> m_source;
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_substituteReads {0};
    std::atomic<std::uint64_t> m_failures {0};
    Published<StoreConfirmation> m_confirmation;
    /** When the store became unavailable; the epoch of the clock while it is available. */
    TimePoint m_unavailableSince;
    telemetry::Distribution m_latency;
};

} // namespace samphireswitch::balancer
