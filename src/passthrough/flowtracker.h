#pragma once

#include "base/latencyhistogram.h"
#include "base/time.h"
#include "flow/segment.h"
#include "passthrough/expectedwait.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace samphireswitch::passthrough {

struct TrackerSettings
{
    /** An open or lost flow without packets for this long is removed. The value exceeds the longest life of a flow. */
    std::chrono::milliseconds idleTimeout {75000};
    /** A half-open flow without packets for this long is removed. The caller gives up after 1.4 s. */
    std::chrono::milliseconds halfOpenTimeout {3000};
    /** A closed flow is kept for this long, so that late packets of both ends are still recognised. */
    std::chrono::milliseconds closedTimeout {5000};
    /** After the upstream returned a packet, its flow is recorded for this long as not owned. */
    std::chrono::milliseconds notOwnedTimeout {5000};
    /** A half-open flow counts as busy for this long after its first packet: a few round trips to the caller. */
    std::chrono::milliseconds handshakeTime {60};
    /**
     * Data of a full packet, in bytes. A caller whose latest new data filled its packet has more of the request to
     * send. 0 if packets may have any size: then every packet with data counts as the end of a request.
     */
    std::size_t fullPacketData = 0;
    /**
     * A request counts as complete if its caller has sent no new data for this long: the last packet of a request may
     * be full as well. The value exceeds the longest time between two repetitions of a lost packet.
     */
    std::chrono::milliseconds transmissionTimeout {2000};
    /** Number of flows from which on FlowTracker::isFull() is true. An upstream holds fewer flows. */
    std::size_t maximumFlows = 16384;
};

/** How a request ended that the upstream was working on. */
struct RequestOutcome
{
    flow::FlowKey callerKey;
    /** Time from the latest new data of the request to the end. */
    std::chrono::nanoseconds serviceTime {0};
    /** The part of it for which the request occupied a slot: without the wait for others inside the upstream. */
    std::chrono::nanoseconds slotTime {0};
    /** The upstream reset the flow instead of answering. */
    bool wasReset = false;
};

/** State of a flow at the upstream, as its packets have shown it. */
enum class FlowPhase : std::uint8_t {
    /** The first packet was handed to the upstream, and the handshake is not complete. */
    HalfOpen,
    /** The upstream holds the flow. */
    Open,
    /** Both ends closed the flow, or one of them reset it. */
    Closed,
    /** The upstream returned a packet of the flow, because it does not hold the flow. */
    NotOwned,
    /** The run of the upstream that held the flow has ended. */
    Lost,
};

/** State of one flow, derived from the headers of its packets. */
struct TrackedFlow
{
    FlowPhase phase = FlowPhase::HalfOpen;
    /** Sequence number of the caller's first packet (SYN). Empty if neither the SYN nor the SYN+ACK was seen. */
    std::optional<std::uint32_t> callerInitialSequence;
    /** Sequence number of the upstream's SYN+ACK. Empty until the SYN+ACK was seen. */
    std::optional<std::uint32_t> upstreamInitialSequence;
    /** Sequence number of the next byte that the caller has not sent yet. Bytes before it are retransmissions. */
    std::uint32_t callerNextSequence = 0;
    /**
     * The caller's latest acknowledgement number. Until one was seen, the sequence number that follows the upstream's
     * latest packet. Callers ignore a reset whose sequence number is far from this one.
     */
    std::uint32_t callerAcknowledged = 0;
    /** callerAcknowledged is from a packet of the caller. */
    bool callerHasAcknowledged = false;
    /** The flow is lost, and was half-open when the run of the upstream ended. */
    bool wasHalfOpen = false;
    /** The caller sent data, and the upstream has not sent data since. */
    bool awaitsAnswer = false;
    /** The caller has more of the request to send, so that the upstream does not work on it yet. */
    bool isSendingRequest = false;
    bool callerFin = false;
    bool upstreamFin = false;
    /** Time of the first packet of the flow that the agent saw. */
    TimePoint began;
    /** Time of the latest packet in either direction. */
    TimePoint lastPacket;
    /** When the caller's latest new data was handed to the upstream. Only valid while awaitsAnswer is set. */
    TimePoint awaitsAnswerSince;
    /** Number of other complete requests that the upstream had at this time. */
    std::uint32_t requestsBefore = 0;

    /**
     * Whether the caller's @p acknowledgementNumber acknowledges the SYN+ACK of this upstream. If two upstreams
     * answered the same first packet, only the one that the caller acknowledges holds the flow. False until the SYN+ACK
     * was seen.
     */
    bool isAcknowledgedBy(std::uint32_t acknowledgementNumber) const;

    /**
     * Whether @p packet of the caller, which is not a first packet, can belong to this flow by its acknowledgement
     * number. The number of another flow with the same addresses and ports is far from the latest one with high
     * probability.
     */
    bool canBelong(const flow::Segment &packet) const;

    /**
     * Whether the flow is half-open or open and @p firstPacket is a copy of its first packet. If the sequence number of
     * the flow's first packet is unknown, any first packet counts as a copy: upstreams do not answer late copies, and
     * otherwise an open flow would be recorded as half-open until the upstream's next packet.
     */
    bool beganWith(const flow::Segment &firstPacket) const;
};

