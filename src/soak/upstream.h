#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "soak/promisecheck.h"
#include "soak/requestformat.h"
#include "soak/stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace samphireswitch::soak {

struct UpstreamSettings
{
    /** As `upstream-3`. */
    std::string name;
    std::string pool;
    std::string failureDomain;
    /** Where it takes packets (UDP) and health probes (TCP). */
    Endpoint address;
    /** The agent's address for its packets. */
    Endpoint outbound;
    /** The agent's address for its reports. */
    Endpoint reports;
    unsigned slots = 4;
    /** Requests that wait for a slot, for each slot, until it takes no further flow. */
    unsigned waitingPerSlot = 4;
    /** It closes flows that are idle for longer; 0: never. */
    std::chrono::milliseconds idleClose {0};
    std::chrono::milliseconds reportInterval {1000};
    /** How long it serves after the acknowledged report that it leaves. */
    std::chrono::milliseconds drain {3000};
    /** Whether it listens for health probes (TCP). Without a listener, connections to its address are refused. */
    bool acceptsProbes = true;
    /** Sequence of the first report of a run. */
    std::uint64_t firstSequence = 1;
    /** Share of its reports after which another writer calls its agent. */
    double otherWriterShare = 0;
    /** The time of day that it reads at a start is off by up to so much, either way. */
    std::chrono::milliseconds longestClockStep {0};
    /** It gives packets of flows that it does not hold back after this time at the latest. */
    std::chrono::milliseconds longestReturn {0};
    /** How long it stays cold after a start during the load, and how many new flows per second it bears then. */
    std::chrono::milliseconds slowStart {0};
    double coldRequestsPerSecond = 0;
    /** Its work takes so many times as long as the callers ask for. */
    double workFactor = 1;
    std::uint64_t seed = 1;
};

/** An upstream that ends the callers' flows itself. PROTOCOL.md, sections Flows and Hosts. */
class Upstream
{
public:
    Upstream(boost::asio::io_context &context, const UpstreamSettings &settings, PromiseCheck &check);

    /** Begins a run with a new identity, cold if @p isCold. Fails with ResultCode::SocketError. */
    Result<void> start(bool isCold);

    /** Ends the run and all its flows without a word. */
    void crash();

    /** Reports that it leaves, serves on for a while, departs and ends; then calls @p done. */
    void leave(std::function<void()> done);

    /** Lets it neither read nor write for a while, as a frozen process. */
    void setFrozen(bool frozen);

    const UpstreamSettings &settings() const;

private:
    enum class Phase { HalfOpen, Open };

    struct Flow
    {
        Phase phase = Phase::HalfOpen;
        std::uint32_t initialSequence = 0;
        std::uint32_t callerInitialSequence = 0;
        TimePoint begunAt;
        /** When the latest packet of the caller came, or the latest answer was written. */
        TimePoint activeAt;
        std::unique_ptr<Stream> stream;
        std::string received;
        unsigned requestsUnderWay = 0;
    };

    struct Work
    {
        flow::FlowKey key;
        RequestHead request;
    };

    void receive();
    void readAll();
    void handle(const std::string &bytes);
    void firstPacket(const Packet &packet, const std::string &bytes, TimePoint now);
    void otherPacket(const Packet &packet, const std::string &bytes, TimePoint now);
    void openFlow(const flow::FlowKey &key, Flow &flow);
    void takeRequests(const flow::FlowKey &key, Flow &flow, TimePoint now);
    void startWork();
    void finish(const Work &work);
    void send(const flow::Segment &head, std::string_view data);
    void sendBytes(const std::string &bytes);
    /** Gives a packet back that it cannot take, maybe late. */
    void giveBack(const std::string &bytes);
    void sendReset(const Packet &packet);
    void acceptProbes();
    void report();
    void sendReport();
    /**
     * Calls the agent as another writer: a report for another service, of the address of no upstream or from another
     * failure domain, or the departure of a run that nobody knows.
     */
    void callAsOtherWriter();
    void depart();
    void tick();
    void endFlow(const flow::FlowKey &key);
    bool isCurrent(unsigned run) const;

    boost::asio::io_context &m_context;
    UpstreamSettings m_settings;
    PromiseCheck &m_check;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_drainTimer;
    std::mt19937_64 m_random;
    std::array<char, 2048> m_buffer {};
    /** Counts the runs; handlers of an earlier run do nothing. */
    unsigned m_run = 0;
    bool m_isRunning = false;
    bool m_isFrozen = false;
    /** A packet has arrived while it was frozen, and it does not wait for more. */
    bool m_isPaused = false;
    bool m_isLeaving = false;
    bool m_leaveAcknowledged = false;
    std::function<void()> m_left;
    std::uint64_t m_sequence = 0;
    /** Apart from m_random, so that a seed keeps its other choices. */
    std::mt19937_64 m_disturbance;
    std::chrono::milliseconds m_startedSinceEpoch {0};
    TimePoint m_coldUntil;
    std::map<flow::FlowKey, Flow> m_flows;
    std::set<flow::FlowKey> m_ended;
    std::deque<Work> m_waiting;
    /** Work that was done while it was frozen. */
    std::deque<Work> m_finished;
    unsigned m_busySlots = 0;
};

} // namespace samphireswitch::soak
