#include "standin/udprelay.h"

#include "flow/packetview.h"
#include "standin/sockets.h"

namespace samphireswitch::standin {

namespace {

using boost::asio::ip::udp;

// How often delayed datagrams are looked at; a frozen relay holds them at this interval until it resumes.
constexpr std::chrono::milliseconds s_tick {1};

} // namespace

UdpRelay::UdpRelay(boost::asio::io_context &context, FaultRules &rules, const std::vector<Endpoint> &targets)
    : m_context(context)
    , m_rules(rules)
    , m_socket(context)
    , m_timer(context)
{
    for (const Endpoint &target : targets) {
        m_targets.push_back(toUdp(target));
    }
}

Result<void> UdpRelay::listen(const Endpoint &endpoint)
{
    if (auto result = bindTo(m_socket, toUdp(endpoint)); !result) {
        return result.error();
    }
    waitForRequests();
    sendDueDatagrams();
    return {};
}

void UdpRelay::waitForRequests()
{
    m_socket.async_wait(udp::socket::wait_read, [this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        UdpEndpoint client;
        std::size_t size = 0;
        while (receive(m_socket, client, size)) {
            UdpSocket *socket = socketFor(client);
            if (socket != nullptr) {
                relay(Direction::ToTarget, *socket, m_targets.front(), size);
            }
        }
        waitForRequests();
    });
}

void UdpRelay::waitForReplies(UdpSocket &socket, const UdpEndpoint &client)
{
    socket.async_wait(udp::socket::wait_read, [this, &socket, client](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        UdpEndpoint target;
        std::size_t size = 0;
        while (receive(socket, target, size)) {
            relay(Direction::FromTarget, m_socket, client, size);
        }
        waitForReplies(socket, client);
    });
}

bool UdpRelay::receive(UdpSocket &socket, UdpEndpoint &sender, std::size_t &size)
{
    boost::system::error_code error;
    size = socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, error);
    return !error;
}

void UdpRelay::relay(Direction direction, UdpSocket &socket, const UdpEndpoint &destination, std::size_t size)
{
    const auto bytes = std::span(m_buffer).first(size);
    const auto packet = flow::PacketView::parse(bytes);
    const bool isFirstPacket = packet && packet->isFirstPacket();
    for (const PlannedCopy &copy : m_rules.planDatagram(direction, isFirstPacket)) {
        const bool redirected = copy.otherTarget && direction == Direction::ToTarget;
        DelayedDatagram datagram {&socket, redirected ? otherTarget() : destination, {bytes.begin(), bytes.end()}};
        if (copy.delay == std::chrono::microseconds::zero() && !m_rules.isFrozen()) {
            boost::system::error_code ignored;
            socket.send_to(boost::asio::buffer(datagram.bytes), datagram.destination, 0, ignored);
            continue;
        }
        m_delayed.emplace(Clock::now() + copy.delay, std::move(datagram));
    }
}

UdpRelay::UdpSocket *UdpRelay::socketFor(const UdpEndpoint &client)
{
    const auto known = m_clients.find(client);
    if (known != m_clients.end()) {
        return known->second.get();
    }
    auto socket = std::make_unique<UdpSocket>(m_context);
    if (!bindTo(*socket, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0))) {
        return nullptr;
    }
    waitForReplies(*socket, client);
    return m_clients.emplace(client, std::move(socket)).first->second.get();
}

UdpRelay::UdpEndpoint UdpRelay::otherTarget()
{
    if (m_targets.size() == 1) {
        return m_targets.front();
    }
    m_nextOtherTarget = m_nextOtherTarget % (m_targets.size() - 1) + 1;
    return m_targets[m_nextOtherTarget];
}

void UdpRelay::sendDueDatagrams()
{
    const TimePoint now = Clock::now();
    while (!m_rules.isFrozen() && !m_delayed.empty() && m_delayed.begin()->first <= now) {
        const DelayedDatagram &datagram = m_delayed.begin()->second;
        boost::system::error_code ignored;
        datagram.socket->send_to(boost::asio::buffer(datagram.bytes), datagram.destination, 0, ignored);
        m_delayed.erase(m_delayed.begin());
    }
    m_timer.expires_after(s_tick);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendDueDatagrams();
        }
    });
}

} // namespace samphireswitch::standin
