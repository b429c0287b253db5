#pragma once

#include "base/resultcode.h"
#include "control/controlsnapshot.h"
#include "control/gossipengine.h"
#include "telemetry/eventlog.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace samphireswitch::control {

using PullRequest = std::variant<PullConfiguration, PullMembers>;

/** The threads that post events to the control thread. Each has its own single-producer ring. */
enum class EventSource { Process, Rpc, Store, Directory };

/** Callbacks into the rest of the process. They are called in the control thread and must not block. */
struct ControlCallbacks
{
    /** Starts an RPC to a peer. Its answer is posted as an event. */
    std::function<void(const PullRequest &)> pull;
    /** The configuration, the membership or the record of this process changed. */
    std::function<void(const ControlSnapshot &)> changed;
};

/**
 * The control thread: receives and sends control datagrams (announcements, heartbeats and gossip) over UDP and runs the
 * GossipEngine. All work is done in run(). post() may be called from the thread of its source; snapshot(), counters(),
 * lastHeard(), agreedAt() and requestStop() may be called from any thread.
 */
class ControlNode
{
public:
    /** @p self is the record of this process; @p seeds are the control addresses of the balancers to contact first. */
    ControlNode(const GossipSettings &settings,
                const protocol::MemberRecord &self,
                std::vector<Endpoint> seeds,
                ControlCallbacks callbacks,
                telemetry::EventLog &events);
    ~ControlNode();

    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /** Binds the UDP socket to the control address. Fails with ResultCode::SocketError if that is not possible. */
    Result<void> open();

    /** Runs the event loop until requestStop() is called. open() must have succeeded. */
    void run();
    void requestStop();

    /**
     * Queues @p event for the control thread without blocking. Only one thread may post for each source. If the ring of
     * the source is full, the event is dropped and counted in ControlCounters::eventsDropped.
     */
    void post(EventSource source, const GossipEvent &event);

    /** The latest published state. Never null: the first snapshot is published by the constructor. */
    std::shared_ptr<const ControlSnapshot> snapshot() const;
    ControlCounters counters() const;
    /**
     * Arrival time of the last well-formed control datagram of another process; the epoch of the clock if none has
     * arrived.
     */
    TimePoint lastHeard() const;
    /**
     * Time of the last digest whose membership hash equalled that of this process. The epoch of the clock if the most
     * recent digest had a different hash, or if none has arrived.
     */
    TimePoint agreedAt() const;
    /** When the store last confirmed the configuration in force; nothing if that is not known. */
    std::optional<TimePoint> configurationConfirmedAt() const;
    /** Whether a peer has answered a request for its members since the start of this process. */
    bool hasPeerAnswered() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::control
