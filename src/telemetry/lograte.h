#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace samphireswitch::telemetry {

struct LogRateSettings
{
    /** Lines a second of one kind of event in the long run. A person can still read a minute of them. */
    double linesPerSecond = 40;
    /** Lines of one kind at once: the flows of a short crowd. */
    double burst = 200;
};

/** Bounds the number of log lines of each kind of event. Safe from every thread. */
class LogRate
{
public:
    explicit LogRate(const LogRateSettings &settings = {});

    /**
     * Whether a line of this kind may be written now. If so, @p suppressed becomes the number of lines of the kind that
     * were not written since the last one that was.
     */
    bool tryAcquire(std::string_view event, TimePoint now, std::uint64_t &suppressed);

    /** Lines of all kinds that were not written. */
    std::uint64_t suppressed() const;

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint last;
        std::uint64_t suppressed = 0;
    };

    LogRateSettings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::uint64_t m_suppressed = 0;
};

} // namespace samphireswitch::telemetry
