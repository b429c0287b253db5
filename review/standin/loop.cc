#include "loop.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace review {

namespace {

// Upper limit of one wait, so that runUntil() evaluates its condition regularly.
constexpr Milliseconds s_longestWait {10};

} // namespace

void Loop::watch(int descriptor, Handler handler)
{
    m_descriptors[descriptor] = std::move(handler);
}

void Loop::unwatch(int descriptor)
{
    m_descriptors.erase(descriptor);
}

void Loop::after(Milliseconds delay, Handler handler)
{
    m_timers.emplace(Clock::now() + delay, std::move(handler));
}

void Loop::every(Milliseconds interval, const Handler &handler)
{
    handler();
    after(interval, [this, interval, handler] { every(interval, handler); });
}

bool Loop::runUntil(const std::function<bool()> &done, Milliseconds limit)
{
    const TimePoint deadline = Clock::now() + limit;
    while (!done()) {
        if (Clock::now() >= deadline) {
            return false;
        }
        step(deadline);
    }
    return true;
}

void Loop::runFor(Milliseconds duration)
{
    runUntil([] { return false; }, duration);
}

void Loop::step(TimePoint deadline)
{
    TimePoint until = std::min(deadline, Clock::now() + s_longestWait);
    if (!m_timers.empty()) {
        until = std::min(until, m_timers.begin()->first);
    }
    std::vector<pollfd> sources;
    sources.reserve(m_descriptors.size());
    for (const auto &[descriptor, handler] : m_descriptors) {
        sources.push_back({descriptor, POLLIN, 0});
    }
    const auto wait = std::max(Clock::duration::zero(), until - Clock::now());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    timespec limit {};
    limit.tv_sec = seconds.count();
    limit.tv_nsec = std::chrono::nanoseconds(wait - seconds).count();
    ppoll(sources.data(), sources.size(), &limit, nullptr);
    for (const pollfd &source : sources) {
        const auto found = m_descriptors.find(source.fd);
        if (source.revents != 0 && found != m_descriptors.end()) {
            const Handler handler = found->second;
            handler();
        }
    }
    while (!m_timers.empty() && m_timers.begin()->first <= Clock::now()) {
        const Handler handler = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        handler();
    }
}

} // namespace review
