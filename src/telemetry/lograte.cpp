#include "telemetry/lograte.h"

#include <algorithm>
#include <chrono>

namespace samphireswitch::telemetry {

LogRate::LogRate(const LogRateSettings &settings)
    : m_settings(settings)
{
}

bool LogRate::tryAcquire(std::string_view event, TimePoint now, std::uint64_t &suppressed)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_buckets.find(event);
    if (found == m_buckets.end()) {
        found = m_buckets.emplace(std::string(event), Bucket {m_settings.burst, now, 0}).first;
    }
    Bucket &bucket = found->second;
    const std::chrono::duration<double> elapsed = now - bucket.last;
    bucket.last = now;
    bucket.tokens = std::min(m_settings.burst, bucket.tokens + elapsed.count() * m_settings.linesPerSecond);
    if (bucket.tokens < 1.0) {
        ++bucket.suppressed;
        ++m_suppressed;
        return false;
    }
    bucket.tokens -= 1.0;
    suppressed = bucket.suppressed;
    bucket.suppressed = 0;
    return true;
}

std::uint64_t LogRate::suppressed() const
{
    const std::lock_guard lock(m_mutex);
    return m_suppressed;
}

} // namespace samphireswitch::telemetry
