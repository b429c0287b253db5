#include "agent/flowrelay.h"

#include "flow/packetview.h"

#include <algorithm>
#include <string>

namespace samphireswitch::agent {

namespace {

using namespace std::chrono_literals;

/**
 * The upstream runs on the same machine, so that an attempt to connect that takes longer than this is not going to
 * succeed.
 */
constexpr auto s_connectTimeout = 3s;
constexpr std::uint8_t s_maximumConnectAttempts = 3;
constexpr auto s_firstRetryDelay = 10ms;

/**
 * How long a flow that is closed on both sides still answers retransmitted packets. Covers several retransmission
 * timeouts.
 */
constexpr auto s_timeWait = 1s;

/** How long a flow may be idle after the upstream has closed its side before the caller is reset. */
constexpr auto s_halfCloseTimeout = 60s;

} // namespace

FlowRelay::FlowRelay(const flow::FlowKey &key, std::uint32_t sequenceOffset, FlowRelayContext &context)
    : m_key(key)
    , m_translator(sequenceOffset)
    , m_context(context)
{
}

FlowRelay::~FlowRelay() = default;

const flow::FlowKey &FlowRelay::key() const
{
    return m_key;
}

void FlowRelay::accept(TcpStack &stack, std::span<const std::byte> packet)
{
    m_caller = stack.accept(packet, m_key, *this);
    if (!m_caller) {
        finish("first packet not acceptable");
    }
}

void FlowRelay::deliver(TcpStack &stack, std::span<const std::byte> packet)
{
    if (m_finished || !m_caller || !m_caller->exists()) {
        return;
    }
    stack.input(packet, m_key, m_translator);
    scheduleAdvance();
}

void FlowRelay::openUpstream(TimePoint now)
{
    if (m_finished || m_upstream) {
        return;
    }
    m_upstreamOpened = true;
    m_context.retries.countRequest(now);
    const Endpoint endpoint {m_context.upstreamAddress, m_key.destination.port};
    m_upstream = std::make_shared<UpstreamConnection>(m_context.io, endpoint, [this] { scheduleAdvance(); });
    m_connectStart = now;
    ++m_connectAttempts;
    m_upstream->connect();
    m_context.watch(*this);
}

bool FlowRelay::translateOutgoing(std::span<std::byte> packet)
{
    const Result<flow::PacketView> view = flow::PacketView::parse(packet);
    if (!view) {
        return false;
    }
    // Drop resets before the handshake is complete: another agent may own the flow, and the reset could end the
    // caller's connection to that agent.
    if (view->isRst() && !m_established) {
        return false;
    }
    if (view->isSyn() && !m_synAckSent) {
        m_synAckSent = true;
        m_context.reports.emplace_back(admission::HandshakeOffered {m_key, view->sequenceNumber()});
    }
    m_translator.translateOutgoing(packet);
    return true;
}

void FlowRelay::advance(TimePoint now)
{
    m_advanceScheduled = false;
    if (m_finished) {
        return;
    }
    if (m_callerConnectionEnded && m_callerEnd != ConnectionEnd::Closed) {
        abandonUpstream();
        finish(m_callerEnd == ConnectionEnd::Reset ? "caller reset" : "caller timed out");
        return;
    }
    if (m_upstream && m_upstream->state() == UpstreamConnection::State::Failed) {
        handleConnectFailure(now);
    }
    if (!m_finished && m_upstream && m_upstream->state() == UpstreamConnection::State::Connected) {
        if (!m_connectedReported) {
            m_connectedReported = true;
            m_context.events.record("upstream-connected", m_key);
        }
        forwardToUpstream();
        forwardToCaller();
        closeFinishedSides();
    }
    if (!m_finished) {
        endIfComplete();
    }
}

void FlowRelay::expire(TimePoint now)
{
    if (m_finished) {
        return;
    }
    if (m_active || m_lastActivity == TimePoint()) {
        m_active = false;
        m_lastActivity = now;
    }
    const auto idle = now - m_lastActivity;
    const bool connecting = m_upstream && m_upstream->state() == UpstreamConnection::State::Connecting;
    if (connecting && now - m_connectStart > s_connectTimeout) {
        m_connectAttempts = s_maximumConnectAttempts;
        m_upstream->reset();
        scheduleAdvance();
        return;
    }
    if (idle > s_timeWait) {
        endTimeWait();
    }
    if (!m_finished && idle > s_halfCloseTimeout && m_finSentToCaller) {
        resetCaller("idle after the upstream closed");
    }
}

bool FlowRelay::isWaiting() const
{
    const bool connecting = m_upstream && m_upstream->state() != UpstreamConnection::State::Connected;
    return !m_finished && (connecting || m_finSentToCaller);
}

void FlowRelay::cede()
{
    m_caller.reset();
    m_upstream.reset();
    m_finished = true;
}

bool FlowRelay::endTimeWait()
{
    if (m_finished || !m_caller || !m_caller->isInTimeWait()) {
        return false;
    }
    m_caller->discard();
    m_callerConnectionEnded = true;
    m_callerEnd = ConnectionEnd::Closed;
    endIfComplete();
    return m_finished;
}

bool FlowRelay::isLingering() const
{
    return m_endReported && !m_finished;
}

bool FlowRelay::isFinished() const
{
    return m_finished;
}

void FlowRelay::connectionEstablished()
{
    m_established = true;
    m_active = true;
    m_context.events.record("handshake-completed", m_key);
    m_context.reports.emplace_back(admission::HandshakeCompleted {m_key});
}

void FlowRelay::dataReceived(std::span<const std::byte> bytes)
{
    m_active = true;
    if (m_upstreamBroken) {
        m_transferred += bytes.size();
    } else {
        const bool connected = m_upstream && m_upstream->state() == UpstreamConnection::State::Connected;
        if (connected && m_toUpstream.empty()) {
            bytes = bytes.subspan(writeToUpstream(bytes));
        }
        m_toUpstream.insert(m_toUpstream.end(), bytes.begin(), bytes.end());
    }
    scheduleAdvance();
}

void FlowRelay::finReceived()
{
    m_active = true;
    m_callerFinished = true;
    scheduleAdvance();
}

void FlowRelay::dataAcknowledged()
{
    m_active = true;
    scheduleAdvance();
}

void FlowRelay::connectionEnded(ConnectionEnd end)
{
    m_callerConnectionEnded = true;
    m_callerEnd = end;
    scheduleAdvance();
}

void FlowRelay::scheduleAdvance()
{
    if (m_advanceScheduled) {
        return;
    }
    m_advanceScheduled = true;
    m_context.scheduleAdvance(*this);
}

void FlowRelay::handleConnectFailure(TimePoint now)
{
    if (m_connectAttempts < s_maximumConnectAttempts && m_context.retries.tryConsumeRetry(now)) {
        const auto delay = s_firstRetryDelay * (1U << m_connectAttempts);
        ++m_connectAttempts;
        m_connectStart = now;
        m_upstream->connectAfter(std::chrono::duration_cast<std::chrono::milliseconds>(delay));
        return;
    }
    m_answerFinished = true;
    m_context.reports.emplace_back(admission::UpstreamFinished {m_key, admission::UpstreamOutcome::Refused});
    resetCaller("upstream refused the connection");
}

void FlowRelay::forwardToUpstream()
{
    if (!m_toUpstream.empty()) {
        const auto pending = std::span<const std::byte>(m_toUpstream).subspan(m_toUpstreamOffset);
        m_toUpstreamOffset += writeToUpstream(pending);
        if (m_toUpstreamOffset >= m_toUpstream.size()) {
            // Free the memory instead of keeping the capacity, because thousands of feeds may be idle.
            m_toUpstream = {};
            m_toUpstreamOffset = 0;
        }
    }
    if (m_callerFinished && m_toUpstream.empty() && !m_finSentToUpstream && !m_upstreamBroken) {
        m_finSentToUpstream = true;
        m_upstream->finishSending();
    }
    consumeTransferred();
}

std::size_t FlowRelay::writeToUpstream(std::span<const std::byte> bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const Transfer transfer = m_upstream->write(bytes.subspan(written));
        if (transfer.status == TransferStatus::Blocked) {
            break;
        }
        if (transfer.status != TransferStatus::Done) {
            m_upstreamBroken = true;
            written = bytes.size();
            break;
        }
        written += transfer.size;
    }
    m_transferred += written;
    return written;
}

