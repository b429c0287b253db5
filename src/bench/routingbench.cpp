// Cost of the balancer's decision for one packet, its heap allocations, and the memory of hints.

#include "bench/benchtraffic.h"
#include "flow/packetview.h"
#include "routing/flowrouter.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <random>

DEFINE_uint32(flows, 500000, "number of hinted flows");
DEFINE_uint32(rounds, 7, "measurements of each case; the table shows the fastest, the median and the slowest");

namespace {

std::atomic<std::uint64_t> allocations {0};

} // namespace

// Counts every allocation of the program, so that one inside a decision cannot go unnoticed. Not inlined, because g++
// 12 would otherwise report the free() of a delete as mismatched with a new that it did not inline.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace samphireswitch::bench {

namespace {

constexpr std::uint32_t s_defaultServices = 1000;
constexpr std::uint32_t s_defaultMembers = 5;
constexpr Endpoint s_agent {0x7f000001, 7100};
constexpr routing::SipHashKey s_hintKey {0x243f6a8885a308d3ULL, 0x13198a2e03707344ULL};

struct Case
{
    const char *traffic;
    std::uint32_t services;
    std::uint32_t members;
    std::uint8_t flags;
    bool hinted;
};

struct Measurement
{
    /** Depends least on other processes of the machine. */
    double fastestNanoseconds = 0;
    double medianNanoseconds = 0;
    double slowestNanoseconds = 0;
    std::uint64_t allocations = 0;
    /** Share of the decisions with a chain of the expected length. */
    double expectedShare = 0;
};

/** Parses and decides one packet for each key. Returns the number of chains of length @p expectedLength. */
std::uint64_t decideAll(routing::FlowRouter &router,
                        const std::vector<flow::FlowKey> &keys,
                        std::uint8_t flags,
                        std::size_t expectedLength)
{
    std::array<std::byte, s_headerBytes> packet {};
    writeHeaders(packet, flags);
    std::uint64_t expected = 0;
    for (const flow::FlowKey &key : keys) {
        writeKey(packet, key);
        const auto view = flow::PacketView::parse(packet);
        const routing::RouteDecision decision = router.route(view->segment(), TimePoint());
        const auto *forward = std::get_if<routing::Forward>(&decision);
        expected += forward != nullptr && forward->header.chain.size() == expectedLength ? 1 : 0;
    }
    return expected;
}

std::vector<flow::FlowKey> shuffledKeys(std::uint32_t first, std::uint32_t services, std::mt19937_64 &random)
{
    std::vector<flow::FlowKey> keys;
    keys.reserve(FLAGS_flows);
    for (std::uint32_t number = first; number < first + FLAGS_flows; ++number) {
        keys.push_back(flowNumber(number, services));
    }
    std::shuffle(keys.begin(), keys.end(), random);
    return keys;
}

routing::FlowRouter makeRouter(const Case &benchCase)
{
    routing::FlowRouter router({0x7f000001, 7000}, routing::HintTable(FLAGS_flows, s_hintKey));
    const auto services = makeServices(benchCase.services, benchCase.members, s_agent);
    router.replace(std::make_shared<const routing::RoutingTable>(1, services));
    for (std::uint32_t number = 0; number < FLAGS_flows; ++number) {
        const flow::FlowKey key = flowNumber(number, benchCase.services);
        const auto &members = services[number % benchCase.services].eligible;
        router.learn({key, members[number % members.size()], 1}, TimePoint());
    }
    return router;
}

Measurement measure(const Case &benchCase)
{
    std::mt19937_64 random(20261204);
    routing::FlowRouter router = makeRouter(benchCase);
    const std::uint32_t first = benchCase.hinted ? 0 : FLAGS_flows;
    const auto keys = shuffledKeys(first, benchCase.services, random);
    const std::size_t expectedLength = benchCase.hinted ? 1 : benchCase.members;
    Measurement result;
    std::vector<double> costs;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        const std::uint64_t allocationsBefore = allocations.load();
        const TimePoint start = Clock::now();
        const std::uint64_t expected = decideAll(router, keys, benchCase.flags, expectedLength);
        const std::chrono::duration<double, std::nano> elapsed = Clock::now() - start;
        result.allocations += allocations.load() - allocationsBefore;
        result.expectedShare = static_cast<double>(expected) / static_cast<double>(keys.size());
        costs.push_back(elapsed.count() / static_cast<double>(keys.size()));
    }
    std::sort(costs.begin(), costs.end());
    result.fastestNanoseconds = costs.front();
    result.medianNanoseconds = costs[costs.size() / 2];
    result.slowestNanoseconds = costs.back();
    return result;
}

void printCase(const Case &benchCase)
{
    const Measurement result = measure(benchCase);
    std::printf("%-16s %8u %8u %10.1f %10.1f %10.1f %8llu %9.2f\n",
                benchCase.traffic,
                benchCase.services,
                benchCase.members,
                result.fastestNanoseconds,
                result.medianNanoseconds,
                result.slowestNanoseconds,
                static_cast<unsigned long long>(result.allocations),
                result.expectedShare * 100);
}

void printDecisions()
{
    std::printf(
        "Decision with %u hints held, including parsing of the packet; fastest, median and slowest of %u rounds\n",
        FLAGS_flows,
        FLAGS_rounds);
    std::printf("%-16s %8s %8s %10s %10s %10s %8s %9s\n",
                "packets",
                "services",
                "members",
                "fastest ns",
                "median ns",
                "slowest ns",
                "allocs",
                "chain ok%");
    for (const std::uint32_t services : {10U, 100U, 1000U, 10000U, 31000U}) {
        printCase({"hinted", services, s_defaultMembers, s_ackFlag, true});
    }
    for (const std::uint32_t services : {10U, 100U, 1000U, 10000U, 31000U}) {
        printCase({"without a hint", services, s_defaultMembers, s_ackFlag, false});
    }
    for (const std::uint32_t members : {1U, 5U, 16U}) {
        printCase({"without a hint", s_defaultServices, members, s_ackFlag, false});
        printCase({"first", s_defaultServices, members, s_synFlag, false});
    }
}

void printMemory()
{
    const routing::FlowRouter router = makeRouter({"", s_defaultServices, s_defaultMembers, s_ackFlag, true});
    const routing::HintTable &hints = router.hints();
    std::printf("\nhints learned %u, held %zu (%.2f%%), memory %zu bytes, %.1f bytes per hint held\n",
                FLAGS_flows,
                hints.size(),
                100.0 * static_cast<double>(hints.size()) / FLAGS_flows,
                hints.memoryBytes(),
                static_cast<double>(hints.memoryBytes()) / static_cast<double>(hints.size()));
}

} // namespace

} // namespace samphireswitch::bench

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    samphireswitch::bench::printDecisions();
    samphireswitch::bench::printMemory();
    return 0;
}
