#include "passthrough/expectedwait.h"

#include <algorithm>

namespace samphireswitch::passthrough {

namespace {

using namespace std::chrono_literals;

// Service time that is assumed until the first answer.
constexpr std::chrono::milliseconds s_assumedSlotTime {50};
// Number of answers over which the estimate extends.
constexpr int s_window = 64;
// Number of answers before which the estimate is not used.
constexpr std::uint64_t s_minimumAnswers = 16;
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
    const auto turns = static_cast<std::int64_t>(ahead) + 1;
    return slotTime() * turns / static_cast<std::int64_t>(slots);
}

} // namespace samphireswitch::passthrough
