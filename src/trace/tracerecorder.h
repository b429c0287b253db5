#pragma once

#include "trace/traceline.h"

#include <fstream>
#include <string>

namespace samphireswitch::trace {

/** Size at which a recording stops, in bytes; bounds the space that a forgotten recording takes on the host. */
constexpr std::size_t s_maximumTraceSize = std::size_t {64} * 1024 * 1024;

/** Writes the events and actions of one FlowAdmission to a file, which it replaces. Belongs to one thread. */
class TraceRecorder
{
public:
    /**
     * Opens the file and writes @p header, completed by version and start. The file is readable by its owner only,
     * because sequence offsets can be computed from the seed. If it cannot be opened, logs this and records nothing.
     */
    TraceRecorder(std::string path, TraceHeader header, TimePoint start, std::size_t maximumSize = s_maximumTraceSize);

    void record(const admission::Event &event, const admission::Actions &actions, TimePoint now);

private:
    void write(const std::string &line);

    std::string m_path;
    TimePoint m_start;
    std::size_t m_space;
    std::ofstream m_file;
};

} // namespace samphireswitch::trace
