#pragma once

#include "base/thread.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <ostream>
#include <string>

namespace samphireswitch::telemetry {

/**
 * Writes lines to a stream in a thread of its own. The queue is bounded: while the stream's reader is too slow, lines
 * are dropped and counted, so that nobody who logs ever waits. Safe from every thread.
 */
class LineWriter
{
public:
    /** @p stream must outlive the writer. */
    LineWriter(std::ostream &stream, std::size_t capacity);

    /** Writes what is queued and ends the thread; waits for the stream's reader if it has stopped reading. */
    ~LineWriter();

    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /** Queues @p line, to which the line end is added. */
    void push(std::string line);

    std::uint64_t dropped() const;

private:
    void run();

    std::ostream &m_stream;
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_lines;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    /** Whether the thread could be started. Otherwise push() writes, and waits for the stream's reader. */
    bool m_hasThread = false;
    Thread m_thread;
};

} // namespace samphireswitch::telemetry
