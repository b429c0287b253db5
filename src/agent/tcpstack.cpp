#include "agent/tcpstack.h"

#include "agent/lwipheaders.h"

#include <arpa/inet.h>

#include <array>
#include <cassert>
#include <cstring>
#include <mutex>

namespace samphireswitch::agent {

namespace {

constexpr std::uint16_t s_interfaceMtu = 1400;
constexpr std::size_t s_largestPacket = 65535;

/**
 * Factor by which lwIP's timers run fast: lwIP counts TCP_TMR_INTERVAL (250 ms) per tick, but ticks come every
 * s_tickInterval.
 */
constexpr u32_t s_timeScale = std::chrono::milliseconds(TCP_TMR_INTERVAL) / TcpStack::s_tickInterval;

/**
 * Keep-alive settings in lwIP's milliseconds. An unreachable caller is detected after the idle time and all probes: 60
 * s + 8 * 15 s = 180 s.
 */
constexpr u32_t s_keepAliveIdle = 60000 * s_timeScale;
constexpr u32_t s_keepAliveInterval = 15000 * s_timeScale;
constexpr u32_t s_keepAliveProbes = 8;

ip4_addr_t toLwip(std::uint32_t address)
{
    return {htonl(address)};
}

/**
 * Prevents lwIP from dropping half-open connections. lwIP gives up a handshake after 20 s of its own time, which is 4 s
 * with the faster ticks, less than a caller may need to retransmit its acknowledgement. FlowAdmission decides how long
 * a half-open flow is kept.
 */
void keepHalfOpenConnections()
{
    for (tcp_pcb *connection = tcp_active_pcbs; connection != nullptr; connection = connection->next) {
        if (connection->state == SYN_RCVD) {
            connection->tmr = tcp_ticks;
        }
    }
}

err_t initializeInterface(netif *interface)
{
    interface->name[0] = 's';
    interface->name[1] = 's';
    interface->mtu = s_interfaceMtu;
    return ERR_OK;
}

err_t sendPacket(netif *interface, pbuf *packet, const ip4_addr_t * /*address*/)
{
    thread_local std::array<std::byte, s_interfaceMtu> s_bytes;
    if (packet->tot_len > s_bytes.size()) {
        return ERR_BUF;
    }
    pbuf_copy_partial(packet, s_bytes.data(), packet->tot_len, 0);
    const auto &output = *static_cast<TcpStack::Output *>(interface->state);
    output(std::span(s_bytes).first(packet->tot_len));
    return ERR_OK;
}

pbuf *copyToBuffer(std::span<const std::byte> packet)
{
    if (packet.empty() || packet.size() > s_largestPacket) {
        return nullptr;
    }
    pbuf *const buffer = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.size()), PBUF_RAM);
    if (buffer != nullptr) {
        std::memcpy(buffer->payload, packet.data(), packet.size());
    }
    return buffer;
}

bool belongsTo(const tcp_pcb &controlBlock, const flow::FlowKey &key)
{
    return controlBlock.remote_port == key.source.port && controlBlock.local_port == key.destination.port
        && ip4_addr_get_u32(ip_2_ip4(&controlBlock.remote_ip)) == htonl(key.source.address)
        && ip4_addr_get_u32(ip_2_ip4(&controlBlock.local_ip)) == htonl(key.destination.address);
}

void configure(tcp_pcb *controlBlock)
{
    tcp_nagle_disable(controlBlock);
    ip_set_option(controlBlock, SOF_KEEPALIVE);
    controlBlock->keep_idle = s_keepAliveIdle;
    controlBlock->keep_intvl = s_keepAliveInterval;
    controlBlock->keep_cnt = s_keepAliveProbes;
}

} // namespace

/**
 * Callbacks for lwIP. They are static members of a struct, so that TcpConnection can declare the struct as a friend.
 */
struct TcpCallbacks
{
    static err_t established(void *argument, tcp_pcb * /*controlBlock*/, err_t error)
    {
        auto *const connection = static_cast<TcpConnection *>(argument);
        if (connection == nullptr || error != ERR_OK) {
            return ERR_OK;
        }
        connection->m_observer.connectionEstablished();
        return ERR_OK;
    }

    static err_t received(void *argument, tcp_pcb * /*controlBlock*/, pbuf *packet, err_t /*error*/)
    {
        auto *const connection = static_cast<TcpConnection *>(argument);
        if (packet == nullptr) {
            if (connection != nullptr) {
                connection->m_observer.finReceived();
            }
            return ERR_OK;
        }
        for (const pbuf *part = packet; part != nullptr && connection != nullptr; part = part->next) {
            connection->m_observer.dataReceived({static_cast<const std::byte *>(part->payload), part->len});
        }
        pbuf_free(packet);
        return ERR_OK;
    }