/**
 * Table of the flows of one upstream, derived from the headers of the packets in both directions; payloads are not
 * read. Counts the requests that the upstream is working on: a request starts with new data of the caller and ends with
 * the next data of the upstream.
 */
class FlowTracker
{
public:
    explicit FlowTracker(const TrackerSettings &settings = {});

    /**
     * Sets the number of requests that the upstream works on at once. It keeps others waiting, and this time is no part
     * of the time for which a request occupies a slot. Any number is worked on at once until the first call.
     */
    void setSlots(std::size_t slots);

    /** The flow with this key, which has the caller as its source, or null. Valid until a flow is added or removed. */
    const TrackedFlow *find(const flow::FlowKey &callerKey) const;

    /**
     * Records a first packet that is handed to the upstream. Replaces an earlier flow with the same key, unless the
     * packet is a copy of that flow's first packet; then only the time of the latest packet changes.
     */
    void open(const flow::Segment &firstPacket, TimePoint now);

    /** Records a later packet of the caller that is handed to the upstream. Does nothing if the flow is unknown. */
    void callerSent(const flow::Segment &packet, TimePoint now);

    /** Records a packet that the upstream sent. An unknown flow is added. */
    void upstreamSent(const flow::Segment &packet, TimePoint now);

    /** The caller has acknowledged the upstream's SYN+ACK: a half-open flow becomes open. */
    void completeHandshake(const flow::FlowKey &callerKey);

    /** Records that the upstream does not hold the flow, whether or not the flow was known. */
    void markNotOwned(const flow::FlowKey &callerKey, TimePoint now);

    /** Returns the keys of the flows that became open since the last call; some may have ended meanwhile. */
    std::vector<flow::FlowKey> takeOpened();

    /** How requests have ended since the last call of clearOutcomes(): the earliest ones, up to a bounded number. */
    const std::vector<RequestOutcome> &outcomes() const;
    void clearOutcomes();

    /**
     * Number of complete requests without an answer for which @p isOverdue returns true. Gets the flow's key and the
     * time since the latest new data of its request. Examines the whole table, so call it only about once a second.
     */
    std::size_t countWaiting(const std::function<bool(const flow::FlowKey &, std::chrono::nanoseconds)> &isOverdue,
                             TimePoint now) const;

    /** Removes the flow, if it is known. */
    void forget(const flow::FlowKey &callerKey);

    /** A lost flow whose caller has to be reset. */
    struct LostFlow
    {
        flow::FlowKey callerKey;
        /** As in TrackedFlow; the sequence number for the reset. */
        std::uint32_t callerAcknowledged = 0;
    };

    /**
     * Marks the open and half-open flows as lost, because the run of the upstream has ended, and returns those that
     * were open. Half-open flows are not returned: a copy of the first packet may have opened the flow at another
     * upstream.
     */
    std::vector<LostFlow> markLost();

    /** The flows that are lost are open or half-open again, because their run has not ended. */
    void restoreLost();

    /** No request counts as waiting for an answer any more, although the flows stay as they are. */
    void stopWaitingForAnswers();

    /** Removes flows whose timeout has passed. Examines the whole table, so call it only about once a second. */
    void expire(TimePoint now);

    /**
     * Number of requests that the upstream works on, plus handshakes younger than TrackerSettings::handshakeTime. A
     * request that its caller still sends counts as a fraction.
     */
    std::size_t busy(TimePoint now);

    /** Number of flows with a request, also an incomplete one, that the upstream has not answered. */
    std::size_t requestsWaiting() const;
    /** Times from the latest new data of a request to the first data of its answer. */
    const LatencyHistogram &answerTimes() const;
    /** How long new requests wait for a slot, estimated from the same times. */
    const ExpectedWait &expectedWait() const;
    std::size_t size() const;
    bool isFull() const;

private:
    using Flows = std::unordered_map<flow::FlowKey, TrackedFlow>;

    /** Also ends the sending of the request if @p awaits is false. */
    void setAwaitsAnswer(TrackedFlow &tracked, bool awaits);
    void setSendingRequest(TrackedFlow &tracked, bool sending);
    /** Records the end of the request that @p tracked waits for, if it waits for one. */
    void requestEnded(const flow::FlowKey &callerKey, const TrackedFlow &tracked, bool wasReset, TimePoint now);
    /** Estimate of how long a request occupied a slot that was answered after @p answerTime. */
    std::chrono::nanoseconds slotTime(const TrackedFlow &tracked, std::chrono::nanoseconds answerTime) const;
    void setOpen(const flow::FlowKey &callerKey, TrackedFlow &tracked);
    void closeIfDone(TrackedFlow &tracked);
    std::chrono::milliseconds timeoutOf(FlowPhase phase) const;
    void erase(Flows::iterator position);

    TrackerSettings m_settings;
    Flows m_flows;
    std::vector<flow::FlowKey> m_opened;
    std::vector<RequestOutcome> m_outcomes;
    std::size_t m_requestsWaiting = 0;
    /** Those of the waiting requests that their callers are still sending. */
    std::size_t m_requestsSending = 0;
    /** 0 if not known. */
    std::size_t m_slots = 0;
    LatencyHistogram m_answerTimes;
    ExpectedWait m_expectedWait;
    /** Times and flows of the latest first packets, the oldest first. */
    std::deque<std::pair<TimePoint, flow::FlowKey>> m_handshakes;
};

} // namespace samphireswitch::passthrough
