#pragma once

#include "loop.h"

#include <fstream>
#include <string>

namespace review {

/** Writes `record.txt`: one line for each thing that was sent, answered or run, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_stream(path)
        , m_startedAt(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt);
        m_stream << elapsed.count() << " ms  " << text << '\n' << std::flush;
    }

private:
    std::ofstream m_stream;
    TimePoint m_startedAt;
};

} // namespace review
