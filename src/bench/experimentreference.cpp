#include "bench/experimentreference.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace samphireswitch::bench {

namespace {

/** Times at which the slots of a server become free, the earliest first. */
using FreeTimes = std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>;

FreeTimes freeSlots(std::uint32_t count)
{
    return FreeTimes(std::greater<>(), std::vector<TimePoint>(count, s_start));
}

std::vector<std::uint32_t> activeHosts(const Deployment &deployment, TimePoint time)
{
    std::vector<bool> active(deployment.shape.hosts, true);
    for (const Change &change : deployment.changes) {
        const bool happened = change.at <= time;
        if (change.kind == ChangeKind::Join) {
            active[change.host] = happened;
        } else if (change.kind == ChangeKind::Drain && happened) {
            active[change.host] = false;
        }
    }
    std::vector<std::uint32_t> hosts;
    for (std::uint32_t host = 0; host < deployment.shape.hosts; ++host) {
        if (active[host]) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace

RunResult runIdeal(const std::vector<Request> &requests, std::uint32_t slots, std::chrono::nanoseconds longestWait)
{
    RunResult result;
    FreeTimes free = freeSlots(slots);
    for (const Request &request : requests) {
        const TimePoint start = std::max(request.arrival, free.top());
        const TimePoint end = start + request.service;
        if (start - request.arrival > longestWait) {
            result.outcomes.push_back({OutcomeKind::Refused, request.arrival, 0, {}});
            continue;
        }
        free.pop();
        free.push(end);
        result.outcomes.push_back({OutcomeKind::Answered, end, 0, start});
    }
    return result;
}

RunResult runIdealFeeds(const Deployment &deployment, const std::vector<Request> &requests)
{
    using End = std::pair<TimePoint, std::uint32_t>;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::vector<std::uint32_t> held(deployment.shape.hosts);
    RunResult result;
    result.usage = UsageRecorder(deployment.shape.hosts);
    for (const Request &request : requests) {
        for (; !ends.empty() && ends.top().first <= request.arrival; ends.pop()) {
            --held[ends.top().second];
        }
        const std::vector<std::uint32_t> hosts = activeHosts(deployment, request.arrival);
        const std::uint32_t host =
            *std::min_element(hosts.begin(), hosts.end(), [&held](std::uint32_t left, std::uint32_t right) {
                return held[left] < held[right];
            });
        ++held[host];
        const TimePoint end = request.arrival + request.service;
        ends.emplace(end, host);
        result.usage.addFeed(host, request.arrival, end);
        result.outcomes.push_back({OutcomeKind::Answered, end, host, request.arrival});
    }
    return result;
}

RunResult runBaseline(const Deployment &deployment, const std::vector<Request> &requests, std::uint64_t seed)
{
    RunResult result;
    const ServiceShape &shape = deployment.shape;
    std::vector<FreeTimes> free(shape.hosts, freeSlots(shape.slots));
    UsageRecorder usage(shape.hosts);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const Request &request = requests[index];
        const std::vector<std::uint32_t> hosts = activeHosts(deployment, request.arrival);
        const std::uint32_t host = hosts[mixHash(seed, index) % hosts.size()];
        const TimePoint arrived = request.arrival + 3 * shape.callerDelay + 2 * shape.hopDelay;
        if (request.isFeed) {
            usage.addFeed(host, arrived, arrived + request.service);
            result.outcomes.push_back({OutcomeKind::Answered, arrived + request.service, host, arrived});
            continue;
        }
        const TimePoint start = std::max(arrived, free[host].top());
        const TimePoint end = start + request.service;
        free[host].pop();
        free[host].push(end);
        usage.addBusy(host, start, end);
        result.outcomes.push_back({OutcomeKind::Answered, end + shape.callerDelay, host, start});
    }
    result.usage = usage;
    return result;
}

} // namespace samphireswitch::bench
