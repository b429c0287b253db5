#include "standin/callerstack.h"

#include "flow/packetview.h"
#include "standin/sockets.h"

extern "C" {
#include <lwip/init.h>
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/timeouts.h>
}

namespace samphireswitch::standin {

namespace {

using boost::asio::ip::udp;

// 1500 bytes less the outer headers and the envelope between balancer and agent.
constexpr std::uint16_t s_mtu = 1400;
constexpr std::chrono::milliseconds s_timerInterval {10};

ip4_addr_t toLwip(std::uint32_t address)
{
    return {lwip_htonl(address)};
}

} // namespace

CallerStack::CallerStack(boost::asio::io_context &context, const Endpoint &fabric, std::uint32_t address)
    : m_socket(context)
    , m_fabric(toUdp(fabric))
    , m_timer(context)
    , m_address(address)
    , m_interface(std::make_unique<netif>())
{
}

CallerStack::~CallerStack()
{
    netif_remove(m_interface.get());
}

Result<void> CallerStack::start()
{
    if (auto result = bindTo(m_socket, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)); !result) {
        return result.error();
    }
    lwip_init();
    const ip4_addr_t address = toLwip(m_address);
    const ip4_addr_t netmask = toLwip(0xffffffff);
    const ip4_addr_t gateway = toLwip(0);
    netif_add(m_interface.get(), &address, &netmask, &gateway, this, &CallerStack::initializeInterface, ip4_input);
    netif_set_default(m_interface.get());
    netif_set_link_up(m_interface.get());
    netif_set_up(m_interface.get());
    waitForPackets();
    handleTimers();
    return {};
}

signed char CallerStack::initializeInterface(netif *interface)
{
    interface->name[0] = 'c';
    interface->name[1] = 'a';
    interface->mtu = s_mtu;
    interface->output = [](netif *outgoing, pbuf *packet, const ip4_addr_t *) -> err_t {
        static_cast<CallerStack *>(outgoing->state)->sendPacket(packet);
        return ERR_OK;
    };
    return ERR_OK;
}

void CallerStack::sendPacket(pbuf *packet)
{
    const std::size_t size = pbuf_copy_partial(packet, m_sendBuffer.data(), packet->tot_len, 0);
    // A packet that the socket does not take is lost like any other; TCP sends it again.
    boost::system::error_code ignored;
    m_socket.send_to(boost::asio::buffer(m_sendBuffer.data(), size), m_fabric, 0, ignored);
}

void CallerStack::waitForPackets()
{
    m_socket.async_wait(udp::socket::wait_read, [this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        receivePackets();
        waitForPackets();
    });
}

void CallerStack::receivePackets()
{
    for (;;) {
        boost::system::error_code error;
        const std::size_t size = m_socket.receive(boost::asio::buffer(m_receiveBuffer), 0, error);
        if (error == boost::asio::error::would_block) {
            return;
        }
        const auto view = flow::PacketView::parse(std::span(m_receiveBuffer).first(size));
        if (error || !view || view->key().destination.address != m_address) {
            continue;
        }
        pbuf *packet = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(size), PBUF_RAM);
        if (packet == nullptr) {
            continue;
        }
        pbuf_take(packet, m_receiveBuffer.data(), static_cast<u16_t>(size));
        m_interface->input(packet, m_interface.get());
    }
}

void CallerStack::handleTimers()
{
    sys_check_timeouts();
    m_timer.expires_after(s_timerInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            handleTimers();
        }
    });
}

} // namespace samphireswitch::standin
