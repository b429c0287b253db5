#include "telemetry/linewriter.h"

#include <utility>

namespace samphireswitch::telemetry {

LineWriter::LineWriter(std::ostream &stream, std::size_t capacity)
    : m_stream(stream)
    , m_capacity(capacity)
{
    m_hasThread = bool(m_thread.start("log", [this]() { run(); }));
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void LineWriter::push(std::string line)
{
    if (!m_hasThread) {
        const std::lock_guard lock(m_mutex);
        m_stream << line << std::endl;
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (m_lines.size() >= m_capacity) {
            ++m_dropped;
            return;
        }
        m_lines.push_back(std::move(line));
    }
    m_changed.notify_one();
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void LineWriter::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this]() { return m_stopping || !m_lines.empty(); });
        if (m_lines.empty()) {
            return;
        }
        const std::deque<std::string> lines = std::exchange(m_lines, {});
        lock.unlock();
        for (const std::string &line : lines) {
            m_stream << line << '\n';
        }
        m_stream.flush();
        lock.lock();
    }
}

} // namespace samphireswitch::telemetry
