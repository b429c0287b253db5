#pragma once

#include "soak/promisecheck.h"
#include "soak/storeserver.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace samphireswitch::soak {

/** The pools of upstreams. */
inline const std::string s_orders = "orders";
inline const std::string s_scans = "scans";

/** Routes that are always there. As in the deployments, feeds may be repeated and the others may not. */
enum MainRoute : unsigned { OrderRoute, ScanRoute, FeedRoute };

Endpoint mainRoute(MainRoute index);

/** A route that comes and goes. */
Endpoint changingRoute(unsigned number);

/** What the operator declares beside the routes. */
struct OperatorSettings
{
    /** `idle_timeout_ms` of the configuration. */
    std::chrono::milliseconds idleTimeout {60000};
    /** `slow_start_s` and `cold_per_s` of the pools; without a limit, no upstream is cold. */
    std::chrono::milliseconds slowStart {0};
    double coldRequestsPerSecond = 0;
};

/** Writes the configuration and the evacuations to the store, and tells the check what the store has confirmed. */
class Operator
{
public:
    /** The configuration begins with the main routes. */
    Operator(StoreServer &store, PromiseCheck &check, const OperatorSettings &settings);

    /** Writes the next version of the configuration. */
    void publishConfiguration();

    /** Adds @p route, or removes it if it is there; returns whether it is there now. */
    bool changeRoute(const Endpoint &route);
    bool hasRoute(const Endpoint &route) const;

    void evacuate(const std::string &domain);
    /** Ends one of the evacuations of @p domain; the order stays until the last one has ended. */
    void takeBack(const std::string &domain);

private:
    StoreServer &m_store;
    PromiseCheck &m_check;
    OperatorSettings m_settings;
    RoutePools m_routes;
    std::uint64_t m_version = 0;
    /** Evacuations under way, by failure domain. */
    std::map<std::string, unsigned> m_evacuations;
};

} // namespace samphireswitch::soak
