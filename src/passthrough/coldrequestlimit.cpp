#include "passthrough/coldrequestlimit.h"

#include <algorithm>

namespace samphireswitch::passthrough {

namespace {

constexpr std::chrono::seconds s_window {1};

} // namespace

void ColdRequestLimit::setTerms(const UpstreamTerms &terms, TimePoint now)
{
    if (m_terms.isEvacuated && !terms.isEvacuated) {
        m_evacuationEnded = now;
    }
    m_terms = terms;
}

void ColdRequestLimit::runBegan(TimePoint now)
{
    m_runBegan = now;
}

void ColdRequestLimit::reported(std::chrono::milliseconds remaining, TimePoint now)
{
    m_reportedUntil = now + remaining;
    m_evacuationEnded.reset();
}

void ColdRequestLimit::delivered(TimePoint now)
{
    if (!isLimiting(now)) {
        m_delivered.clear();
        return;
    }
    while (!m_delivered.empty() && now - m_delivered.front() >= window()) {
        m_delivered.pop_front();
    }
    m_delivered.push_back(now);
}

bool ColdRequestLimit::isLimiting(TimePoint now) const
{
    return m_terms.coldRequestsPerSecond > 0 && now < coldUntil();
}

bool ColdRequestLimit::allows(TimePoint now) const
{
    return timeUntilAllowed(0, now).count() == 0;
}

std::chrono::nanoseconds ColdRequestLimit::timeUntilAllowed(std::size_t ahead, TimePoint now) const
{
    if (!isLimiting(now)) {
        return {};
    }
    const auto isRecent = [this, now](TimePoint time) { return now - time < window(); };
    const auto firstRecent = std::ranges::find_if(m_delivered, isRecent);
    const auto recent = static_cast<std::size_t>(m_delivered.end() - firstRecent);
    // The packet after perWindow() others waits for one window from the first of them.
    const std::size_t place = recent + ahead;
    if (place < perWindow()) {
        return {};
    }
    const std::size_t predecessor = place - perWindow();
    const TimePoint handedOver = predecessor < recent ? firstRecent[static_cast<std::ptrdiff_t>(predecessor)]
                                                      : now + timeUntilAllowed(predecessor - recent, now);
    return std::min<std::chrono::nanoseconds>(handedOver + window() - now, coldUntil() - now);
}

TimePoint ColdRequestLimit::coldUntil() const
{
    TimePoint end = m_reportedUntil;
    for (const auto &began : {m_runBegan, m_evacuationEnded}) {
        end = began ? std::max(end, *began + m_terms.slowStart) : end;
    }
    return end;
}

std::size_t ColdRequestLimit::perWindow() const
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(m_terms.coldRequestsPerSecond));
}

std::chrono::nanoseconds ColdRequestLimit::window() const
{
    if (m_terms.coldRequestsPerSecond >= 1) {
        return s_window;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(s_window)
                                                                / m_terms.coldRequestsPerSecond);
}

} // namespace samphireswitch::passthrough