    static err_t acknowledged(void *argument, tcp_pcb * /*controlBlock*/, u16_t /*size*/)
    {
        if (auto *const connection = static_cast<TcpConnection *>(argument)) {
            connection->m_observer.dataAcknowledged();
        }
        return ERR_OK;
    }

    static void failed(void *argument, err_t error)
    {
        auto *const connection = static_cast<TcpConnection *>(argument);
        if (connection == nullptr) {
            return;
        }
        connection->m_controlBlock = nullptr;
        connection->m_observer.connectionEnded(toConnectionEnd(error));
    }

    static ConnectionEnd toConnectionEnd(err_t error)
    {
        switch (error) {
        case ERR_CLSD:
            return ConnectionEnd::Closed;
        case ERR_RST:
            return ConnectionEnd::Reset;
        default:
            return ConnectionEnd::TimedOut;
        }
    }
};

TcpStack::TcpStack(Output output)
    : m_output(std::move(output))
{
    static std::once_flag s_initialized;
    std::call_once(s_initialized, lwip_init);
}

TcpStack::~TcpStack()
{
    for (const auto &[port, listener] : m_listeners) {
        tcp_close(listener);
    }
    for (const auto &[address, interface] : m_interfaces) {
        netif_remove(interface.get());
    }
}

void TcpStack::listen(const Endpoint &endpoint)
{
    if (!m_interfaces.contains(endpoint.address)) {
        // Interfaces of earlier addresses are kept, because connections to those addresses may still exist.
        auto added = std::make_unique<netif>();
        const ip4_addr_t address = toLwip(endpoint.address);
        const ip4_addr_t mask = toLwip(UINT32_MAX);
        const ip4_addr_t gateway = toLwip(0);
        netif_add(added.get(), &address, &mask, &gateway, &m_output, initializeInterface, ip4_input);
        added->output = sendPacket;
        netif_set_up(added.get());
        netif_set_link_up(added.get());
        netif_set_default(added.get());
        m_interfaces.emplace(endpoint.address, std::move(added));
    }
    if (m_listeners.contains(endpoint.port)) {
        return;
    }
    tcp_pcb *const unbound = tcp_new_ip_type(IPADDR_TYPE_V4);
    tcp_bind(unbound, IP4_ADDR_ANY, endpoint.port);
    tcp_pcb *const listener = tcp_listen(unbound);
    tcp_accept(listener, TcpCallbacks::established);
    m_listeners.emplace(endpoint.port, listener);
}

std::unique_ptr<TcpConnection>
TcpStack::accept(std::span<const std::byte> packet, const flow::FlowKey &key, TcpConnectionObserver &observer)
{
    if (!m_listeners.contains(key.destination.port)) {
        return nullptr;
    }
    netif *const interface = interfaceFor(key.destination.address);
    pbuf *const buffer = copyToBuffer(packet);
    if (interface == nullptr || buffer == nullptr) {
        return nullptr;
    }
    const std::size_t bucket = m_buckets.indexOf(key);
    {
        const ConnectionBuckets::Scope scope(m_buckets, bucket);
        ip4_input(buffer, interface);
    }
    // lwIP inserts a new control block at the head of its list.
    tcp_pcb *const controlBlock = m_buckets.newestConnection(bucket);
    if (controlBlock == nullptr || controlBlock->state != SYN_RCVD || !belongsTo(*controlBlock, key)) {
        return nullptr;
    }
    configure(controlBlock);
    std::unique_ptr<TcpConnection> connection(new TcpConnection(controlBlock, m_buckets, bucket, observer));
    tcp_arg(controlBlock, connection.get());
    tcp_recv(controlBlock, TcpCallbacks::received);
    tcp_sent(controlBlock, TcpCallbacks::acknowledged);
    tcp_err(controlBlock, TcpCallbacks::failed);
    return connection;
}

void TcpStack::input(std::span<const std::byte> packet,
                     const flow::FlowKey &key,
                     const flow::SequenceTranslator &translator)
{
    netif *const interface = interfaceFor(key.destination.address);
    pbuf *const buffer = copyToBuffer(packet);
    if (interface == nullptr || buffer == nullptr) {
        return;
    }
    translator.translateIncoming({static_cast<std::byte *>(buffer->payload), buffer->len});
    const ConnectionBuckets::Scope scope(m_buckets, m_buckets.indexOf(key));
    ip4_input(buffer, interface);
}

void TcpStack::tick()
{
    const ConnectionBuckets::TickScope scope(m_buckets);
    keepHalfOpenConnections();
    tcp_tmr();
}

netif *TcpStack::interfaceFor(std::uint32_t address) const
{
    const auto found = m_interfaces.find(address);
    return found == m_interfaces.end() ? nullptr : found->second.get();
}

} // namespace samphireswitch::agent
