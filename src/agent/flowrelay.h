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

/** Resources shared by all relays of an agent. Every referenced object must outlive the relays. */
struct FlowRelayContext
{
    boost::asio::io_context &io;
    /** IPv4 address of the upstream, host byte order. */
    std::uint32_t upstreamAddress = 0;
    RetryBudget &retries;
    FlowEvents &events;
    /** Queue of events for FlowAdmission, oldest first. Relays append to it; FlowServer empties it. */
    std::deque<admission::Event> &reports;
    /**
     * Called when a relay needs a call of advance(). The callee must defer that call: this function may run inside the
     * TCP stack.
     */
    std::function<void(FlowRelay &)> scheduleAdvance;
    /**
     * Called when a relay starts to wait for something that needs a timeout. From then on expire() has to be called for
     * the relay while FlowRelay::isWaiting() is true.
     */
    std::function<void(FlowRelay &)> watch;
    /** Scratch buffer for one read from an upstream; its size is the largest read. */
    std::span<std::byte> buffer;
};

/**
 * Relays bytes between the caller's connection, which the TCP stack terminates, and a connection to the upstream.
 * Callbacks of the TCP stack update the relay's state, may write received bytes to the upstream, and schedule
 * advance(). All calls to the caller's connection are made outside of those callbacks, because the TCP stack is not
 * reentrant.
 */
class FlowRelay final : private TcpConnectionObserver
{
public:
    FlowRelay(const flow::FlowKey &key, std::uint32_t sequenceOffset, FlowRelayContext &context);
    ~FlowRelay();

    FlowRelay(const FlowRelay &) = delete;
    FlowRelay &operator=(const FlowRelay &) = delete;

    const flow::FlowKey &key() const;

    /**
     * Passes the first packet of the flow to @p stack, which answers with a SYN-ACK. If the stack rejects the packet,
     * the relay is finished and reports the end of the flow.
     */
    void accept(TcpStack &stack, std::span<const std::byte> packet);

    /** Passes a later packet of the flow to @p stack. Ignored once the caller's connection has ended. */
    void deliver(TcpStack &stack, std::span<const std::byte> packet);

    /**
     * Starts to connect to the upstream. Does nothing if called before or if the flow is over. Failed attempts are
     * retried within the RetryBudget; when no retry is left, the caller is reset.
     */
    void openUpstream(TimePoint now);

    /**
     * Replaces the TCP stack's sequence numbers in an outgoing packet by those of the flow. Returns false if the packet
     * must be dropped: it cannot be parsed, or it is a reset and the handshake is not complete.
     */
    bool translateOutgoing(std::span<std::byte> packet);

    /**
     * Forwards as many bytes as both connections accept now, propagates closes and resets from each side to the other,
     * and ends the flow when it is complete.
     */
    void advance(TimePoint now);

    /**
     * Applies the timeouts for connecting to the upstream, for a flow whose sides are both closed, and for an idle flow
     * whose upstream has closed. Has to be called a few times a second while isWaiting().
     */
    void expire(TimePoint now);

    /**
     * Whether the relay waits for the connection to the upstream, or for the caller to close after the upstream has
     * closed.
     */
    bool isWaiting() const;

    /**
     * Ends the flow without sending anything to the caller, without an event for admission, and without scheduling
     * advance(). Used when another agent owns the flow or when a new flow replaces this one.
     */
    void cede();

    /**
     * Discards the caller's connection if it is in TIME-WAIT, where it only answers retransmitted packets. Returns
     * whether that ended the flow. A flow in any other state is left unchanged, and a flow whose request bytes are not
     * all written to the upstream ends only after they are.
     */
    bool endTimeWait();

    /**
     * Whether the end of the flow has been reported to admission while the caller's connection remains in TIME-WAIT.
     * The relay then only answers retransmissions of a caller that has not received the last acknowledgement.
     */
    bool isLingering() const;

    /** The flow is over, and the relay may be destroyed unless advance() is still scheduled. */
    bool isFinished() const;

private:
    void connectionEstablished() override;
    void dataReceived(std::span<const std::byte> bytes) override;
    void finReceived() override;
    void dataAcknowledged() override;
    void connectionEnded(ConnectionEnd end) override;

    void scheduleAdvance();
    void handleConnectFailure(TimePoint now);
    void forwardToUpstream();
    std::size_t writeToUpstream(std::span<const std::byte> bytes);
    void failWriting();
    void consumeTransferred();
    void forwardToCaller();
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

    /**
     * Request bytes that are not written to the upstream yet. Bounded by the receive window of the caller's connection.
     */
    std::vector<std::byte> m_toUpstream;
    std::size_t m_toUpstreamOffset = 0;
    /**
     * Number of request bytes that were written to the upstream or discarded, and by which the receive window of the
     * caller's connection has yet to be opened.
     */
    std::size_t m_transferred = 0;
    /** Answer bytes that the TCP stack could not queue for lack of memory. Bounded by the size of one read. */
    std::vector<std::byte> m_toCaller;

    TimePoint m_connectStart;
    TimePoint m_lastActivity;
    ConnectionEnd m_callerEnd = ConnectionEnd::Closed;
    std::uint8_t m_connectAttempts = 0;
    /** advance() has been scheduled and has not run yet. */
    bool m_advanceScheduled = false;
    bool m_synAckSent = false;
    bool m_established = false;
    bool m_active = false;
    bool m_callerFinished = false;
    bool m_callerConnectionEnded = false;
    bool m_finSentToUpstream = false;
    bool m_finSentToCaller = false;
    bool m_upstreamOpened = false;
    bool m_answerStarted = false;
    /** UpstreamFinished has been reported to admission; nothing more is read from the upstream. */
    bool m_answerFinished = false;
    /** A read or write on the upstream's connection has failed; further request bytes are discarded. */
    bool m_upstreamBroken = false;
    bool m_connectedReported = false;
    bool m_endReported = false;
    bool m_finished = false;
};

} // namespace samphireswitch::agent
