#include "standin/runreport.h"

#include <algorithm>

namespace samphireswitch::standin {

namespace {

std::optional<double> maximumOverMean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    if (sum <= 0) {
        return std::nullopt;
    }
    return *std::max_element(values.begin(), values.end()) * static_cast<double>(values.size()) / sum;
}

} // namespace

RunReport::RunReport(const std::vector<boost::json::object> &callerLines,
                     const std::vector<boost::json::object> &upstreamLines)
{
    for (const boost::json::object &line : callerLines) {
        if (line.at("kind") != "request" || line.at("outcome") != "answered") {
            continue;
        }
        const std::string id(line.at("id").as_string());
        const std::chrono::microseconds latency(line.at("latency_us").as_int64());
        m_answered.push_back({id.substr(0, id.rfind('-')),
                              line.at("straggler").as_bool(),
                              JournalTime(line.at("time_us").as_int64()) - latency,
                              latency});
    }
    for (const boost::json::object &line : upstreamLines) {
        const std::string kind(line.at("kind").as_string());
        const std::string host(line.at("host").as_string());
        const JournalTime time(line.at("time_us").as_int64());
        if (kind == "begin" || kind == "end") {
            m_slotChanges[host].push_back({time, kind == "begin" ? 1 : -1});
        }
        if (kind == "feed_begin" || kind == "feed_end") {
            m_feedChanges[host].push_back({time, kind == "feed_begin" ? 1 : -1});
        }
    }
}

LatencyPercentiles
RunReport::latency(const std::string &caller, bool stragglers, JournalTime from, JournalTime to) const
{
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    std::vector<std::chrono::microseconds> latencies;
    for (const Request &request : m_answered) {
        const bool inPhase = request.started >= from && request.started < to;
        if (inPhase && request.caller == caller && request.straggler == stragglers) {
            latencies.push_back(request.latency);
        }
    }
    if (latencies.empty()) {
        return {};
    }
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
        return latencies[std::min(index, latencies.size() - 1)];
    };
    return {latencies.size(), at(median), at(high)};
}

std::optional<double>
RunReport::slotImbalance(const std::set<std::string> &hosts, JournalTime from, JournalTime to) const
{
    std::vector<double> busy;
    for (const std::string &host : hosts) {
        double sum = 0;
        const auto changes = m_slotChanges.find(host);
        if (changes != m_slotChanges.end()) {
            // A slot that becomes busy adds the time from then to the end of the window; its release takes it off
            // again.
            for (const Change &change : changes->second) {
                const JournalTime counted = to - std::clamp(change.time, from, to);
                sum += static_cast<double>(counted.count()) * change.difference;
            }
        }
        busy.push_back(sum);
    }
    return maximumOverMean(busy);
}

std::optional<double> RunReport::feedImbalance(const std::set<std::string> &hosts, JournalTime time) const
{
    std::vector<double> held;
    for (const std::string &host : hosts) {
        int count = 0;
        const auto changes = m_feedChanges.find(host);
        if (changes != m_feedChanges.end()) {
            for (const Change &change : changes->second) {
                count += change.time <= time ? change.difference : 0;
            }
        }
        held.push_back(count);
    }
    return maximumOverMean(held);
}

} // namespace samphireswitch::standin
