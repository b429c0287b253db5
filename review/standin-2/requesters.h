#pragma once

#include "base/endpoint.h"
#include "judge.h"
#include "record.h"
#include "soak/fabric.h"
#include "soak/packet.h"
#include "soak/stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace samphireswitch::review {

/** What a requester does on one flow. */
struct FlowPlan
{
    Endpoint route;
    /** Requests, one after the other. The flow is closed after the last answer. */
    unsigned requests = 1;
    /** From an answer to the next request. */
    std::chrono::milliseconds pause {0};
};

/** Requesters as PROTOCOL.md describes them, section Flows. They do not repeat failed requests. */
class Requesters
{
public:
    Requesters(boost::asio::io_context &context, soak::Fabric &fabric, Judge &judge, Record &record);

    /** Binds the address of the requesters. */
    bool start(const Endpoint &endpoint);

    /** Gives the process that sends from @p address a name. */
    void nameSender(std::uint32_t address, std::string name);

    void open(const FlowPlan &plan);

    std::size_t answered() const;
    std::size_t unanswered() const;

private:
    struct Flow
    {
        FlowPlan plan;
        std::uint32_t initialSequence = 0;
        TimePoint begunAt;
        unsigned firstPackets = 0;
        /** Nothing until the host has answered the first packet. */
        std::unique_ptr<soak::Stream> stream;
        std::string received;
        unsigned begun = 0;
        std::string request;
        TimePoint requestAt;
        TimePoint nextRequestAt;
        bool isClosing = false;
    };

    using Flows = std::map<flow::FlowKey, Flow>;

    void receive();
    void handle(const std::string &bytes, const std::string &sender);
    void handleReset(Flows::iterator found, const soak::Packet &packet, const std::string &sender);
    void begin(const flow::FlowKey &key, Flow &flow);
    void takeAnswer(const flow::FlowKey &key, Flow &flow);
    void sendFirstPacket(const flow::FlowKey &key, Flow &flow);
    /** Returns whether the flow goes on. */
    bool advance(const flow::FlowKey &key, Flow &flow);
    void fail(const flow::FlowKey &key, Flow &flow, const std::string &reason);
    void tick();

    soak::Fabric &m_fabric;
    Judge &m_judge;
    Record &m_record;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::array<char, 2048> m_buffer {};
    std::map<std::uint32_t, std::string> m_senders;
    Flows m_flows;
    Endpoint m_endpoint;
    std::uint16_t m_nextPort = 20000;
    unsigned m_nextRequest = 1;
    std::size_t m_answered = 0;
    std::size_t m_unanswered = 0;
};

} // namespace samphireswitch::review
