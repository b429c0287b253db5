#include "standin/fabric.h"

#include "standin/sockets.h"
#include "telemetry/logging.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace samphireswitch::standin {

namespace {

using boost::asio::ip::udp;

// A flow with this many packets misses one of three balancers by chance with a probability below 0.001.
constexpr std::uint64_t s_packetsOfLongFlow = 20;

} // namespace

Fabric::Fabric(boost::asio::io_context &context, FabricSettings settings)
    : m_settings(std::move(settings))
    , m_socket(context)
    , m_delayTimer(context)
    , m_random(m_settings.seed)
{
}

Result<void> Fabric::start()
{
    if (auto result = bindTo(m_socket, toUdp(m_settings.listen)); !result) {
        return result.error();
    }
    waitForPackets();
    return {};
}

std::string Fabric::execute(const std::string &command)
{
    constexpr std::string_view balancersCommand = "balancers ";
    if (command == "counts") {
        return boost::json::serialize(counts());
    }
    if (!command.starts_with(balancersCommand)) {
        return "error: accepted commands are 'counts' and 'balancers ip:port,...'";
    }
    auto balancers = parseEndpoints(command.substr(balancersCommand.size()));
    if (!balancers) {
        return "error: the list is not of the form ip:port,...";
    }
    m_settings.balancers = std::move(*balancers);
    return "ok";
}

boost::json::object Fabric::counts() const
{
    boost::json::array balancers;
    for (std::size_t number = 0; number < m_knownBalancers.size(); ++number) {
        balancers.push_back(
            {{"address", toString(m_knownBalancers[number])}, {"packets", m_packetsPerBalancer[number]}});
    }
    std::uint64_t longFlows = 0;
    std::uint64_t longFlowsOverAll = 0;
    for (const auto &[key, count] : m_flows) {
        if (count.packets < s_packetsOfLongFlow) {
            continue;
        }
        ++longFlows;
        if (count.balancers.size() >= m_settings.balancers.size()) {
            ++longFlowsOverAll;
        }
    }
    return {{"balancers", balancers},
            {"flows", m_flows.size()},
            {"flows_with_20_packets", longFlows},
            {"of_these_over_all_balancers", longFlowsOverAll},
            {"packets_to_callers", m_packetsToCallers},
            {"packets_dropped", m_packetsDropped}};
}

void Fabric::waitForPackets()
{
    m_socket.async_wait(udp::socket::wait_read, [this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        receivePackets();
        waitForPackets();
    });
}

void Fabric::receivePackets()
{
    for (;;) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = m_socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, error);
        if (error == boost::asio::error::would_block) {
            return;
        }
        if (error) {
            continue;
        }
        handlePacket(std::span(m_buffer).first(size), sender);
    }
}

void Fabric::handlePacket(std::span<const std::byte> bytes, const udp::endpoint &sender)
{
    const auto packet = flow::PacketView::parse(bytes);
    if (!packet) {
        ++m_packetsDropped;
        return;
    }
    if (!m_settings.services.contains(packet->key().source.address)) {
        m_callers[packet->key().source.address] = sender;
        sprayPacket(*packet);
        return;
    }
    const auto caller = m_callers.find(packet->key().destination.address);
    if (caller == m_callers.end()) {
        ++m_packetsDropped;
        return;
    }
    ++m_packetsToCallers;
    sendLater(bytes, caller->second);
}

void Fabric::sprayPacket(const flow::PacketView &packet)
{
    if (m_settings.balancers.empty()) {
        ++m_packetsDropped;
        return;
    }
    const Endpoint &balancer = m_settings.balancers[m_random() % m_settings.balancers.size()];
    const std::size_t number = balancerNumber(balancer);
    ++m_packetsPerBalancer[number];
    FlowCount &count = m_flows[packet.key()];
    ++count.packets;
    count.balancers.insert(number);
    sendLater(packet.bytes(), toUdp(balancer));
}

std::size_t Fabric::balancerNumber(const Endpoint &balancer)
{
    const auto known = std::find(m_knownBalancers.begin(), m_knownBalancers.end(), balancer);
    if (known != m_knownBalancers.end()) {
        return static_cast<std::size_t>(known - m_knownBalancers.begin());
    }
    m_knownBalancers.push_back(balancer);
    m_packetsPerBalancer.push_back(0);
    return m_knownBalancers.size() - 1;
}

void Fabric::sendLater(std::span<const std::byte> bytes, const udp::endpoint &destination)
{
    if (m_settings.delay == std::chrono::microseconds::zero()) {
        sendNow(bytes, destination);
        return;
    }
    m_delayed.push_back({Clock::now() + m_settings.delay, destination, {bytes.begin(), bytes.end()}});
    if (m_delayed.size() == 1) {
        armDelayTimer();
    }
}

void Fabric::sendNow(std::span<const std::byte> bytes, const udp::endpoint &destination)
{
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), destination, 0, error);
    if (error) {
        ++m_packetsDropped;
    }
}

void Fabric::armDelayTimer()
{
    m_delayTimer.expires_at(m_delayed.front().due);
    m_delayTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendDuePackets();
        }
    });
}

void Fabric::sendDuePackets()
{
    const TimePoint now = Clock::now();
    while (!m_delayed.empty() && m_delayed.front().due <= now) {
        sendNow(m_delayed.front().bytes, m_delayed.front().destination);
        m_delayed.pop_front();
    }
    if (!m_delayed.empty()) {
        armDelayTimer();
    }
}

} // namespace samphireswitch::standin
