#pragma once

#include "base/resultcode.h"
#include "trace/outcomecheck.h"

#include <istream>
#include <string>
#include <vector>

namespace samphireswitch::trace {

struct TraceCounts
{
    std::uint64_t traces = 0;
    std::uint64_t events = 0;
    std::uint64_t accepted = 0;
    std::uint64_t passed = 0;
    std::uint64_t parked = 0;
    std::uint64_t handedOver = 0;
    std::uint64_t refused = 0;
    std::uint64_t ceded = 0;
    std::uint64_t opened = 0;
    std::uint64_t resetUnowned = 0;
    std::uint64_t drained = 0;
};

/**
 * Gives the events of recorded traces to a new FlowAdmission each, compares the actions with the recorded ones, and
 * checks the stated outcomes over all traces, which are of the agents of one service.
 */
class TraceReplay
{
public:
    /**
     * Replays a trace. @p file is its name in messages. Fails with ResultCode::TraceMalformed, file and line at the
     * first line that cannot be read. A last line without line end is left out: the agent was killed while writing it.
     */
    Result<void> add(const std::string &file, std::istream &input);

    /** As above for a file. Fails also with ResultCode::FileNotReadable. */
    Result<void> addFile(const std::string &path);

    /** Ends the replay: all violations, in the order of the traces, then those between traces. */
    std::vector<Violation> finish();

    /** Counts of the recorded events and actions. */
    const TraceCounts &counts() const;

private:
    void count(const admission::Actions &actions);
    void compare(const admission::Actions &recorded,
                 const admission::Actions &replayed,
                 const std::string &file,
                 std::size_t line);

    TraceCounts m_counts;
    OutcomeCheck m_outcomes;
    std::vector<Violation> m_differences;
};

} // namespace samphireswitch::trace
