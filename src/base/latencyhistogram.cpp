#include "base/latencyhistogram.h"

#include <sstream>

namespace samphireswitch {

namespace {

// Upper bounds in seconds. The latency targets of today's services lie between 0.12 and 0.8 s, their deadlines below 10
// s.
const std::vector<double> s_bounds {0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

std::string boundText(double bound)
{
    std::ostringstream text;
    text << bound;
    return text.str();
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_counts(std::make_tuple(Axis(s_bounds.begin(), s_bounds.end())),
               boost::histogram::dense_storage<std::uint64_t>())
{
}

void LatencyHistogram::record(std::chrono::nanoseconds duration)
{
    const std::chrono::duration<double> seconds = duration;
    m_counts(seconds.count());
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
    for (auto &&range : boost::histogram::indexed(m_counts)) {
        cumulative += static_cast<double>(*range);
        values.emplace_back(name + "_seconds_bucket{le=\"" + boundText(range.bin().upper()) + "\"}", cumulative);
    }
    values.emplace_back(name + "_seconds_bucket{le=\"+Inf\"}", static_cast<double>(m_count));
    values.emplace_back(name + "_seconds_sum", m_sum.count());
    values.emplace_back(name + "_seconds_count", static_cast<double>(m_count));
    return values;
}

} // namespace samphireswitch
