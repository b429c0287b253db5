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
 * The TCP stack that ends callers' connections (lwIP). lwIP has global state, so that a process may have one TcpStack
 * at a time, and all calls to it and to its connections must come from one thread.
 */
class TcpStack
{
public:
    /** Takes a whole IPv4 packet to a caller, with the stack's own sequence numbers. Must not call the stack. */
    using Output = std::function<void(std::span<std::byte> packet)>;

    /**
     * How often tick() has to be called. lwIP counts its times in ticks of 250 ms, which makes its shortest
     * retransmission timeout 1.5 s. Five times as many ticks make it 0.3 s.
     */
    static constexpr std::chrono::milliseconds s_tickInterval {50};

    explicit TcpStack(Output output);
    ~TcpStack();

    TcpStack(const TcpStack &) = delete;
    TcpStack &operator=(const TcpStack &) = delete;

    /** Accepts first packets for @p endpoint from now on. */
    void listen(const Endpoint &endpoint);

    /**
     * Takes the first packet of a flow. Returns the half-open connection, or null if the packet is not acceptable;
     * nothing is sent in this case.
     */
    std::unique_ptr<TcpConnection>
    accept(std::span<const std::byte> packet, const flow::FlowKey &key, TcpConnectionObserver &observer);

    /** Takes a packet of a flow that accept() returned a connection for. */
    void input(std::span<const std::byte> packet, const flow::FlowKey &key, const flow::SequenceTranslator &translator);

    /** Runs retransmissions and the other timers. Not needed while there are no connections. */
    void tick();

private:
    netif *interfaceFor(std::uint32_t address) const;

    Output m_output;
    ConnectionBuckets m_buckets;
    std::map<std::uint32_t, std::unique_ptr<netif>> m_interfaces;
    std::map<std::uint16_t, tcp_pcb *> m_listeners;
};

} // namespace samphireswitch::agent
