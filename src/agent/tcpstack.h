#pragma once

#include "agent/connectionbuckets.h"
#include "agent/tcpconnection.h"
#include "flow/flowkey.h"
#include "flow/sequencetranslator.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>

struct netif;
struct pbuf;
struct tcp_pcb;

namespace samphireswitch::agent {

/**
 * User-space TCP stack (lwIP) that terminates callers' connections. lwIP has global state, so that a process may have
 * only one TcpStack at a time, and all calls to the stack and its connections must come from one thread.
 */
class TcpStack
{
public:
    /**
     * Called with each IPv4 packet that the stack sends to a caller. The packet carries the stack's own sequence
     * numbers, may be modified in place and is valid only during the call. The callee must not call the stack.
     */
    using Output = std::function<void(std::span<std::byte> packet)>;

    /**
     * How often tick() has to be called. lwIP expects ticks of 250 ms, with which its shortest retransmission timeout
     * is 1.5 s. Ticks every 50 ms make all of lwIP's timers run five times as fast, so that the shortest timeout is 0.3
     * s.
     */
    static constexpr std::chrono::milliseconds s_tickInterval {50};

    explicit TcpStack(Output output);
    ~TcpStack();

    TcpStack(const TcpStack &) = delete;
    TcpStack &operator=(const TcpStack &) = delete;

    /** Makes accept() accept first packets that are addressed to @p endpoint. */
    void listen(const Endpoint &endpoint);

    /**
     * Creates a connection for @p packet, the first packet of flow @p key, and sends a SYN-ACK. Returns the half-open
     * connection. Returns null, and sends nothing, if the stack does not accept the packet.
     */
    std::unique_ptr<TcpConnection>
    accept(std::span<const std::byte> packet, const flow::FlowKey &key, TcpConnectionObserver &observer);

    /**
     * Processes a later packet of a flow that accept() has returned a connection for. @p translator converts the
     * acknowledgement number in the packet to the stack's own sequence numbers.
     */
    void input(std::span<const std::byte> packet, const flow::FlowKey &key, const flow::SequenceTranslator &translator);

    /** Runs the retransmission, keep-alive and other timers. Not needed while there are no connections. */
    void tick();

private:
    /** The network interface with IPv4 address @p address (host byte order); null if there is none. */
    netif *interfaceFor(std::uint32_t address) const;

    Output m_output;
    ConnectionBuckets m_buckets;
    std::map<std::uint32_t, std::unique_ptr<netif>> m_interfaces;
    std::map<std::uint16_t, tcp_pcb *> m_listeners;
};

} // namespace samphireswitch::agent
