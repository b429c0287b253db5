#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "soak/fabric.h"
#include "soak/promisecheck.h"
#include "soak/requestformat.h"
#include "soak/stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace samphireswitch::soak {

/** One kind of request and how many callers there are. */
struct RequestKind
{
    std::string name;
    /** Address and port of the route. */
    Endpoint route;
    std::uint32_t bodySize = 0;
    std::uint32_t answerSize = 0;
    std::uint32_t workMilliseconds = 0;
    /** New flows a second, each for one request. */
    double flowsPerSecond = 0;
    /** Flows that are kept open for one request after the other. */
    unsigned keptFlows = 0;
    /** The route exists, so that requests of calm times are answered. */
    bool isServed = true;
    /** Pause between two requests of a flow that is kept open. */
    std::chrono::milliseconds pause {250};
    /** Callers give up so long after the beginning of a request. */
    std::chrono::milliseconds timeBudget {4000};
};

/** The most ports that callers use at one address. */
constexpr unsigned s_mostCallerPorts = 50000;

/** From which addresses and ports callers open flows. */
struct CallerSettings
{
    /** Flows begin at each address in turn. */
    unsigned addresses = 1;
    /** Ports of each address; one whose flow has ended is used again in its turn. */
    unsigned ports = s_mostCallerPorts;
};

/** What became of the requests. */
struct RequestCounts
{
    std::uint64_t answered = 0;
    /** Reset before the flow was open: not run. */
    std::uint64_t refused = 0;
    /** No upstream answered the first packets: not run. */
    std::uint64_t unopened = 0;
    /** Reset while the flow was open. */
    std::uint64_t broken = 0;
    /** No answer within the time budget. */
    std::uint64_t late = 0;
};

/** A request that got no answer, as its caller would complain of it. */
struct FailedRequest
{
    TimePoint at;
    std::string kind;
    /** `refused`, `unopened`, `broken` or `late`, as in RequestCounts. */
    std::string outcome;
    flow::FlowKey flow;
};

/** All callers: they open flows, send requests and compare the answers. PROTOCOL.md, section Flows. */
class Callers
{
public:
    Callers(boost::asio::io_context &context,
            Fabric &fabric,
            PromiseCheck &check,
            const CallerSettings &settings,
            std::uint64_t seed);

    /** Binds a socket to which the agents send. Fails with ResultCode::SocketError. */
    Result<void> listen(const Endpoint &endpoint);

    /** Begins to open flows from the addresses of listen(). */
    void start();

    /** Names the process behind an address, for resets. */
    void nameSender(std::uint32_t address, std::string name);

    void add(const RequestKind &kind);
    /** Requests to the route go on with another expectation. */
    void setServed(const Endpoint &route, bool isServed);

    /** From now on every request to a served route has to be answered. */
    void expectAnswers();

    /** Begins no more requests. */
    void finish();

    /** Lets all callers neither read nor send for a while. */
    void setFrozen(bool frozen);

    bool hasRequestsUnderWay() const;
    const std::map<std::string, RequestCounts> &counts() const;
    /** The first failed requests to served routes; a bounded number. */
    const std::vector<FailedRequest> &failures() const;

private:
    struct Kind
    {
        RequestKind settings;
        /** Flows that are due, with the fraction of the next one. */
        double due = 0;
        unsigned open = 0;
    };

    struct Flow
    {
        std::size_t kind = 0;
        std::uint32_t initialSequence = 0;
        std::uint32_t firstPackets = 0;
        TimePoint begunAt;
        std::unique_ptr<Stream> stream;
        /** The request under way. */
        std::optional<RequestHead> request;
        TimePoint requestBegunAt;
        bool isExpected = false;
        TimePoint nextRequestAt;
        std::string received;
        bool isClosing = false;
    };

    /** A callers' address. */
    struct Source
    {
        Source(boost::asio::io_context &context, const Endpoint &boundTo);

        boost::asio::ip::udp::socket socket;
        Endpoint endpoint;
        std::uint16_t nextPort;
        /** A packet has arrived while the callers stood still, and nobody waits for more. */
        bool isPaused = false;
    };

    using Flows = std::map<flow::FlowKey, Flow>;

    void receive(Source &source);
    void readAll(Source &source);
    void handle(const std::string &bytes, const std::string &sender);
    void handleReset(Flows::iterator flow, const Packet &packet, const std::string &sender, TimePoint now);
    /** Compares the number and the sender of a reset with the flow; false if it does not end the flow. */
    bool checkReset(const flow::FlowKey &key,
                    const Flow &flow,
                    const Packet &packet,
                    const std::string &sender,
                    TimePoint now);
    void handleAnswer(Flows::iterator flow, const Packet &packet, TimePoint now);
    void takeAnswer(const flow::FlowKey &key, Flow &flow, TimePoint now);
    void tick();
    void advanceAll(TimePoint now);
    void startFlows(TimePoint now);
    /** False if no port is free. */
    bool openFlow(std::size_t kind, TimePoint now);
    /** The next port at the next address from which no flow to @p route is under way; none if all are in use. */
    std::optional<flow::FlowKey> nextKey(const Endpoint &route);
    void beginRequest(Flow &flow, TimePoint now);
    void sendFirstPacket(const flow::FlowKey &key, Flow &flow, TimePoint now);
    /** Repeats packets and ends requests whose time is over; returns false if the flow ends. */
    bool advance(const flow::FlowKey &key, Flow &flow, TimePoint now);
    void endRequest(const flow::FlowKey &key, Flow &flow, std::uint64_t RequestCounts::*outcome, TimePoint now);
    void abort(const flow::FlowKey &key, Flow &flow, TimePoint now);
    Flows::iterator erase(Flows::iterator flow);

    boost::asio::io_context &m_context;
    Fabric &m_fabric;
    PromiseCheck &m_check;
    CallerSettings m_settings;
    std::vector<std::unique_ptr<Source>> m_sources;
    std::size_t m_nextSource = 0;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::array<char, 2048> m_buffer {};
    std::map<std::uint32_t, std::string> m_senders;
    std::vector<Kind> m_kinds;
    Flows m_flows;
    std::map<std::string, RequestCounts> m_counts;
    std::vector<FailedRequest> m_failures;
    std::uint64_t m_nextRequest = 1;
    TimePoint m_lastTick;
    bool m_answersExpected = false;
    bool m_isFinishing = false;
    bool m_isFrozen = false;
};

} // namespace samphireswitch::soak
