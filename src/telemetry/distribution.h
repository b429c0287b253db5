#pragma once

#include "base/latencyhistogram.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>

namespace samphireswitch::telemetry {

/** Count, mean, maximum and 99th percentile of durations. Safe from every thread. */
class Distribution
{
public:
    struct Summary
    {
        std::uint64_t count = 0;
        std::chrono::microseconds mean {0};
        std::chrono::microseconds maximum {0};
        std::chrono::microseconds percentile99 {0};
    };

    Distribution();

    void add(std::chrono::nanoseconds duration);
    Summary summary() const;
    LatencyHistogram histogram() const;

private:
    using Accumulator =
        boost::accumulators::accumulator_set<double,
                                             boost::accumulators::stats<boost::accumulators::tag::count,
                                                                        boost::accumulators::tag::mean,
                                                                        boost::accumulators::tag::max,
                                                                        boost::accumulators::tag::p_square_quantile>>;

    mutable std::mutex m_mutex;
    Accumulator m_microseconds;
    LatencyHistogram m_histogram;
};

} // namespace samphireswitch::telemetry
