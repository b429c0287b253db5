// Forwarding rate of one balancer on loopback against a bare receive-and-send loop with the same batching.

#include "balancer/balancerdatapath.h"
#include "base/time.h"
#include "bench/benchtraffic.h"
#include "protocol/datagramcodec.h"

#include <gflags/gflags.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

DEFINE_uint32(hints, 300000, "number of hints held");
DEFINE_uint32(rounds, 9, "measurements of each of the two loops, in alternation");
DEFINE_uint32(round_ms, 700, "length of a measurement in milliseconds");
DEFINE_uint32(link_mbps,
              0,
              "rate of the link that the balancer divides, which also gives hints a socket of their own; 0: none");
DEFINE_uint32(generators, 2, "number of threads that send packets");

namespace samphireswitch::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t s_loopback = 0x7f000001;
constexpr std::size_t s_batchSize = 64;
constexpr std::size_t s_bufferBytes = 145 * std::size_t {64};
constexpr int s_socketBufferBytes = 4 * 1024 * 1024;
constexpr std::uint32_t s_services = 10;
constexpr std::uint32_t s_members = 5;
constexpr std::uint32_t s_kilobitsPerMegabit = 1000;
// Prime, so that consecutive packets belong to flows that are far apart in memory, and every flow gets its turn.
constexpr std::uint32_t s_flowStride = 7919;
// A loop reaches its steady rate within a few batches.
constexpr std::chrono::milliseconds s_warmUp {100};

[[noreturn]] void fail(const char *action)
{
    std::perror(action);
    std::exit(1);
}

/** A UDP socket on a free loopback port. */
class UdpSocket
{
public:
    UdpSocket()
        : m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(s_loopback);
        if (m_socket < 0 || bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            fail("cannot open a UDP socket");
        }
        socklen_t size = sizeof(address);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_endpoint = {s_loopback, ntohs(address.sin_port)};
        const timeval wait {0, 50000};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &s_socketBufferBytes, sizeof(s_socketBufferBytes));
        setsockopt(m_socket, SOL_SOCKET, SO_SNDBUF, &s_socketBufferBytes, sizeof(s_socketBufferBytes));
    }

    ~UdpSocket()
    {
        release();
    }

    /** Closes the socket, so that another one can have its endpoint. */
    void release()
    {
        if (m_socket >= 0) {
            close(std::exchange(m_socket, -1));
        }
    }

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    int descriptor() const
    {
        return m_socket;
    }

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    int m_socket;
    Endpoint m_endpoint;
};

/** Buffers for one batch that are received into and sent from. */
class Batch
{
public:
    explicit Batch(std::size_t bufferBytes)
        : m_bufferBytes(bufferBytes)
        , m_buffer(s_batchSize * bufferBytes)
    {
        for (std::size_t index = 0; index < s_batchSize; ++index) {
            m_vectors[index] = {m_buffer.data() + index * bufferBytes, bufferBytes};
            m_messages[index].msg_hdr.msg_iov = &m_vectors[index];
            m_messages[index].msg_hdr.msg_iovlen = 1;
        }
    }

    std::span<std::byte> buffer(std::size_t index)
    {
        return std::span(m_buffer).subspan(index * m_bufferBytes, m_bufferBytes);
    }

    void setDestination(const Endpoint &destination)
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(destination.address);
        m_address.sin_port = htons(destination.port);
        for (mmsghdr &message : m_messages) {
            message.msg_hdr.msg_name = &m_address;
            message.msg_hdr.msg_namelen = sizeof(m_address);
        }
    }

    /** Number of datagrams received; 0 after a timeout. */
    std::size_t receive(int socket)
    {
        for (iovec &vector : m_vectors) {
            vector.iov_len = m_bufferBytes;
        }
        for (mmsghdr &message : m_messages) {
            message.msg_hdr.msg_name = nullptr;
            message.msg_hdr.msg_namelen = 0;
        }
        const int received = recvmmsg(socket, m_messages.data(), s_batchSize, MSG_WAITFORONE, nullptr);
        if (received < 0) {
            return 0;
        }
        const auto count = static_cast<std::size_t>(received);
        for (std::size_t index = 0; index < count; ++index) {
            m_vectors[index].iov_len = m_messages[index].msg_len;
        }
        return count;
    }

    /** Number of datagrams sent. */
    std::size_t send(int socket, std::size_t count)
    {
        const int sent = sendmmsg(socket, m_messages.data(), static_cast<unsigned>(count), 0);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }

