// Measures the agent's packet path with many held flows: processor time of its thread for each packet, and its memory
// for each flow. One process contains the data path, an upstream that repeats what it gets, and the callers.

#include "agent/agentdatapath.h"
#include "protocol/datagramcodec.h"
#include "tests/testcaller.h"

#include <gflags/gflags.h>

#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>
#include <vector>

DEFINE_uint32(flows, 2000, "number of held flows; each needs an open file");
DEFINE_uint32(outstanding, 64, "number of flows that wait for their answer at the same time");
DEFINE_uint32(seconds, 5, "duration of the exchange of messages, and of the idle time before it");
DEFINE_uint32(payload, 100, "bytes of each message and each answer");

namespace samphireswitch::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t s_loopback = 0x7f000001;
constexpr std::uint32_t s_serviceAddress = 0x0a140001;
constexpr std::uint32_t s_callerAddress = 0x0a630001;
constexpr std::uint16_t s_firstCallerPort = 1024;
constexpr std::uint32_t s_initialSequence = 1000;
constexpr std::uint32_t s_openedAtOnce = 100;
constexpr auto s_patience = 10s;

[[noreturn]] void fail(const char *what)
{
    std::perror(what);
    std::exit(EXIT_FAILURE);
}

sockaddr_in socketAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(s_loopback);
    address.sin_port = htons(port);
    return address;
}

int boundSocket(int type)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    const sockaddr_in address = socketAddress(0);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        fail("bind");
    }
    return descriptor;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** Sends back what it receives. A process of its own, because the limit of open files is one for each process. */
class EchoUpstream
{
public:
    EchoUpstream()
    {
        ::listen(m_listener, SOMAXCONN);
        m_process = ::fork();
        if (m_process == 0) {
            watch(m_listener);
            run();
        }
    }

    ~EchoUpstream()
    {
        ::kill(m_process, SIGTERM);
        ::waitpid(m_process, nullptr, 0);
    }

    EchoUpstream(const EchoUpstream &) = delete;
    EchoUpstream &operator=(const EchoUpstream &) = delete;

    std::uint16_t port() const
    {
        return portOf(m_listener);
    }

private:
    void watch(int descriptor)
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
    }

    [[noreturn]] void run()
    {
        std::array<epoll_event, 256> events {};
        while (true) {
            const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
            for (int i = 0; i < count; ++i) {
                serve(events[static_cast<std::size_t>(i)].data.fd);
            }
        }
    }

    void serve(int descriptor)
    {
        if (descriptor == m_listener) {
            watch(::accept(m_listener, nullptr, nullptr));
            return;
        }
        std::array<char, 4096> buffer {};
        const ssize_t size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            ::close(descriptor);
            return;
        }
        ::send(descriptor, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL);
    }

    int m_listener = boundSocket(SOCK_STREAM);
    int m_epoll = ::epoll_create1(0);
    pid_t m_process = -1;
};

struct Caller
{
    std::uint32_t sequence = s_initialSequence;
    std::uint32_t expected = 0;
    bool established = false;
    bool waiting = false;
};

class AgentBench
{
public:
    int run()
    {
        startAgent();
        const std::size_t heapBefore = ::mallinfo2().uordblks;
        openFlows();
        const std::size_t heapAfter = ::mallinfo2().uordblks;
        const auto idleStart = processorTime();
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
        const auto idle = processorTime() - idleStart;
        exchangeMessages();
        std::printf("flows %u, heap for each flow %zu B, idle load %.2f%% of a core\n",
                    FLAGS_flows,
                    (heapAfter - heapBefore) / FLAGS_flows,
                    100.0 * seconds(idle) / FLAGS_seconds);
        std::printf("exchanges %llu (%.0f/s), packets %llu, processor time for each packet %.2f us, load %.0f%%\n",
                    static_cast<unsigned long long>(m_answers),
                    static_cast<double>(m_answers) / m_elapsed,
                    static_cast<unsigned long long>(m_packets),
                    1e6 * m_processorSeconds / static_cast<double>(m_packets),
                    100 * m_processorSeconds / m_elapsed);
        return EXIT_SUCCESS;
    }

