#include "standin/callerconnection.h"

#include "telemetry/logging.h"

extern "C" {
#include <lwip/pbuf.h>
#include <lwip/tcp.h>
}

#include <algorithm>
#include <string>
#include <utility>

namespace samphireswitch::standin {

/** The functions that lwIP calls; `argument` is the connection. */
struct CallerConnection::Callbacks
{
    static err_t connected(void *argument, tcp_pcb *, err_t)
    {
        auto *connection = static_cast<CallerConnection *>(argument);
        connection->m_connected = true;
        connection->handleConnected();
        return ERR_OK;
    }

    static err_t received(void *argument, tcp_pcb *pcb, pbuf *chain, err_t)
    {
        auto *connection = static_cast<CallerConnection *>(argument);
        if (chain == nullptr) {
            connection->close();
            connection->handleEnd(ConnectionEnd::Closed);
            return ERR_OK;
        }
        std::string bytes(chain->tot_len, '\0');
        pbuf_copy_partial(chain, bytes.data(), chain->tot_len, 0);
        pbuf_free(chain);
        tcp_recved(pcb, static_cast<u16_t>(bytes.size()));
        connection->handleReceived(bytes);
        return ERR_OK;
    }

    static err_t sent(void *argument, tcp_pcb *, u16_t)
    {
        static_cast<CallerConnection *>(argument)->handleWritable();
        return ERR_OK;
    }

    static void failed(void *argument, err_t error)
    {
        auto *connection = static_cast<CallerConnection *>(argument);
        connection->m_pcb = nullptr;
        const bool refused = !connection->m_connected && error == ERR_RST;
        connection->handleEnd(refused ? ConnectionEnd::Refused : ConnectionEnd::Reset);
    }
};

CallerConnection::~CallerConnection()
{
    abort();
}

void CallerConnection::open(const Endpoint &destination, std::uint16_t localPort)
{
    m_pcb = tcp_new();
    if (m_pcb == nullptr) {
        handleEnd(ConnectionEnd::Reset);
        return;
    }
    tcp_arg(m_pcb, this);
    tcp_recv(m_pcb, &Callbacks::received);
    tcp_sent(m_pcb, &Callbacks::sent);
    tcp_err(m_pcb, &Callbacks::failed);
    tcp_nagle_disable(m_pcb);
    ip_addr_t address = IPADDR4_INIT(lwip_htonl(destination.address));
    err_t error = ERR_OK;
    if (localPort != 0) {
        error = tcp_bind(m_pcb, IP4_ADDR_ANY, localPort);
    }
    if (error == ERR_OK) {
        error = tcp_connect(m_pcb, &address, destination.port, &Callbacks::connected);
    }
    m_localPort = m_pcb->local_port;
    if (error != ERR_OK) {
        telemetry::log(telemetry::Severity::Error, "lwIP cannot open a connection, error " + std::to_string(error));
        abort();
        handleEnd(ConnectionEnd::Reset);
    }
}

std::uint16_t CallerConnection::localPort() const
{
    return m_localPort;
}

std::size_t CallerConnection::write(std::string_view bytes)
{
    if (m_pcb == nullptr) {
        return 0;
    }
    const std::size_t size = std::min<std::size_t>(bytes.size(), tcp_sndbuf(m_pcb));
    if (size == 0 || tcp_write(m_pcb, bytes.data(), static_cast<u16_t>(size), TCP_WRITE_FLAG_COPY) != ERR_OK) {
        return 0;
    }
    tcp_output(m_pcb);
    return size;
}

void CallerConnection::close()
{
    if (m_pcb == nullptr) {
        return;
    }
    tcp_pcb *pcb = m_pcb;
    detach();
    if (tcp_close(pcb) != ERR_OK) {
        telemetry::log(telemetry::Severity::Error, "lwIP cannot close a connection");
    }
}

void CallerConnection::abort()
{
    if (m_pcb == nullptr) {
        return;
    }
    tcp_pcb *pcb = m_pcb;
    detach();
    tcp_abort(pcb);
}

void CallerConnection::detach()
{
    tcp_arg(m_pcb, nullptr);
    tcp_recv(m_pcb, nullptr);
    tcp_sent(m_pcb, nullptr);
    tcp_err(m_pcb, nullptr);
    m_pcb = nullptr;
}

} // namespace samphireswitch::standin
