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

/** Limits and times of an agent's decisions. */
struct AdmissionSettings
{
    /**
     * A half-open flow whose handshake has not completed after this time is discarded. Covers several retransmissions
     * of a caller whose acknowledgement and first data were lost; it holds no slot meanwhile.
     */
    std::chrono::milliseconds halfOpenTimeout {15000};
    /** How long a flow must have had no owner before it is reset. */
    std::chrono::milliseconds noOwnerGrace {3000};
    /** How long an offered slot stays reserved for the peer. */
    std::chrono::milliseconds offerValidity {20};
    /** Consecutive failures after which an agent ejects itself. */
    std::uint32_t failuresToEject = 5;
    /** Time between probe requests while ejected. */
    std::chrono::milliseconds probeInterval {1000};
    /** Service time that is assumed until the host has answered a request. */
    std::chrono::milliseconds assumedServiceTime {50};
    /** Time between repeated announcements of waiting packets to the peers. */
    std::chrono::milliseconds waitingInterval {250};
    /** Requests that arrive per capacity of the service, from which on a surge is assumed. */
    double surgeDemand = 1.2;
    /** Longest expected wait for a slot in a surge. Short, because the queue that is left after it delays later
     * requests. */
    std::chrono::milliseconds surgeWait {200};
    /** How many flows without an owner are remembered. */
    std::size_t unownedCapacity = 4096;
};

enum class FlowKind { Request, Feed };
enum class FlowPhase { HalfOpen, Established, Closing };

/** A flow that a drain waits for. */
struct OwnedFlow
{
    flow::FlowKey key;
    FlowKind kind = FlowKind::Request;
    FlowPhase phase = FlowPhase::HalfOpen;
    TimePoint since;
};

struct AdmissionCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t passed = 0;
    std::uint64_t parked = 0;
    std::uint64_t handedOver = 0;
    std::uint64_t refused = 0;
    std::uint64_t ceded = 0;
    std::uint64_t resetUnowned = 0;
    std::uint64_t droppedWrongService = 0;
    std::uint64_t droppedOther = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
};

/**
 * All decisions of an agent on its flows: which packets it consumes, which new flows it accepts, passes, parks or
 * refuses, and when slots become free. Has no input or output of its own, so that the agent process, the experiment
 * program and trace replay drive the same code. Equal calls with equal random engines give equal actions.
 */
class FlowAdmission
{
public:
    FlowAdmission(const AdmissionSettings &settings, const protocol::Candidate &self, std::mt19937_64 randomEngine);
    ~FlowAdmission();

    FlowAdmission(const FlowAdmission &) = delete;
    FlowAdmission &operator=(const FlowAdmission &) = delete;

    /**
     * Applies @p event and returns what has to be done, in order. @p now must not decrease from call to call. All
     * returned actions have to be done before the next call; events that arise meanwhile wait until then.
     */
    Actions handle(const Event &event, TimePoint now);

    /** When TimerExpired has to be sent at the latest; empty if nothing is due. */
    std::optional<TimePoint> nextTimer() const;

    /** Slots that requests occupy, that flows in a handshake claim, or that failures keep occupied. */
    std::uint32_t busySlots() const;
    std::uint32_t effectiveSlots() const;
    std::uint32_t feedsHeld() const;
    std::uint32_t connectionsHeld() const;
    std::uint32_t parkedPackets() const;
    bool isDraining() const;
    bool isEjected() const;
    bool owns(const flow::FlowKey &key) const;
    const AdmissionCounters &counters() const;

    /** All owned flows, oldest first; what a drain waits for. */
    std::vector<OwnedFlow> ownedFlows() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::admission
