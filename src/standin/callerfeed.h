#pragma once

#include "base/time.h"
#include "standin/callerconnection.h"

#include <cstdint>
#include <string>

namespace samphireswitch::standin {

enum class FeedState {
    Opening,
    /** At least one line has arrived, and none was missing or repeated. */
    Held,
    /** Ended before its first line. */
    NotOpened,
    /** Ended after its first line, or a line was missing or repeated. */
    Broken,
};

/** Name of the state in journals and summaries. */
const char *feedStateName(FeedState state);

/** One feed of the caller, held until the end of the run. */
class CallerFeed : public CallerConnection
{
public:
    explicit CallerFeed(std::string id);

    const std::string &id() const;
    FeedState state() const;
    std::uint64_t lines() const;
    /** Longest time between two lines, also between the last line and @p now. */
    std::chrono::microseconds longestGap(TimePoint now) const;

    /** Closes the feed at the end of the run. It does not count as broken. */
    void endRun();

protected:
    void handleConnected() override;
    void handleReceived(std::string_view bytes) override;
    void handleWritable() override;
    void handleEnd(ConnectionEnd end) override;

private:
    void checkLine(const std::string &line);

    std::string m_id;
    FeedState m_state = FeedState::Opening;
    std::string m_unchecked;
    std::uint64_t m_lines = 0;
    TimePoint m_lastLine;
    std::chrono::microseconds m_longestGap {0};
};

} // namespace samphireswitch::standin