    ~AgentBench()
    {
        if (m_thread.joinable()) {
            m_path->requestStop();
            m_thread.join();
        }
    }

private:
    static double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    std::chrono::nanoseconds processorTime()
    {
        clockid_t clock {};
        timespec time {};
        ::pthread_getcpuclockid(m_thread.native_handle(), &clock);
        ::clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    void startAgent()
    {
        const int probe = boundSocket(SOCK_DGRAM);
        agent::AgentDataSettings settings;
        settings.host = "h1";
        settings.service = "tally";
        settings.dataAddress = {s_loopback, portOf(probe)};
        ::close(probe);
        settings.fabricAddress = {s_loopback, portOf(m_fabric)};
        settings.upstreamAddress = s_loopback;
        m_self = {AgentId::fromHostName(settings.host), settings.dataAddress};
        m_path = std::make_unique<agent::AgentDataPath>(settings, m_events);
        if (!m_path->open()) {
            fail("open");
        }
        admission::ServiceTerms terms;
        terms.service = ServiceId::fromName("tally");
        terms.address = s_serviceAddress;
        terms.feedPort = m_upstream.port();
        terms.slots = 1;
        terms.connections = UINT16_MAX;
        terms.deadline = 2000ms;
        terms.namesHost = true;
        terms.generation = 1;
        m_path->post(admission::ServiceTermsChanged {terms});
        m_path->post(admission::MembersChanged {{m_self}, 1});
        m_thread = std::thread([this] { m_path->run(); });
        const sockaddr_in agent = socketAddress(settings.dataAddress.port);
        (void)::connect(m_balancer, reinterpret_cast<const sockaddr *>(&agent), sizeof(agent));
    }

    void send(std::size_t index, std::uint8_t flags, std::string_view payload = {})
    {
        const Caller &caller = m_callers[index];
        const auto port = static_cast<std::uint16_t>(s_firstCallerPort + index);
        const flow::FlowKey key {{s_callerAddress, port}, {s_serviceAddress, m_upstream.port()}};
        protocol::EnvelopeHeader header;
        header.service = ServiceId::fromName("tally");
        header.generation = 1;
        header.origin = {s_loopback, portOf(m_fabric)};
        header.chain = {m_self};
        header.eligible = 1;
        const auto packet = tests::makePacket(key, {caller.sequence, caller.expected, flags, payload});
        const auto bytes = m_codec.encodeEnvelope(header, packet);
        if (!bytes || ::send(m_balancer, bytes->data(), bytes->size(), 0) < 0) {
            fail("send");
        }
    }

    /** Handles one packet of the agent; returns false if none came in time. */
    bool receive()
    {
        pollfd descriptor {m_fabric, POLLIN, 0};
        if (::poll(&descriptor, 1, static_cast<int>(std::chrono::milliseconds(s_patience).count())) <= 0) {
            return false;
        }
        std::array<std::byte, 2048> buffer {};
        const ssize_t size = ::recv(m_fabric, buffer.data(), buffer.size(), 0);
        const auto view = flow::PacketView::parse(std::span(buffer).first(static_cast<std::size_t>(size)));
        if (view) {
            handle(*view);
        }
        return true;
    }

    void handle(const flow::PacketView &packet)
    {
        const std::size_t index = packet.key().destination.port - s_firstCallerPort;
        Caller &caller = m_callers[index];
        if (packet.isSyn() && !caller.established) {
            caller.established = true;
            caller.sequence += 1;
            caller.expected = packet.sequenceNumber() + 1;
            ++m_established;
            send(index, TH_ACK);
            return;
        }
        if (packet.payloadSize() == 0 || packet.sequenceNumber() != caller.expected) {
            return;
        }
        caller.expected += static_cast<std::uint32_t>(packet.payloadSize());
        caller.waiting = false;
        ++m_answers;
        send(index, TH_ACK);
    }

    void openFlows()
    {
        for (std::uint32_t first = 0; first < FLAGS_flows; first += s_openedAtOnce) {
            const std::uint32_t end = std::min(first + s_openedAtOnce, FLAGS_flows);
            for (std::uint32_t index = first; index < end; ++index) {
                send(index, TH_SYN);
            }
            while (m_established < end) {
                if (!receive()) {
                    fail("no SYN-ACK");
                }
            }
        }
        std::this_thread::sleep_for(1s);
    }

    void exchangeMessages()
    {
        std::mt19937 random(1);
        const std::string payload(FLAGS_payload, 'x');
        const auto packets = [this] { return m_path->status()->packetsIn + m_path->status()->packetsOut; };
        const std::uint64_t packetsBefore = packets();
        const auto processorBefore = processorTime();
        const TimePoint start = Clock::now();
        std::uint64_t sent = 0;
        while (Clock::now() - start < std::chrono::seconds(FLAGS_seconds)) {
            while (sent < m_answers + std::min(FLAGS_outstanding, FLAGS_flows)) {
                const std::size_t index = random() % FLAGS_flows;
                if (m_callers[index].waiting) {
                    continue;
                }
                send(index, TH_ACK | TH_PUSH, payload);
                m_callers[index].sequence += FLAGS_payload;
                m_callers[index].waiting = true;
                ++sent;
            }
            if (!receive()) {
                fail("no answer");
            }
        }
        m_elapsed = seconds(Clock::now() - start);
        m_processorSeconds = seconds(processorTime() - processorBefore);
        // The status is published a few times a second.
        std::this_thread::sleep_for(500ms);
        m_packets = packets() - packetsBefore;
    }

    EchoUpstream m_upstream;
    int m_fabric = boundSocket(SOCK_DGRAM);
    int m_balancer = boundSocket(SOCK_DGRAM);
    telemetry::EventLog m_events {"agent", 1000};
    protocol::DatagramCodec m_codec;
    protocol::Candidate m_self;
    std::unique_ptr<agent::AgentDataPath> m_path;
    std::thread m_thread;
    std::vector<Caller> m_callers = std::vector<Caller>(FLAGS_flows);
    std::uint32_t m_established = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_packets = 0;
    double m_elapsed = 0;
    double m_processorSeconds = 0;
};

void raiseFileLimit()
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

} // namespace samphireswitch::bench

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    samphireswitch::bench::raiseFileLimit();
    return samphireswitch::bench::AgentBench().run();
}
