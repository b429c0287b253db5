#pragma once

#include "admission/event.h"
#include "agent/flowevents.h"
#include "agent/retrybudget.h"
#include "agent/tcpconnection.h"
#include "agent/tcpstack.h"
#include "agent/upstreamconnection.h"
#include "base/time.h"
#include "flow/flowkey.h"
#include "flow/sequencetranslator.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace samphireswitch::agent {

class FlowRelay;

/** What the relays of an agent share. Everything outlives the relays. */
struct FlowRelayContext
{
    boost::asio::io_context &io;
    /** IPv4 address of the upstream, host byte order. */
    std::uint32_t upstreamAddress = 0;
    RetryBudget &retries;
    FlowEvents &events;
    /** What admission still has to be told, in order. */
    std::deque<admission::Event> &reports;
    /** Called when a relay has work for advance(); it must be done soon, but not in this call. */
    std::function<void(FlowRelay &)> wake;
    /** Called when a relay begins to wait for something that may not happen; expire() ends it. */
    std::function<void(FlowRelay &)> watch;
    /** Memory for one transfer. */
    std::span<std::byte> buffer;
};

/**
 * One flow: the caller's connection in the TCP stack, the upstream's connection, and the bytes between them. Callbacks
 * of both sides only take notes; advance() does the work, so that it never runs inside the TCP stack.
 */
class FlowRelay final : private TcpConnectionObserver
{
public:
    FlowRelay(const flow::FlowKey &key, std::uint32_t sequenceOffset, FlowRelayContext &context);
    ~FlowRelay();

    FlowRelay(const FlowRelay &) = delete;
    FlowRelay &operator=(const FlowRelay &) = delete;

    const flow::FlowKey &key() const;

    /** Takes the first packet of the flow. */
    void accept(TcpStack &stack, std::span<const std::byte> packet);

    /** Takes a later packet of the flow. */
    void deliver(TcpStack &stack, std::span<const std::byte> packet);

    /** Connects to the upstream. */
    void openUpstream(TimePoint now);

    /** Translates a packet that the TCP stack sends. Returns false if it must not leave. */
    bool translateOutgoing(std::span<std::byte> packet);

    /** Moves bytes and state between both sides as far as possible. */
    void advance(TimePoint now);

    /** Ends what has waited too long. Has to be called a few times a second while isWaiting(). */
    void expire(TimePoint now);

    /** Waits for the upstream's connection, or for the caller to close too. */
    bool isWaiting() const;

    /** Ends the flow without sending anything to the caller, and without a report to admission or a wake-up. */
    void cede();

    /**
     * Ends a flow that only waits for repeated packets of the caller. Returns whether the flow is over; it goes on in
     * every other state, and while the upstream has not taken the whole request.
     */
    bool endTimeWait();

    /**
     * Both sides are closed, and admission knows that the flow has ended. Only repeated packets of the caller, whose
     * last acknowledgement was lost, are still answered.
     */
    bool isLingering() const;

    /** The flow is over and may be destroyed. */
    bool isFinished() const;

private:
    void connectionEstablished() override;
    void dataReceived(std::span<const std::byte> bytes) override;
    void finReceived() override;
    void dataAcknowledged() override;
    void connectionEnded(ConnectionEnd end) override;

    void wake();
    void handleConnectFailure(TimePoint now);
    void moveToUpstream();
    std::size_t writeToUpstream(std::span<const std::byte> bytes);
    void failWriting();
    void consumeTransferred();
    void moveToCaller();
    bool receiveAnswer(std::size_t room);
    void sendToCaller(std::span<const std::byte> bytes);
    void finishAnswer(bool broken);
    void closeFinishedSides();
    void endIfComplete();
    void abandonUpstream();
    void resetCaller(std::string_view reason);
    void reportEnd(std::string_view reason);
    void finish(std::string_view reason);

    flow::FlowKey m_key;
    flow::SequenceTranslator m_translator;
    FlowRelayContext &m_context;
    std::unique_ptr<TcpConnection> m_caller;
    std::shared_ptr<UpstreamConnection> m_upstream;

    /** Bytes of the caller that the upstream has not taken; bounded by the receive window. */
    std::vector<std::byte> m_toUpstream;
    std::size_t m_toUpstreamOffset = 0;
    /** Bytes taken by the upstream or discarded, by which the caller's window may be opened. */
    std::size_t m_transferred = 0;
    /** Bytes of the answer that the TCP stack had no memory for; bounded by one transfer. */
    std::vector<std::byte> m_toCaller;

    TimePoint m_connectStart;
    TimePoint m_lastActivity;
    ConnectionEnd m_callerEnd = ConnectionEnd::Closed;
    std::uint8_t m_connectAttempts = 0;
    /** advance() will be called. */
    bool m_awake = false;
    bool m_synAckSent = false;
    bool m_established = false;
    bool m_active = false;
    bool m_callerFinished = false;
    bool m_callerGone = false;
    bool m_finSentToUpstream = false;
    bool m_finSentToCaller = false;
    bool m_upstreamOpened = false;
    bool m_answerStarted = false;
    /** The upstream's side of the connection has ended, and admission knows. */
    bool m_answerFinished = false;
    /** The upstream takes no more bytes, or has reset the connection. */
    bool m_upstreamBroken = false;
    bool m_connectedReported = false;
    bool m_endReported = false;
    bool m_finished = false;
};

} // namespace samphireswitch::agent