void FlowRelay::consumeTransferred()
{
    if (m_transferred == 0) {
        return;
    }
    m_caller->consume(m_transferred);
    m_transferred = 0;
}

void FlowRelay::forwardToCaller()
{
    if (!m_toCaller.empty() && m_caller->send(m_toCaller)) {
        m_toCaller = {};
    }
    while (!m_answerFinished && m_toCaller.empty()) {
        const std::size_t room = std::min(m_caller->sendCapacity(), m_context.buffer.size());
        if (room == 0 || !receiveAnswer(room)) {
            break;
        }
    }
    m_caller->push();
}

bool FlowRelay::receiveAnswer(std::size_t room)
{
    const Transfer transfer = m_upstream->read(m_context.buffer.first(room));
    switch (transfer.status) {
    case TransferStatus::Done:
        sendToCaller(m_context.buffer.first(transfer.size));
        return true;
    case TransferStatus::Blocked:
        return false;
    case TransferStatus::End:
        finishAnswer(false);
        return false;
    case TransferStatus::Broken:
        finishAnswer(true);
        return false;
    }
    return false;
}

void FlowRelay::sendToCaller(std::span<const std::byte> bytes)
{
    m_active = true;
    if (!m_answerStarted) {
        m_answerStarted = true;
        m_context.events.record("answer-started", m_key);
        m_context.reports.emplace_back(admission::AnswerStarted {m_key});
    }
    if (!m_caller->send(bytes)) {
        m_toCaller.assign(bytes.begin(), bytes.end());
    }
}

