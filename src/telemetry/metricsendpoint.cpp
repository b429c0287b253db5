#include "telemetry/metricsendpoint.h"

#include "http/server.h"

#include <sstream>

namespace samphireswitch::telemetry {

namespace {

http::Response answer(const http::Request &request, const MetricsSources &sources)
{
    const std::string contentType = "text/plain; version=0.0.4";
    const bool isRead = request.method == "GET";
    if (isRead && request.target == "/resets") {
        return {200, "application/x-ndjson", sources.resets()};
    }
    if (isRead && request.target == "/returned-packets") {
        return {200, "application/x-ndjson", sources.returnedPackets()};
    }
    if (!isRead || request.target != "/metrics") {
        return {404,
                contentType,
                "the metrics are at /metrics, the last resets of callers at /resets, the last packets that an upstream "
                "returned at /returned-packets\n"};
    }
    return {200, contentType, renderMetrics(sources.metrics())};
}

} // namespace

std::string renderMetrics(const std::vector<Metric> &metrics)
{
    std::ostringstream text;
    for (const Metric &metric : metrics) {
        text << "samphireswitch_" << metric.name << ' ' << metric.value << '\n';
    }
    return text.str();
}

class MetricsEndpoint::Private
{
public:
    Private(const Endpoint &address, const MetricsSources &sources)
        : server({{address, [sources](const http::Request &request) { return answer(request, sources); }}})
    {
    }

    http::Server server;
};

MetricsEndpoint::MetricsEndpoint(const Endpoint &address, const MetricsSources &sources)
    : m_d(std::make_unique<Private>(address, sources))
{
}

MetricsEndpoint::~MetricsEndpoint() = default;

Result<void> MetricsEndpoint::open()
{
    return m_d->server.open();
}

void MetricsEndpoint::run()
{
    m_d->server.run();
}

void MetricsEndpoint::requestStop()
{
    m_d->server.requestStop();
}

} // namespace samphireswitch::telemetry
