#include "passthrough/expectedwait.h"

#include <algorithm>
#include <limits>
#include <ratio>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

// Service time that is assumed until the first answer.
constexpr std::chrono::milliseconds s_assumedSlotTime {50};
// Number of answers over which the estimate extends.
constexpr int s_window = 64;
// Number of answers before which no request is refused by the estimate.
constexpr std::uint64_t s_minimumAnswers = 16;
// Number of answers before which agents do not compare themselves by the estimate. A wrong one does little harm there.
constexpr std::uint64_t s_minimumComparedAnswers = 4;
// Load at which all slots are in use.
constexpr std::int64_t s_loadScale = 1000;
// Slot time at which the comparable figure is the load.
constexpr std::chrono::nanoseconds s_comparableSlotTime = 100ms;
using TenthsOfMilliseconds = std::chrono::duration<std::int64_t, std::ratio<1, 10000>>;
// A longer time is that of a request that hangs and says nothing about the next one.
constexpr std::chrono::nanoseconds s_longestSlotTime = 10s;

} // namespace

ExpectedWait::ExpectedWait()
    : m_times(s_assumedSlotTime, s_window)
{
}

void ExpectedWait::answered(std::chrono::nanoseconds slotTime)
{
    m_times.addRequest(std::clamp<std::chrono::nanoseconds>(slotTime, 0ns, s_longestSlotTime));
    ++m_answers;
}

bool ExpectedWait::isKnown() const
{
    return m_answers >= s_minimumAnswers;
}

std::chrono::nanoseconds ExpectedWait::slotTime() const
{
    return isKnown() ? m_times.clippedMean() : 0ns;
}

std::chrono::nanoseconds ExpectedWait::behind(std::size_t ahead, std::size_t slots) const
{
    return slotTime() * (static_cast<std::int64_t>(ahead) + 1) / static_cast<std::int64_t>(slots);
}

std::uint32_t ExpectedWait::comparable(std::uint32_t load, std::size_t ahead, std::size_t slots) const
{
    const std::chrono::nanoseconds time =
        m_answers >= s_minimumComparedAnswers ? m_times.clippedMean() : s_comparableSlotTime;
    const auto underWay = time * static_cast<std::int64_t>(load) / s_loadScale;
    const auto held = time * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(slots);
    const std::int64_t count = std::chrono::duration_cast<TenthsOfMilliseconds>(underWay + held).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace samphireswitch::passthrough
