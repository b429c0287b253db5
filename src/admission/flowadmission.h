#pragma once

#include "admission/action.h"
#include "admission/event.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace samphireswitch::admission {

/** Limits and time-outs for the decisions of an agent. */
struct AdmissionSettings
{
    /**
     * Time after which a half-open flow is discarded if its handshake is still incomplete. The time covers several
     * retransmissions of a caller whose acknowledgement and first data were lost. A claim of the flow to a slot ends
     * much earlier, so that the flow does not keep a slot idle for all that time.
     */
    std::chrono::milliseconds halfOpenTimeout {15000};
    /** How long a flow must be without an owner before its packets are answered with a TCP reset. */
    std::chrono::milliseconds noOwnerGrace {3000};
    /** How long a slot that was offered to a peer stays reserved for it. */
    std::chrono::milliseconds offerValidity {20};
    /** Number of consecutive failures after which the agent ejects itself. */
    std::uint32_t failuresToEject = 5;
    /** Time between probes while the agent is ejected. */
    std::chrono::milliseconds probeInterval {1000};
    /** Service time that is assumed until the upstream has answered a request. */
    std::chrono::milliseconds assumedServiceTime {50};
    /** Time after which the peers are told again of the packets that are parked here. */
    std::chrono::milliseconds waitingInterval {250};
    /**
     * A surge is assumed if the arrival rate of requests exceeds this multiple of the rate that the service can serve.
     */
    double surgeDemand = 1.2;
    /**
     * Longest expected wait for a slot with which a packet is still parked during a surge. The time is short because
     * the queue that a surge leaves behind delays later requests.
     */
    std::chrono::milliseconds surgeWait {200};
    /** Largest number of flows without an owner that are remembered at a time. */
    std::size_t unownedCapacity = 4096;
};

enum class FlowKind { Request, Feed };

enum class FlowPhase {
    /** The flow was accepted, and its TCP handshake is not complete. */
    HalfOpen,
    /** The TCP handshake is complete. */
    Established,
    /** The upstream connection has ended, and the TCP stack still holds the state of the flow. */
    Closing
};

/** An owned flow as it is reported while a drain waits for it. */
struct OwnedFlow
{
    flow::FlowKey key;
    FlowKind kind = FlowKind::Request;
    FlowPhase phase = FlowPhase::HalfOpen;
    /** When the flow was accepted. */
    TimePoint since;
};

/** Decisions and outcomes since the construction of FlowAdmission. */
struct AdmissionCounters
{
    /** Flows that were accepted, from parked packets or at once. */
    std::uint64_t accepted = 0;
    /** Packets that were passed to another agent without being parked. */
    std::uint64_t passed = 0;
    std::uint64_t parked = 0;
    /** Parked packets that were sent to another agent. */
    std::uint64_t handedOver = 0;
    /** First packets, parked or not, that were answered with a TCP reset. */
    std::uint64_t refused = 0;
    /** Half-open flows that were discarded because a packet showed that they do not continue here. */
    std::uint64_t ceded = 0;
    /** Packets of flows without an owner that were answered with a TCP reset. */
    std::uint64_t resetUnowned = 0;
    std::uint64_t droppedWrongService = 0;
    /** Packets that were dropped for any other reason, including parked packets. */
    std::uint64_t droppedOther = 0;
    /** Requests and feeds that the upstream answered. */
    std::uint64_t answered = 0;
    /** Requests and feeds that the upstream refused or did not answer. */
    std::uint64_t failed = 0;
};

/**
 * Makes all decisions of an agent on its flows: which packets it consumes, which new flows it accepts, passes, parks or
 * refuses, and when slots become free. The class does no input or output, so that the agent process, the experiment
 * program and trace replay all run the same code. Equal calls with equal random engines return equal actions.
 */
class FlowAdmission
{
public:
    /**
     * @p self is this agent as its peers know it. @p randomEngine yields hash seeds, sequence offsets and the
     * identities of slot offers, so it must be unpredictable to callers outside tests and replays.
     */
    FlowAdmission(const AdmissionSettings &settings, const protocol::Candidate &self, std::mt19937_64 randomEngine);
    ~FlowAdmission();

    FlowAdmission(const FlowAdmission &) = delete;
    FlowAdmission &operator=(const FlowAdmission &) = delete;

    /**
     * Applies @p event and returns the actions that have to be carried out, in order. @p now must not decrease from
     * call to call. All returned actions must be carried out before the next call; events that arise from them are
     * passed in later calls.
     */
    Actions handle(const Event &event, TimePoint now);

    /** Latest time at which the next TimerExpired must be handled; empty if no time-out is pending. */
    std::optional<TimePoint> nextTimer() const;

    /**
     * Slots that requests occupy, that accepted requests claim, or that stay occupied after failed or too fast answers.
     */
    std::uint32_t busySlots() const;
    /**
     * Slots that may be used now: one after a cold start or an ejection, and one more with each answer, up to the
     * configured number.
     */
    std::uint32_t effectiveSlots() const;
    std::uint32_t feedsHeld() const;
    /** All owned flows: requests and feeds in any phase. */
    std::uint32_t connectionsHeld() const;
    std::uint32_t parkedPackets() const;
    /** True if the process was ordered to drain, or the service record says that the host drains or is stopped. */
    bool isDraining() const;
    /** True if the agent has ejected itself because of consecutive failures of its upstream. */
    bool isEjected() const;
    bool owns(const flow::FlowKey &key) const;
    const AdmissionCounters &counters() const;

    /** All owned flows, oldest first. A drain ends when none is left. */
    std::vector<OwnedFlow> ownedFlows() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::admission
