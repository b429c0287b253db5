#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphireswitch::standin {

/** Wall-clock time of journal lines. */
using JournalTime = std::chrono::microseconds;

struct LatencyPercentiles
{
    std::size_t count = 0;
    std::chrono::microseconds median {0};
    std::chrono::microseconds high {0}; ///< 99th percentile
};

/** Service quality of a run, computed from the journals of callers and upstreams. */
class RunReport
{
public:
    RunReport(const std::vector<boost::json::object> &callerLines,
              const std::vector<boost::json::object> &upstreamLines);

    /** Latency of the answered requests of the caller @p caller that started from @p from to @p to. */
    LatencyPercentiles latency(const std::string &caller, bool stragglers, JournalTime from, JournalTime to) const;

    /** Maximum over mean of the time that slots were busy from @p from to @p to; nothing if no slot was. */
    std::optional<double> slotImbalance(const std::set<std::string> &hosts, JournalTime from, JournalTime to) const;

    /** Maximum over mean of the feeds held at @p time; nothing if there was none. */
    std::optional<double> feedImbalance(const std::set<std::string> &hosts, JournalTime time) const;

private:
    struct Change
    {
        JournalTime time {0};
        int difference = 0;
    };

    struct Request
    {
        std::string caller;
        bool straggler = false;
        JournalTime started {0};
        std::chrono::microseconds latency {0};
    };

    std::vector<Request> m_answered;
    std::map<std::string, std::vector<Change>> m_slotChanges;
    std::map<std::string, std::vector<Change>> m_feedChanges;
};

} // namespace samphireswitch::standin
