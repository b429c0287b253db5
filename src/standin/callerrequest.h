#pragma once

#include "base/time.h"
#include "standin/callerconnection.h"
#include "standin/content.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace samphireswitch::standin {

/** What became of a request, seen from its caller. */
enum class RequestOutcome {
    Answered,
    /** Reset in answer to the SYN: the request was not run. */
    Refused,
    Reset,
    /** The other side closed without any byte of an answer. */
    Closed,
    TimedOut,
    /** The answer was incomplete, too long, or not the answer to this request. */
    Damaged,
};

/** Name of the outcome in journals and summaries. */
const char *requestOutcomeName(RequestOutcome outcome);

struct RequestParameters
{
    std::string id;
    std::chrono::microseconds work {0};
    std::size_t uploadSize = 0;
    std::size_t answerSize = 0;
    bool straggler = false;
    /** The request counts as timed out after this time. */
    std::chrono::microseconds timeout {0};
};

/** One request of the caller: one connection, one answer, whose bytes are all checked. */
class CallerRequest : public CallerConnection
{
public:
    explicit CallerRequest(RequestParameters parameters);

    const RequestParameters &parameters() const;
    TimePoint started() const;
    /** Empty while the request is going on. */
    std::optional<RequestOutcome> outcome() const;
    std::chrono::microseconds latency() const;

    /** Ends the request as timed out if its time is over at @p now. */
    void checkTimeout(TimePoint now);

protected:
    void handleConnected() override;
    void handleReceived(std::string_view bytes) override;
    void handleWritable() override;
    void handleEnd(ConnectionEnd end) override;

private:
    void finish(RequestOutcome outcome);
    void checkHeader();
    void checkAnswer();

    RequestParameters m_parameters;
    Content m_upload;
    Content m_answer;
    TimePoint m_started;
    TimePoint m_finished;
    std::optional<RequestOutcome> m_outcome;
    std::string m_unsent;
    std::size_t m_uploadOffset = 0;
    std::string m_unchecked;
    bool m_headerReceived = false;
    std::size_t m_answerOffset = 0;
    bool m_damaged = false;
};

} // namespace samphireswitch::standin
