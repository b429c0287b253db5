#pragma once

#include "base/resultcode.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace samphireswitch::standin {

/** What a run may cost without breaking a guarantee, as the flows of a host that died. */
struct JournalLimits
{
    std::uint64_t lost = 0;
    std::uint64_t brokenFeeds = 0;
};

/** Requests whose identity starts so only find out whether a service answers yet; they are not checked. */
constexpr std::string_view s_probePrefix = "probe-";

/** Compares what callers saw with what upstreams executed. */
class JournalCheck
{
public:
    /** Reads the journal of a caller or an upstream. Fails with ResultCode::FileNotReadable. */
    Result<void> read(const std::string &path);

    /** The counts, and under `broken` the names of the guarantees that were broken. */
    boost::json::object report(const JournalLimits &limits) const;

private:
    struct Execution
    {
        int begun = 0;
        int ended = 0;
        int shed = 0;
    };

    void readLine(const boost::json::object &line);

    std::map<std::string, std::string> m_outcomes;
    std::map<std::string, Execution> m_executions;
    std::map<std::string, std::int64_t> m_slots;
    std::set<std::string> m_hostsOverSlots;
    std::map<std::string, std::uint64_t> m_feedStates;
    std::uint64_t m_damagedUploads = 0;
    std::uint64_t m_incompleteUploads = 0;
    std::uint64_t m_malformedRequests = 0;
};

} // namespace samphireswitch::standin
