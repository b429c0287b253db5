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

/** Serves the metrics as text over HTTP. All work is done in run(); requestStop() may be called from any thread. */
class MetricsEndpoint
{
public:
    /** @p source is called in the thread of run() for each request. */
    MetricsEndpoint(const Endpoint &address, const std::function<std::vector<Metric>()> &source);
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
