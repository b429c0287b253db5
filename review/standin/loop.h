#pragma once

#include <chrono>
#include <functional>
#include <map>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** Event loop of one thread: file descriptors and timers. */
class Loop
{
public:
    using Handler = std::function<void()>;

    /** Calls @p handler while @p descriptor can be read or has failed. */
    void watch(int descriptor, Handler handler);
    void unwatch(int descriptor);

    /** Calls @p handler once after @p delay. */
    void after(Milliseconds delay, Handler handler);

    /** Calls @p handler now and then after each @p interval until the loop ends. */
    void every(Milliseconds interval, const Handler &handler);

    /** Processes events until @p done returns true or @p limit has passed. Returns the last result of @p done. */
    bool runUntil(const std::function<bool()> &done, Milliseconds limit);

    /** Processes events for @p duration. */
    void runFor(Milliseconds duration);

private:
    void step(TimePoint deadline);

    std::map<int, Handler> m_descriptors;
    std::multimap<TimePoint, Handler> m_timers;
};

} // namespace review