void FlowRelay::finishAnswer(bool broken)
{
    m_answerFinished = true;
    m_upstreamBroken = m_upstreamBroken || broken;
    const auto outcome = m_answerStarted ? admission::UpstreamOutcome::Answered : admission::UpstreamOutcome::NoAnswer;
    m_context.reports.emplace_back(admission::UpstreamFinished {m_key, outcome});
}

void FlowRelay::closeFinishedSides()
{
    if (!m_answerFinished || !m_toCaller.empty()) {
        return;
    }
    if (!m_upstreamBroken) {
        if (!m_finSentToCaller) {
            m_finSentToCaller = true;
            m_caller->finish();
            m_context.watch(*this);
        }
        return;
    }
    // A reset discards data that the caller has not acknowledged, so wait until the end of the answer has arrived.
    if (m_caller->exists() && !m_caller->isInTimeWait() && !m_caller->hasUnacknowledgedData()) {
        resetCaller("upstream reset");
    }
}

void FlowRelay::endIfComplete()
{
    // The upstream may still read the rest of a request after it has answered and closed its side.
    if (!m_toUpstream.empty() && !m_upstreamBroken) {
        return;
    }
    if (m_callerConnectionEnded) {
        abandonUpstream();
        finish("closed");
    } else if (m_caller->isInTimeWait()) {
        // Report the end now, so that a flow in TIME-WAIT does not count as one of the host's connections.
        m_upstream.reset();
        reportEnd("closed");
    }
}

void FlowRelay::abandonUpstream()
{
    if (!m_upstreamOpened || m_answerFinished) {
        return;
    }
    m_answerFinished = true;
    m_upstream->reset();
    m_context.reports.emplace_back(admission::UpstreamFinished {m_key, admission::UpstreamOutcome::CallerGone});
}

void FlowRelay::resetCaller(std::string_view reason)
{
    m_caller->reset();
    m_context.events.record("flow-reset", m_key, reason);
    finish(reason);
}

void FlowRelay::reportEnd(std::string_view reason)
{
    if (m_endReported) {
        return;
    }
    m_endReported = true;
    m_context.events.record("flow-ended", m_key, reason);
    m_context.reports.emplace_back(admission::FlowEnded {m_key});
}

void FlowRelay::finish(std::string_view reason)
{
    m_finished = true;
    m_caller.reset();
    m_upstream.reset();
    reportEnd(reason);
    scheduleAdvance();
}

} // namespace samphireswitch::agent