private:
    std::size_t m_bufferBytes;
    std::vector<std::byte> m_buffer;
    std::array<iovec, s_batchSize> m_vectors {};
    std::array<mmsghdr, s_batchSize> m_messages {};
    sockaddr_in m_address {};
};

/** The loop that the balancer is compared with: it sends each datagram unchanged to one address. */
void runBareLoop(const UdpSocket &socket,
                 const Endpoint &destination,
                 const std::atomic<bool> &stop,
                 std::atomic<std::uint64_t> &forwarded)
{
    Batch batch(s_bufferBytes);
    while (!stop.load(std::memory_order_relaxed)) {
        const std::size_t count = batch.receive(socket.descriptor());
        if (count == 0) {
            continue;
        }
        batch.setDestination(destination);
        forwarded.fetch_add(batch.send(socket.descriptor(), count), std::memory_order_relaxed);
    }
}

/** Takes the datagrams that the loops send, as the agents would. */
void runSink(const UdpSocket &socket, const std::atomic<bool> &stop)
{
    Batch batch(s_bufferBytes);
    while (!stop.load(std::memory_order_relaxed)) {
        batch.receive(socket.descriptor());
    }
}

enum class Traffic { Hinted, FirstPackets };

/** What the generators send, and to whom. */
struct Load
{
    Endpoint target;
    Traffic traffic = Traffic::Hinted;
    std::size_t packetBytes = s_headerBytes;
    /** Pause between two batches; 0 sends as fast as possible. */
    std::chrono::microseconds pause {0};
};

/** Sends packets of @p load until @p stop. Generator @p index of several sends other flows than the others. */
void generate(const Load &load, std::uint32_t index, const std::atomic<bool> &stop)
{
    static std::atomic<std::uint32_t> nextNewFlow {0};
    const UdpSocket socket;
    Batch batch(load.packetBytes);
    batch.setDestination(load.target);
    for (std::size_t packet = 0; packet < s_batchSize; ++packet) {
        writeHeaders(batch.buffer(packet), load.traffic == Traffic::Hinted ? s_ackFlag : s_synFlag);
    }
    std::uint32_t flow = index * (FLAGS_hints / std::max(FLAGS_generators, 1U));
    while (!stop.load(std::memory_order_relaxed)) {
        std::uint32_t newFlow = 0;
        if (load.traffic == Traffic::FirstPackets) {
            newFlow = FLAGS_hints + nextNewFlow.fetch_add(s_batchSize, std::memory_order_relaxed);
        }
        for (std::size_t packet = 0; packet < s_batchSize; ++packet) {
            flow = (flow + s_flowStride) % FLAGS_hints;
            const auto number = load.traffic == Traffic::Hinted ? flow : newFlow + static_cast<std::uint32_t>(packet);
            writeKey(batch.buffer(packet), flowNumber(number, s_services));
        }
        batch.send(socket.descriptor(), s_batchSize);
        if (load.pause.count() > 0) {
            std::this_thread::sleep_for(load.pause);
        }
    }
}

