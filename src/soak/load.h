#pragma once

#include "platform/siteday.h"
#include "soak/callers.h"

#include <chrono>
#include <vector>

namespace samphireswitch::soak {

/** What callers ask for on the main routes. */
struct LoadSettings
{
    /** Flows that are kept open for one request after the other. */
    unsigned keptFlows = 20;
    /** Between two requests of such a flow. */
    std::chrono::milliseconds callerPause {250};
    /** Number of flows that stay idle for some seconds between two requests. */
    unsigned idleFlows = 0;
    /** Orders a second, each on a flow of its own. */
    double ordersPerSecond = 30;
    /** Uploads a second, each on a flow of its own. */
    double uploadsPerSecond = 6;
    /** How long callers wait for the answer of a request on a feed, of an order and of an upload. */
    std::chrono::milliseconds feedBudget {4000};
    std::chrono::milliseconds orderBudget {4000};
    std::chrono::milliseconds uploadBudget {4000};
};

std::vector<RequestKind> requestKinds(const LoadSettings &settings);

/** The load of the day of a site. */
std::vector<RequestKind> requestKinds(const platform::SiteDay &day);

} // namespace samphireswitch::soak
