#include "standin/callerfeed.h"

#include <algorithm>

namespace samphireswitch::standin {

const char *feedStateName(FeedState state)
{
    switch (state) {
    case FeedState::Opening:
        return "opening";
    case FeedState::Held:
        return "held";
    case FeedState::NotOpened:
        return "not-opened";
    case FeedState::Broken:
        return "broken";
    }
    return "unknown";
}

CallerFeed::CallerFeed(std::string id)
    : m_id(std::move(id))
{
}

const std::string &CallerFeed::id() const
{
    return m_id;
}

FeedState CallerFeed::state() const
{
    return m_state;
}

std::uint64_t CallerFeed::lines() const
{
    return m_lines;
}

std::chrono::microseconds CallerFeed::longestGap(TimePoint now) const
{
    if (m_state != FeedState::Held) {
        return m_longestGap;
    }
    return std::max(m_longestGap, std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastLine));
}

void CallerFeed::endRun()
{
    close();
}

void CallerFeed::handleConnected()
{
    write("FEED " + m_id + "\n");
}

void CallerFeed::handleReceived(std::string_view bytes)
{
    m_unchecked += bytes;
    for (;;) {
        const std::size_t end = m_unchecked.find('\n');
        if (end == std::string::npos) {
            return;
        }
        checkLine(m_unchecked.substr(0, end));
        m_unchecked.erase(0, end + 1);
    }
}

void CallerFeed::checkLine(const std::string &line)
{
    const TimePoint now = Clock::now();
    m_longestGap = m_lines == 0 ? m_longestGap : longestGap(now);
    m_lastLine = now;
    ++m_lines;
    const bool expected = line == "LINE " + m_id + " " + std::to_string(m_lines);
    if (!expected || m_state == FeedState::Broken) {
        m_state = FeedState::Broken;
        return;
    }
    m_state = FeedState::Held;
}

void CallerFeed::handleWritable()
{
}

void CallerFeed::handleEnd(ConnectionEnd)
{
    m_state = m_lines == 0 ? FeedState::NotOpened : FeedState::Broken;
}

} // namespace samphireswitch::standin
