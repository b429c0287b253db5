#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace samphireswitch {

/**
 * Counts durations by fixed ranges, from 1 ms to 10 s, so that the counts of several processes can be added. Belongs to
 * one thread; copy it to hand it over.
 */
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(std::chrono::nanoseconds duration);

    std::uint64_t count() const;

    /** The counts of durations up to each bound, the sum in seconds and the number, named as Prometheus expects it. */
    std::vector<std::pair<std::string, double>> series(const std::string &name) const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Counts = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    Counts m_counts;
    std::chrono::duration<double> m_sum {0};
    std::uint64_t m_count = 0;
};

} // namespace samphireswitch
