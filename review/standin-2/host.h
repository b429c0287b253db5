#pragma once

#include "base/endpoint.h"
#include "judge.h"
#include "record.h"
#include "soak/packet.h"
#include "soak/stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace samphireswitch::review {

struct HostSettings
{
    /** As `upstream-3`. */
    std::string name;
    std::string service;
    std::string zone;
    /** Where it takes packets and health probes. */
    Endpoint address;
    /** Where its agent takes the packets that it sends. */
    Endpoint outbound;
    /** Where its agent takes status reports. */
    Endpoint reports;
    /** `sequence` of the first status report. */
    unsigned firstSequence = 0;
    /** How far the machine's time of day is ahead when the host starts. */
    std::chrono::milliseconds clockAhead {0};
    /** Time from a request to its answer. */
    std::chrono::milliseconds work {0};
    std::uint64_t seed = 1;
};

/** An application host as PROTOCOL.md describes it, sections Flows, Hosts and Service discovery. Never gets full. */
class Host
{
public:
    Host(boost::asio::io_context &context, const HostSettings &settings, Judge &judge, Record &record);

    /** Begins to take packets and sends the first status report. */
    bool start();

    const HostSettings &settings() const;

    /** Another writer sends a status report to the agent of this host, for a service that nobody configured. */
    void reportForeignService();

    /** Number of flows that are open here. */
    std::size_t openFlows() const;

private:
    struct Flow
    {
        std::uint32_t initialSequence = 0;
        std::uint32_t requesterSequence = 0;
        /** Nothing until the end of the handshake. */
        std::unique_ptr<soak::Stream> stream;
        std::string received;
    };

    void receive();
    void handle(const std::string &bytes);
    void firstPacket(const soak::Packet &packet);
    void otherPacket(const soak::Packet &packet, const std::string &bytes);
    void runRequests(const flow::FlowKey &key, Flow &flow);
    void answer(const flow::FlowKey &key, const std::string &request);
    void answerEnded(const soak::Packet &packet);
    void send(const flow::Segment &head, std::string_view data);
    void acceptProbes();
    void report();
    void tick();

    boost::asio::io_context &m_context;
    HostSettings m_settings;
    Judge &m_judge;
    Record &m_record;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_tickTimer;
    std::mt19937_64 m_random;
    std::array<char, 2048> m_buffer {};
    std::map<flow::FlowKey, Flow> m_flows;
    std::set<flow::FlowKey> m_ended;
    /** Of the next status report. */
    unsigned m_sequence = 0;
    std::chrono::milliseconds m_born {0};
    bool m_isRunning = false;
};

} // namespace samphireswitch::review
