#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::bench {

/** When every run starts. Not zero, so that ages can be subtracted. */
constexpr TimePoint s_start {std::chrono::hours(1)};

/** One service of a deployment: section 1.2 of the design page. */
struct ServiceShape
{
    std::string name;
    std::uint32_t hosts = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /** One way, between balancers and agents. */
    std::chrono::microseconds hopDelay {0};
    /** One way, between callers and balancers. */
    std::chrono::microseconds callerDelay {0};
};

/** The four services of the current deployments. */
std::vector<ServiceShape> currentServices();

/** A request, or a feed whose service time is its lifetime. */
struct Request
{
    TimePoint arrival;
    std::chrono::nanoseconds service {0};
    bool isLong = false;
    bool isFeed = false;
};

/** A time with a constant rate of arrivals. */
struct Phase
{
    std::chrono::milliseconds length {0};
    double requestsPerSecond = 0;
};

struct ServiceTimes
{
    std::chrono::nanoseconds mean {0};
    /** Share of the requests that are stragglers, and how many times longer those are. */
    double longShare = 0;
    double longFactor = 1;

    /** Mean over short and long requests, in seconds. */
    double overallMean() const;
};

/** Poisson arrivals with exponential service times. Equal seeds give equal requests. */
std::vector<Request>
generateRequests(const std::vector<Phase> &phases, const ServiceTimes &times, bool feeds, std::uint64_t seed);

} // namespace samphireswitch::bench
