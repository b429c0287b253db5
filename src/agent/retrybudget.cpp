#include "agent/retrybudget.h"

namespace samphireswitch::agent {

namespace {

constexpr std::uint64_t s_requestsPerRetry = 10;

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

void RetryBudget::countRequest(TimePoint now)
{
    ++currentInterval(now).requests;
}

bool RetryBudget::tryConsumeRetry(TimePoint now)
{
    Interval &current = currentInterval(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const Interval &interval : m_intervals) {
        if (interval.second <= current.second - static_cast<std::int64_t>(s_intervalCount)) {
            continue;
        }
        requests += interval.requests;
        retries += interval.retries;
    }
    if (retries * s_requestsPerRetry >= requests) {
        return false;
    }
    ++current.retries;
    return true;
}

RetryBudget::Interval &RetryBudget::currentInterval(TimePoint now)
{
    const std::int64_t second = secondOf(now);
    Interval &interval = m_intervals[static_cast<std::size_t>(second) % s_intervalCount];
    if (interval.second != second) {
        interval = {second, 0, 0};
    }
    return interval;
}

} // namespace samphireswitch::agent