/** CPU time that @p thread has used. */
std::chrono::nanoseconds cpuTime(std::thread &thread)
{
    clockid_t clock {};
    timespec time {};
    if (pthread_getcpuclockid(thread.native_handle(), &clock) != 0 || clock_gettime(clock, &time) != 0) {
        fail("cannot read the CPU time of a thread");
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

struct Rate
{
    double perSecond = 0;
    /** On a busy machine, this depends less on other processes. */
    double perCpuSecond = 0;
    /** Share of the time in which the thread ran. Well below 1, the generators or the machine set the rate. */
    double busy = 0;
};

/** Runs the generators of @p load while it measures how fast @p counter, which @p thread raises, grows. */
Rate rateUnderLoad(const Load &load, std::thread &thread, const std::function<std::uint64_t()> &counter)
{
    std::atomic<bool> stop {false};
    std::vector<std::thread> generators;
    for (std::uint32_t index = 0; index < FLAGS_generators; ++index) {
        generators.emplace_back([&, index] { generate(load, index, stop); });
    }
    std::this_thread::sleep_for(s_warmUp);
    const std::uint64_t before = counter();
    const auto cpuBefore = cpuTime(thread);
    const TimePoint start = Clock::now();
    std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_round_ms));
    const std::uint64_t after = counter();
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    const std::chrono::duration<double> cpuElapsed = cpuTime(thread) - cpuBefore;
    stop.store(true);
    for (std::thread &generator : generators) {
        generator.join();
    }
    // Lets the loop empty its socket, so that the next measurement starts without a backlog.
    std::this_thread::sleep_for(s_warmUp);
    const auto packets = static_cast<double>(after - before);
    return {packets / elapsed.count(), packets / cpuElapsed.count(), cpuElapsed / elapsed};
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/** A balancer, a bare loop and a sink, each with its thread. */
class ForwardingBench
{
public:
    ForwardingBench()
        : m_balancerAddress(m_reserved[0].endpoint())
        , m_hintAddress(FLAGS_link_mbps == 0 ? Endpoint {} : m_reserved[1].endpoint())
        , m_services(makeServices(s_services, s_members, m_sink.endpoint()))
        , m_path({m_balancerAddress,
                  FLAGS_hints,
                  settings::Delivery::Terminated,
                  m_hintAddress,
                  FLAGS_link_mbps * s_kilobitsPerMegabit},
                 m_events)
    {
        for (UdpSocket &socket : m_reserved) {
            socket.release();
        }
        if (!m_path.open()) {
            fail("cannot open the balancer's socket");
        }
        m_path.publish(1, m_services);
        m_balancerThread = std::thread([this] { m_path.run(); });
        m_bareThread = std::thread([this] { runBareLoop(m_bare, m_sink.endpoint(), m_stop, m_bareForwarded); });
        m_sinkThread = std::thread([this] { runSink(m_sink, m_stop); });
    }

    ~ForwardingBench()
    {
        m_stop.store(true);
        m_path.requestStop();
        m_balancerThread.join();
        m_bareThread.join();
        m_sinkThread.join();
    }

    ForwardingBench(const ForwardingBench &) = delete;
    ForwardingBench &operator=(const ForwardingBench &) = delete;

    void loadHints()
    {
        // Fewer than the socket buffer holds.
        constexpr std::uint64_t maximumUnread = 2000;
        const UdpSocket socket;
        protocol::DatagramCodec codec;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        const Endpoint &destination = FLAGS_link_mbps == 0 ? m_balancerAddress : m_hintAddress;
        address.sin_addr.s_addr = htonl(destination.address);
        address.sin_port = htons(destination.port);
        // The first datagram makes the balancer's thread adopt the table.
        for (std::uint32_t number = 0; number < FLAGS_hints; ++number) {
            const auto &members = m_services[number % s_services].eligible;
            const auto owner = members[number % members.size()];
            const auto hint = codec.encode(protocol::OwnerHint {flowNumber(number, s_services), owner, 1});
            sendto(socket.descriptor(),
                   hint->data(),
                   hint->size(),
                   0,
                   reinterpret_cast<const sockaddr *>(&address),
                   sizeof(address));
            while (m_path.status().hintsLearned + maximumUnread < number) {
                std::this_thread::sleep_for(100us);
            }
        }
        while (m_path.status().hintsLearned < FLAGS_hints) {
            std::this_thread::sleep_for(1ms);
        }
        std::printf(
            "hints learned %u, held %llu\n", FLAGS_hints, static_cast<unsigned long long>(m_path.status().hintsHeld));
    }

    void compare(const char *name, Traffic traffic, std::size_t packetBytes)
    {
        std::vector<double> balancer;
        std::vector<double> bare;
        std::vector<double> ratios;
        std::vector<double> cpuRatios;
        std::vector<double> bareBusy;
        std::vector<double> balancerBusy;
        for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
            const Rate bareRate = rateUnderLoad(
                {m_bare.endpoint(), traffic, packetBytes}, m_bareThread, [this] { return m_bareForwarded.load(); });
            const Rate balancerRate = rateUnderLoad({m_balancerAddress, traffic, packetBytes},
                                                    m_balancerThread,
                                                    [this] { return m_path.status().packetsForwarded; });
            bare.push_back(bareRate.perSecond);
            balancer.push_back(balancerRate.perSecond);
            ratios.push_back(balancerRate.perSecond / bareRate.perSecond);
            cpuRatios.push_back(balancerRate.perCpuSecond / bareRate.perCpuSecond);
            bareBusy.push_back(bareRate.busy);
            balancerBusy.push_back(balancerRate.busy);
        }
        const auto [lowest, highest] = std::minmax_element(ratios.begin(), ratios.end());
        std::printf("%-8s %6zu %10.0f %10.0f %7.3f %7.3f %7.3f %10.3f %10.2f %10.2f\n",
                    name,
                    packetBytes,
                    median(bare),
                    median(balancer),
                    median(ratios),
                    *lowest,
                    *highest,
                    median(cpuRatios),
                    median(bareBusy),
                    median(balancerBusy));
        std::fflush(stdout);
    }

    /** New flows at a steady rate below the limit of the loop: every one must be forwarded. */
    void pacedFirstPackets()
    {
        const balancer::BalancerDataStatus before = m_path.status();
        const Rate rate = rateUnderLoad({m_balancerAddress, Traffic::FirstPackets, s_headerBytes, 5ms},
                                        m_balancerThread,
                                        [this] { return m_path.status().firstPackets; });
        const balancer::BalancerDataStatus after = m_path.status();
        std::printf("paced: %.0f new flows/s, %llu first packets, %llu forwarded, %llu hints held\n",
                    rate.perSecond,
                    static_cast<unsigned long long>(after.firstPackets - before.firstPackets),
                    static_cast<unsigned long long>(after.packetsForwarded - before.packetsForwarded),
                    static_cast<unsigned long long>(after.hintsHeld));
    }

private:
    UdpSocket m_sink;
    UdpSocket m_bare;
    std::array<UdpSocket, 2> m_reserved;
    Endpoint m_balancerAddress;
    Endpoint m_hintAddress;
    std::vector<routing::RoutedService> m_services;
    telemetry::EventLog m_events {"balancer", 10000};
    balancer::BalancerDataPath m_path;
    std::atomic<bool> m_stop {false};
    std::atomic<std::uint64_t> m_bareForwarded {0};
    std::thread m_balancerThread;
    std::thread m_bareThread;
    std::thread m_sinkThread;
};

void run()
{
    ForwardingBench bench;
    bench.loadHints();
    std::printf("Packets per second; median of %u alternating rounds, with the lowest and highest ratio\n",
                FLAGS_rounds);
    std::printf("%-8s %6s %10s %10s %7s %7s %7s %10s %10s %10s\n",
                "packets",
                "bytes",
                "bare",
                "balancer",
                "ratio",
                "low",
                "high",
                "CPU ratio",
                "bare busy",
                "bal. busy");
    bench.compare("hinted", Traffic::Hinted, s_headerBytes);
    bench.compare("hinted", Traffic::Hinted, 1400);
    bench.compare("first", Traffic::FirstPackets, s_headerBytes);
    bench.pacedFirstPackets();
}

} // namespace

} // namespace samphireswitch::bench

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    samphireswitch::bench::run();
    return 0;
}
