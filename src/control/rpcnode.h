#pragma once

#include "base/resultcode.h"
#include "base/time.h"
#include "control/controlnode.h"
#include "protocol/status.h"
#include "telemetry/eventlog.h"

#include <functional>
#include <memory>
#include <optional>

namespace samphireswitch::control {

/** Access of the RPC thread to the rest of the process. All functions are called in the RPC thread. */
struct RpcSources
{
    std::function<std::shared_ptr<const ControlSnapshot>()> snapshot;
    std::function<protocol::Status()> status;
    /** When the store last confirmed the configuration in force; nothing if that is not known. */
    std::function<std::optional<TimePoint>()> configurationConfirmedAt;
    /** Posts an event to the control thread. */
    std::function<void(const GossipEvent &)> post;
};

/**
 * The RPC thread: serves the interface `Control` on the control address and makes the pull requests to peers. All work
 * is done in run(). pull() may be called from the control thread only, and requestStop() from any thread.
 */
class RpcNode
{
public:
    RpcNode(const Endpoint &address, RpcSources sources, telemetry::EventLog &events);
    ~RpcNode();

    RpcNode(const RpcNode &) = delete;
    RpcNode &operator=(const RpcNode &) = delete;

    /** Listens on the TCP port of the control address. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Runs the event loop until requestStop() is called. open() must have succeeded. */
    void run();
    void requestStop();

    /**
     * Sends @p request to the peer without blocking; the answer is posted as an event. A request that fails, or is not
     * answered within 2 s, is dropped: the next digest or heartbeat that shows a difference triggers another. A request
     * is also dropped if the queue is full or while one of the same kind to the same peer is in progress.
     */
    void pull(const PullRequest &request);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::control
