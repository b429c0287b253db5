#include "bench/experimentworkload.h"

#include <random>

namespace samphireswitch::bench {

std::vector<ServiceShape> currentServices()
{
    using namespace std::chrono_literals;
    return {{"tally", 7, 3, 2000, 500us, 3ms},
            {"leaf inspection", 4, 3, 2000, 500us, 3ms},
            {"orders desk", 7, 5, 2000, 1500us, 3ms},
            {"scan bench", 3, 5, 2000, 1500us, 3ms}};
}

double ServiceTimes::overallMean() const
{
    return std::chrono::duration<double>(mean).count() * (1 - longShare + longShare * longFactor);
}

std::vector<Request>
generateRequests(const std::vector<Phase> &phases, const ServiceTimes &times, bool feeds, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> unit(1);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<Request> requests;
    TimePoint phaseStart = s_start;
    for (const Phase &phase : phases) {
        const TimePoint end = phaseStart + phase.length;
        TimePoint arrival = phaseStart;
        while (phase.requestsPerSecond > 0) {
            const std::chrono::duration<double> gap(unit(random) / phase.requestsPerSecond);
            arrival += std::chrono::duration_cast<Clock::duration>(gap);
            if (arrival >= end) {
                break;
            }
            const bool isLong = share(random) < times.longShare;
            const double factor = unit(random) * (isLong ? times.longFactor : 1);
            const auto service = std::chrono::duration_cast<std::chrono::nanoseconds>(times.mean * factor);
            requests.push_back({arrival, service, isLong, feeds});
        }
        phaseStart = end;
    }
    return requests;
}

} // namespace samphireswitch::bench
