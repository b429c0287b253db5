#pragma once

#include "base/endpoint.h"
#include "control/controlnode.h"
#include "telemetry/distribution.h"

#include <atomic>
#include <cstdint>

namespace samphireswitch::store {
class ConfigurationStore;
}

namespace samphireswitch::balancer {

/**
 * The store thread of a balancer: hands new configuration from the store to the control thread while this balancer is
 * one of the watchers of its failure domain. All work is done in run(); the other functions may be called from any
 * thread.
 */
class StoreReader
{
public:
    StoreReader(const Endpoint &store, control::ControlNode &node);

    void run();
    void requestStop();

    std::uint64_t calls() const;
    std::uint64_t failures() const;
    telemetry::Distribution::Summary latency() const;

private:
    /** Reads what is new and waits for the next change; false if the store failed. */
    bool readOnce(store::ConfigurationStore &configurationStore);
    bool isWatcher() const;

    Endpoint m_store;
    control::ControlNode &m_node;
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::uint64_t> m_calls {0};
    std::atomic<std::uint64_t> m_failures {0};
    telemetry::Distribution m_latency;
};

} // namespace samphireswitch::balancer
