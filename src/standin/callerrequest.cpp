#include "standin/callerrequest.h"

#include <algorithm>

namespace samphireswitch::standin {

namespace {

constexpr std::size_t s_uploadChunkBytes = 16384;

} // namespace

const char *requestOutcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::Reset:
        return "reset";
    case RequestOutcome::Closed:
        return "closed";
    case RequestOutcome::TimedOut:
        return "timed-out";
    case RequestOutcome::Damaged:
        return "damaged";
    }
    return "unknown";
}

CallerRequest::CallerRequest(RequestParameters parameters)
    : m_parameters(std::move(parameters))
    , m_upload(m_parameters.id, ContentKind::Upload)
    , m_answer(m_parameters.id, ContentKind::Answer)
    , m_started(Clock::now())
{
}

const RequestParameters &CallerRequest::parameters() const
{
    return m_parameters;
}

TimePoint CallerRequest::started() const
{
    return m_started;
}

std::optional<RequestOutcome> CallerRequest::outcome() const
{
    return m_outcome;
}

std::chrono::microseconds CallerRequest::latency() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(m_finished - m_started);
}

void CallerRequest::checkTimeout(TimePoint now)
{
    if (m_outcome || now - m_started < m_parameters.timeout) {
        return;
    }
    abort();
    finish(RequestOutcome::TimedOut);
}

void CallerRequest::handleConnected()
{
    const double work = std::chrono::duration<double, std::milli>(m_parameters.work).count();
    m_unsent = "REQUEST " + m_parameters.id + " " + std::to_string(work) + " " + std::to_string(m_parameters.uploadSize)
        + " " + std::to_string(m_parameters.answerSize) + "\n";
    handleWritable();
}

void CallerRequest::handleWritable()
{
    for (;;) {
        if (m_unsent.empty()) {
            const std::size_t size = std::min(s_uploadChunkBytes, m_parameters.uploadSize - m_uploadOffset);
            m_unsent = m_upload.bytes(m_uploadOffset, size);
            m_uploadOffset += size;
        }
        if (m_unsent.empty()) {
            return;
        }
        const std::size_t written = write(m_unsent);
        m_unsent.erase(0, written);
        if (written == 0) {
            return;
        }
    }
}

void CallerRequest::handleReceived(std::string_view bytes)
{
    m_unchecked += bytes;
    if (!m_headerReceived) {
        checkHeader();
    }
    if (m_headerReceived) {
        checkAnswer();
    }
}

void CallerRequest::checkHeader()
{
    const std::string expected = "ANSWER " + m_parameters.id + " " + std::to_string(m_parameters.answerSize) + "\n";
    const std::string_view received = std::string_view(m_unchecked).substr(0, expected.size());
    if (!expected.starts_with(received)) {
        m_damaged = true;
    }
    if (received.size() < expected.size()) {
        return;
    }
    m_headerReceived = true;
    m_unchecked.erase(0, expected.size());
}

void CallerRequest::checkAnswer()
{
    if (!m_answer.matches(m_answerOffset, m_unchecked)) {
        m_damaged = true;
    }
    m_answerOffset += m_unchecked.size();
    m_unchecked.clear();
}

void CallerRequest::handleEnd(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::Refused:
        finish(RequestOutcome::Refused);
        return;
    case ConnectionEnd::Reset:
        finish(m_damaged ? RequestOutcome::Damaged : RequestOutcome::Reset);
        return;
    case ConnectionEnd::Closed:
        break;
    }
    const bool complete = m_headerReceived && !m_damaged && m_answerOffset == m_parameters.answerSize;
    const bool empty = !m_headerReceived && m_unchecked.empty();
    if (complete) {
        finish(RequestOutcome::Answered);
        return;
    }
    finish(empty ? RequestOutcome::Closed : RequestOutcome::Damaged);
}

void CallerRequest::finish(RequestOutcome outcome)
{
    m_outcome = outcome;
    m_finished = Clock::now();
}

} // namespace samphireswitch::standin
