#include "trace/tracerecorder.h"

#include "telemetry/logging.h"
#include "trace/tracecodec.h"

#include <filesystem>

namespace samphireswitch::trace {

TraceRecorder::TraceRecorder(std::string path, TraceHeader header, TimePoint start, std::size_t maximumSize)
    : m_path(std::move(path))
    , m_start(start)
    , m_space(maximumSize)
    , m_file(m_path, std::ios::trunc)
{
    if (!m_file) {
        telemetry::log(telemetry::Severity::Error, "the trace file " + m_path + " cannot be written");
        return;
    }
    std::error_code ignored;
    std::filesystem::permissions(
        m_path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write, ignored);
    header.version = s_traceVersion;
    header.steadyStart = start.time_since_epoch();
    header.systemStart = std::chrono::system_clock::now().time_since_epoch();
    write(encode(header));
}

void TraceRecorder::record(const admission::Event &event, const admission::Actions &actions, TimePoint now)
{
    if (m_file.is_open()) {
        write(encode(TraceEntry {now - m_start, event, actions}));
    }
}

void TraceRecorder::write(const std::string &line)
{
    // Written at once, because the trace of an agent that is killed matters most.
    if (line.size() + 1 <= m_space && m_file << line << '\n' << std::flush) {
        m_space -= line.size() + 1;
        return;
    }
    m_file.close();
    telemetry::log(telemetry::Severity::Warning, "the recording to " + m_path + " stopped: the file is full");
}

} // namespace samphireswitch::trace
