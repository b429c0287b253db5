#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::telemetry {

/** One value of the metrics page. The name follows the Prometheus conventions and may carry labels. */
struct Metric
{
    std::string name;
    double value = 0;
};

/** `name value` lines, each name with the prefix `samphireswitch_`. */
std::string renderMetrics(const std::vector<Metric> &metrics);

/** What a MetricsEndpoint serves. Called in the thread of run() for each request. */
struct MetricsSources
{
    /** At `/metrics`. */
    std::function<std::vector<Metric>()> metrics;
    /** At `/resets`: the last resets of callers, as in EventLog::resetText(). */
    std::function<std::string()> resets;
    /** At `/returned-packets`: the last packets that reached an upstream in vain, as in EventLog::returnedPackets(). */
    std::function<std::string()> returnedPackets;
};

/** Serves the metrics as text over HTTP. All work is done in run(); requestStop() may be called from any thread. */
class MetricsEndpoint
{
public:
    MetricsEndpoint(const Endpoint &address, const MetricsSources &sources);
    ~MetricsEndpoint();

    MetricsEndpoint(const MetricsEndpoint &) = delete;
    MetricsEndpoint &operator=(const MetricsEndpoint &) = delete;

    /** Binds the address. Fails with ResultCode::SocketError. */
    Result<void> open();

    void run();
    void requestStop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::telemetry
