#pragma once

#include <array>
#include <chrono>
#include <cstddef>
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
    void record(std::chrono::nanoseconds duration);

    std::uint64_t count() const;

    /** The counts of durations up to each bound, the sum in seconds and the number, named as Prometheus expects it. */
    std::vector<std::pair<std::string, double>> series(const std::string &name) const;

private:
    static constexpr std::size_t s_boundCount = 13;

    /** By the first bound that a duration does not exceed. */
    std::array<std::uint64_t, s_boundCount> m_counts {};
    std::chrono::duration<double> m_sum {0};
    std::uint64_t m_count = 0;
};

} // namespace samphireswitch
