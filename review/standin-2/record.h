#pragma once

#include "base/time.h"

#include <fstream>
#include <string>

namespace samphireswitch::review {

/** Writes what was sent, answered and run, a line each with the time since the start in milliseconds. */
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &text);

private:
    std::ofstream m_stream;
    TimePoint m_startedAt;
};

} // namespace samphireswitch::review
