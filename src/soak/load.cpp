#include "soak/load.h"

#include "soak/operator.h"

namespace samphireswitch::soak {

namespace {

using std::chrono::milliseconds;

// Longer than `contact_ms`, so that the next packet of an idle flow comes when all machines are in touch again.
constexpr milliseconds s_idlePause {5500};

Endpoint routeOf(const platform::SiteRequests &requests, const platform::SiteDay &day)
{
    if (!platform::isFirstPool(day, requests.pool)) {
        return mainRoute(ScanRoute);
    }
    return mainRoute(requests.isIdempotent ? FeedRoute : OrderRoute);
}

} // namespace

std::vector<RequestKind> requestKinds(const LoadSettings &settings)
{
    const Endpoint feeds = mainRoute(FeedRoute);
    std::vector<RequestKind> kinds {
        {"feed", feeds, 0, 600, 10, 0, settings.keptFlows, true, settings.callerPause, settings.feedBudget},
        {"order", mainRoute(OrderRoute), 900, 600, 20, settings.ordersPerSecond, 0, true, {}, settings.orderBudget},
        {"upload",
         mainRoute(ScanRoute),
         40000,
         300,
         10,
         settings.uploadsPerSecond,
         0,
         true,
         {},
         settings.uploadBudget}};
    if (settings.idleFlows > 0) {
        kinds.push_back(
            {"idle-feed", feeds, 0, 600, 10, 0, settings.idleFlows, true, s_idlePause, settings.feedBudget});
    }
    return kinds;
}

std::vector<RequestKind> requestKinds(const platform::SiteDay &day)
{
    std::vector<RequestKind> kinds;
    for (const platform::SiteRequests &requests : day.requests) {
        RequestKind kind;
        kind.name = requests.name;
        kind.route = routeOf(requests, day);
        kind.bodySize = requests.bodySize;
        kind.answerSize = requests.answerSize;
        kind.workMilliseconds = static_cast<std::uint32_t>(requests.work.count());
        kind.timeBudget = requests.budget;
        if (requests.keepsFlows && requests.perSecond > 0) {
            kind.keptFlows = requests.flows;
            kind.pause = milliseconds(static_cast<std::int64_t>(1000 * requests.flows / requests.perSecond));
        } else {
            kind.flowsPerSecond = requests.perSecond;
        }
        kinds.push_back(kind);
    }
    return kinds;
}

} // namespace samphireswitch::soak
