#pragma once

#include "base/resultcode.h"
#include "control/controlsnapshot.h"
#include "control/gossipengine.h"
#include "telemetry/eventlog.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace samphireswitch::control {

using PullRequest = std::variant<PullConfiguration, PullMembers>;

/** The threads that hand events to the control thread; each has a ring of its own. */
enum class EventSource { Process, Rpc, Store, Directory };

/** What the control thread asks of the rest of the process. All are called in the control thread and must not block. */
struct ControlCallbacks
{
    std::function<void(const PullRequest &)> pull;
    std::function<void(const ControlSnapshot &)> changed;
};

/**
 * The control thread: control datagrams, announcements, heartbeats and gossip. All work is done in run(); post(),
 * snapshot(), counters() and requestStop() may be called from other threads.
 */
class ControlNode
{
public:
    ControlNode(const GossipSettings &settings,
                const protocol::MemberRecord &self,
                std::vector<Endpoint> seeds,
                ControlCallbacks callbacks,
                telemetry::EventLog &events);
    ~ControlNode();

    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /** Binds the control address. Fails with ResultCode::SocketError. */
    Result<void> open();

    void run();
    void requestStop();

    /** Hands over an event. Each source belongs to one thread. A full ring drops the event and counts it. */
    void post(EventSource source, const GossipEvent &event);

    std::shared_ptr<const ControlSnapshot> snapshot() const;
    ControlCounters counters() const;
    /** When the last well-formed datagram of another process arrived. */
    TimePoint lastHeard() const;
    /** When a peer last had the same members; the epoch of the clock if the last one to tell had others. */
    TimePoint agreedAt() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::control
