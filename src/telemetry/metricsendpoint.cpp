#include "telemetry/metricsendpoint.h"

#include "http/server.h"

#include <sstream>

namespace samphireswitch::telemetry {

namespace {

http::Response answer(const http::Request &request, const std::function<std::vector<Metric>()> &source)
{
    const std::string contentType = "text/plain; version=0.0.4";
    if (request.method != "GET" || request.target != "/metrics") {
        return {404, contentType, "the metrics are at /metrics\n"};
    }
    return {200, contentType, renderMetrics(source())};
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
    Private(const Endpoint &address, const std::function<std::vector<Metric>()> &source)
        : server({{address, [source](const http::Request &request) { return answer(request, source); }}})
    {
    }

    http::Server server;
};

MetricsEndpoint::MetricsEndpoint(const Endpoint &address, const std::function<std::vector<Metric>()> &source)
    : m_d(std::make_unique<Private>(address, source))
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
