#pragma once

#include "base/resultcode.h"
#include "control/controlnode.h"
#include "protocol/status.h"
#include "telemetry/eventlog.h"

#include <functional>
#include <memory>

namespace samphireswitch::control {

/** What the RPC thread reads from the rest of the process. All are called in the RPC thread. */
struct RpcSources
{
    std::function<std::shared_ptr<const ControlSnapshot>()> snapshot;
    std::function<protocol::Status()> status;
    /** Hands an event to the control thread. */
    std::function<void(const GossipEvent &)> post;
};

/**
 * The RPC thread: serves the interface `Control` on the control address and carries out pulls from peers. All work is
 * done in run(). pull() belongs to the control thread; requestStop() may be called from any thread.
 */
class RpcNode
{
public:
    RpcNode(const Endpoint &address, RpcSources sources, telemetry::EventLog &events);
    ~RpcNode();

    RpcNode(const RpcNode &) = delete;
    RpcNode &operator=(const RpcNode &) = delete;

    /** Binds the address. Fails with ResultCode::SocketError. */
    Result<void> open();

    void run();
    void requestStop();

    /** Asks a peer; what it answers is posted as an event. Dropped while a pull of the same kind from it is under way.
     */
    void pull(const PullRequest &request);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace samphireswitch::control
