#include "base/latencyhistogram.h"

#include <algorithm>
#include <sstream>

namespace samphireswitch {

namespace {

// Upper bounds in seconds. Today's latency targets lie between 0.12 and 0.8 s, and no deadline is longer than 10 s.
constexpr std::array s_bounds {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0};

std::string boundText(double bound)
{
    std::ostringstream text;
    text << bound;
    return text.str();
}

} // namespace

void LatencyHistogram::record(std::chrono::nanoseconds duration)
{
    static_assert(s_bounds.size() == s_boundCount);
    const std::chrono::duration<double> seconds = duration;
    const auto bound = std::ranges::lower_bound(s_bounds, seconds.count());
    if (bound != s_bounds.end()) {
        ++m_counts[static_cast<std::size_t>(bound - s_bounds.begin())];
    }
    m_sum += seconds;
    ++m_count;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_count;
}

std::vector<std::pair<std::string, double>> LatencyHistogram::series(const std::string &name) const
{
    std::vector<std::pair<std::string, double>> values;
    double cumulative = 0;
    for (std::size_t index = 0; index < s_boundCount; ++index) {
        cumulative += static_cast<double>(m_counts[index]);
        values.emplace_back(name + "_seconds_bucket{le=\"" + boundText(s_bounds[index]) + "\"}", cumulative);
    }
    values.emplace_back(name + "_seconds_bucket{le=\"+Inf\"}", static_cast<double>(m_count));
    values.emplace_back(name + "_seconds_sum", m_sum.count());
    values.emplace_back(name + "_seconds_count", static_cast<double>(m_count));
    return values;
}

} // namespace samphireswitch
