#include "soak/operator.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace samphireswitch::soak {

namespace {

constexpr std::uint16_t s_routePort = 443;
constexpr std::uint32_t s_mainRoutes = 0xc6120001;
constexpr std::uint32_t s_changingRoutes = 0xc6120101;
constexpr std::uint64_t s_versionStep = 3;
const std::string s_evacuations = "op/evacuate/";

boost::json::object routeEntry(const Endpoint &address, const std::string &pool)
{
    const bool isFeed = address == mainRoute(FeedRoute);
    return {{"name", addressToString(address.address)},
            {"host", addressToString(address.address)},
            {"prefix", "/" + std::to_string(address.port) + "/"},
            {"service", pool},
            {"type", isFeed ? "idempotent" : "non_idempotent"},
            {"timeout_ms", 4000},
            {"target_latency_ms", 300},
            {"priority", 1}};
}

} // namespace

Endpoint mainRoute(MainRoute index)
{
    return {s_mainRoutes + index, s_routePort};
}

Endpoint changingRoute(unsigned number)
{
    return {s_changingRoutes + number, s_routePort};
}

Operator::Operator(StoreServer &store, PromiseCheck &check, const OperatorSettings &settings)
    : m_store(store)
    , m_check(check)
    , m_settings(settings)
    , m_routes {{mainRoute(OrderRoute), s_orders}, {mainRoute(ScanRoute), s_scans}, {mainRoute(FeedRoute), s_orders}}
{
}

void Operator::publishConfiguration()
{
    m_version += s_versionStep;
    boost::json::array routes;
    for (const auto &[address, pool] : m_routes) {
        routes.push_back(routeEntry(address, pool));
    }
    boost::json::array services;
    for (const std::string &pool : {s_orders, s_scans}) {
        boost::json::object service {{"name", pool}, {"health_path", "/health"}, {"max_conns", 2000}};
        if (m_settings.coldRequestsPerSecond > 0) {
            service["slow_start_s"] = std::chrono::duration<double>(m_settings.slowStart).count();
            service["cold_per_s"] = m_settings.coldRequestsPerSecond;
        }
        services.push_back(std::move(service));
    }
    const boost::json::object document {
        {"version", m_version},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"limits", boost::json::object {{"idle_timeout_ms", m_settings.idleTimeout.count()}}}};
    m_store.put("op/config", boost::json::serialize(document));
    m_check.configurationConfirmed(m_routes, Clock::now());
}

bool Operator::changeRoute(const Endpoint &route)
{
    const bool isAdded = m_routes.try_emplace(route, s_orders).second;
    if (!isAdded) {
        m_routes.erase(route);
    }
    publishConfiguration();
    return isAdded;
}

bool Operator::hasRoute(const Endpoint &route) const
{
    return m_routes.contains(route);
}

void Operator::evacuate(const std::string &domain)
{
    ++m_evacuations[domain];
    m_store.put(s_evacuations + domain, "{}");
    m_check.evacuationConfirmed(domain, Clock::now());
}

void Operator::takeBack(const std::string &domain)
{
    if (--m_evacuations[domain] == 0) {
        m_store.erase(s_evacuations + domain);
        m_check.evacuationTakenBack(domain);
    }
}

} // namespace samphireswitch::soak
