// Measures what control costs a node, by size, for docs/CAPACITY.md.

#include "bench/gossipnetwork.h"
#include "bench/storereaders.h"
#include "control/gossipengine.h"
#include "control/routedservices.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <sstream>

DEFINE_string(scenario, "all", "all, dissemination, store, members or services");
DEFINE_string(balancers, "10,30,100,300,1000", "dissemination and store: numbers of balancers");
DEFINE_string(members, "100,1000,10000,100000", "members: sizes of the membership table of one balancer");
DEFINE_string(services, "10,100,1000,10000,31000", "services: sizes of the configuration table");
DEFINE_uint64(seed, 1, "seed of all random decisions");

namespace samphireswitch::control {

namespace {

using protocol::MemberRecord;
using protocol::MemberRole;

constexpr std::chrono::seconds s_settle {60};
constexpr std::chrono::seconds s_steady {20};
constexpr std::chrono::seconds s_limit {60};
constexpr double s_unreachableShare = 0.01;
constexpr std::size_t s_hostsPerService = 5;

std::vector<std::size_t> sizes(const std::string &list)
{
    std::vector<std::size_t> values;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        values.push_back(std::stoul(item));
    }
    return values;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

double processorMicroseconds(std::clock_t since)
{
    constexpr double microsecondsPerSecond = 1e6;
    return static_cast<double>(std::clock() - since) * microsecondsPerSecond / CLOCKS_PER_SEC;
}

configuration::ServiceRecord serviceRecord(std::size_t number, Generation generation)
{
    configuration::ServiceRecord record;
    record.name = "service-" + std::to_string(number);
    record.generation = generation;
    record.address = static_cast<std::uint32_t>(number);
    record.requestPort = 80;
    record.slots = 3;
    record.connections = 2000;
    for (std::size_t host = 0; host < s_hostsPerService; ++host) {
        record.hosts.push_back({"host-" + std::to_string(number * s_hostsPerService + host), "domain-1", {}});
    }
    return record;
}

MemberRecord agentRecord(std::size_t number)
{
    MemberRecord record;
    record.name = "host-" + std::to_string(number);
    record.id = hashText(record.name);
    record.incarnation = 1;
    record.version = 1;
    record.service = ServiceId::fromName("service-" + std::to_string(number / s_hostsPerService));
    record.failureDomain = "domain-1";
    record.control = {1, static_cast<std::uint16_t>(number)};
    record.data = {2, static_cast<std::uint16_t>(number)};
    return record;
}

std::size_t behind(GossipNetwork &network, std::size_t first, std::size_t count, Generation generation)
{
    std::size_t missing = 0;
    for (std::size_t number = first; number < count; ++number) {
        if (network.engine("balancer-" + std::to_string(number)).configuration().generation() < generation) {
            ++missing;
        }
    }
    return missing;
}

// Time until the last reachable balancer has a configuration that one balancer was given, with the store out.
void measureDissemination()
{
    std::cout << "balancers  unreachable  seconds_to_last  bytes_per_s_per_node  cpu_us_per_s_per_node  known\n";
    for (const std::size_t count : sizes(FLAGS_balancers)) {
        GossipNetwork network(FLAGS_seed, 0);
        for (std::size_t number = 0; number < count; ++number) {
            network.add("balancer-" + std::to_string(number), MemberRole::Balancer);
        }
        network.run(s_settle);
        const auto unreachable = static_cast<std::size_t>(std::ceil(static_cast<double>(count) * s_unreachableShare));
        const std::size_t known = network.engine("balancer-0").members().size() + 1;
        network.bytesSent = 0;
        const auto processorBefore = network.processorTime();
        network.run(s_steady);
        const double nodeSeconds = static_cast<double>(count) * static_cast<double>(s_steady.count());
        const double bytes = static_cast<double>(network.bytesSent) / nodeSeconds;
        const double processor = (network.processorTime() - processorBefore).count() / nodeSeconds;
        std::vector<Endpoint> apart;
        for (std::size_t number = 0; number < unreachable; ++number) {
            apart.push_back(network.engine("balancer-" + std::to_string(number)).self().control);
        }
        network.cut = [&apart](const Endpoint &from, const Endpoint &to) {
            return std::find(apart.begin(), apart.end(), from) != apart.end()
                || std::find(apart.begin(), apart.end(), to) != apart.end();
        };
        const TimePoint started = network.now;
        network.send("balancer-" + std::to_string(count - 1),
                     ConfigurationReceived {configuration::ConfigurationDelta {0, 1, {serviceRecord(1, 1)}}});
        const bool reached = network.runUntil([&]() { return behind(network, unreachable, count, 1) == 0; }, s_limit);
        const double seconds = std::chrono::duration<double>(network.now - started).count();
        std::cout << std::setw(9) << count << std::setw(13) << unreachable << std::setw(17)
                  << (reached ? std::to_string(seconds) : "not within 60") << std::setw(22) << bytes << std::setw(23)
                  << processor * 1e6 << std::setw(7) << known << std::endl;
    }
}

configuration::ConfigurationPatch document(Generation generation)
{
    return configuration::wholeConfiguration(generation, {serviceRecord(1, generation)});
}

struct StoreCost
{
    double calls = 0;
    double substituteReads = 0;
    double bytes = 0;
};

/** The cost a second, for each of @p count balancers, from now on. */
StoreCost measureStoreCost(GossipNetwork &network, StoreReaders &readers, std::size_t count)
{
    const StoreReaders::Counters before = readers.counters();
    network.bytesSent = 0;
    readers.run(s_steady);
    const double nodeSeconds = static_cast<double>(count) * static_cast<double>(s_steady.count());
    return {static_cast<double>(readers.counters().calls - before.calls) / nodeSeconds,
            static_cast<double>(readers.counters().substituteReads - before.substituteReads) / nodeSeconds,
            static_cast<double>(network.bytesSent) / nodeSeconds};
}

// Calls of the store while it serves all balancers, and while it serves none; and the time until all have a change that
// is written while it turns the watchers away.
void measureStoreReads()
{
    std::cout << "balancers  state   calls_per_s_per_node  substitute_reads_per_s_per_node  bytes_per_s_per_node  "
                 "seconds_to_last\n";
    for (const std::size_t count : sizes(FLAGS_balancers)) {
        GossipNetwork network(FLAGS_seed, 0);
        StoreReaders readers(network, FLAGS_seed);
        readers.write(document(1));
        for (std::size_t number = 0; number < count; ++number) {
            const std::string name = "balancer-" + std::to_string(number);
            network.add(name, MemberRole::Balancer);
            readers.add(name);
        }
        readers.run(s_settle);
        const auto print = [&](const std::string &state, const StoreCost &cost, const std::string &last) {
            std::cout << std::setw(9) << count << "  " << std::setw(8) << state << std::setw(20) << cost.calls
                      << std::setw(33) << cost.substituteReads << std::setw(22) << cost.bytes << std::setw(17) << last
                      << std::endl;
        };
        print("served", measureStoreCost(network, readers, count), "-");
        readers.isServed = [&network](const std::string &name) {
            const GossipEngine &engine = network.engine(name);
            return !shouldWatchStore(engine.self(), engine.members());
        };
        readers.write(document(2));
        const TimePoint written = network.now;
        const bool reached = readers.runUntil([&]() { return behind(network, 0, count, 2) == 0; }, s_limit);
        const double seconds = std::chrono::duration<double>(network.now - written).count();
        print("watchers", measureStoreCost(network, readers, count), reached ? std::to_string(seconds) : "not in 60");
        readers.isServed = [](const std::string &) { return false; };
        print("none", measureStoreCost(network, readers, count), "-");
    }
}

/** An engine that knows @p count agents. */
std::unique_ptr<GossipEngine> engineWithMembers(std::size_t count, TimePoint now)
{
    MemberRecord self;
    self.id = hashText("balancer");
    self.role = MemberRole::Balancer;
    auto engine =
        std::make_unique<GossipEngine>(GossipSettings {}, self, std::vector<Endpoint> {}, std::mt19937_64(FLAGS_seed));
    std::vector<MemberRecord> records;
    records.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        records.push_back(agentRecord(number));
    }
    engine->handle(MembersReceived {std::move(records), MembersSource::Peer}, now);
    return engine;
}

// Memory and processor time of one balancer's membership.
void measureMembers()
{
    constexpr std::size_t repetitions = 200;
    std::cout << "members  bytes_per_member  us_per_heartbeat  us_per_update  us_per_tick  us_per_table_copy\n";
    for (const std::size_t count : sizes(FLAGS_members)) {
        TimePoint now = TimePoint {} + std::chrono::hours(1);
        const std::size_t before = heapBytes();
        const auto engine = engineWithMembers(count, now);
        malloc_trim(0);
        const double bytes = static_cast<double>(heapBytes() - before) / static_cast<double>(count);
        std::clock_t started = std::clock();
        for (std::size_t number = 0; number < repetitions; ++number) {
            const MemberRecord record = agentRecord(number % count);
            engine->handle(
                DatagramReceived {record.control,
                                  protocol::Heartbeat {record.id, record.incarnation, record.version, 0, 0, true}},
                now);
        }
        const double heartbeat = processorMicroseconds(started) / repetitions;
        started = std::clock();
        for (std::size_t number = 0; number < repetitions; ++number) {
            MemberRecord record = agentRecord(number % count);
            record.version = number + 2;
            engine->handle(DatagramReceived {record.control, protocol::MemberUpdate {{record}}}, now);
        }
        const double update = processorMicroseconds(started) / repetitions;
        started = std::clock();
        for (std::size_t number = 0; number < repetitions; ++number) {
            now += std::chrono::milliseconds(1);
            engine->handle(TimerExpired {}, now);
        }
        const double tick = processorMicroseconds(started) / repetitions;
        started = std::clock();
        const membership::MembershipTable copy = engine->members();
        const double copied = processorMicroseconds(started);
        std::cout << std::setw(7) << copy.size() << std::setw(18) << bytes << std::setw(18) << heartbeat
                  << std::setw(15) << update << std::setw(13) << tick << std::setw(19) << copied << std::endl;
    }
}

// Memory and processor time of one process's configuration.
void measureServices()
{
    constexpr std::size_t repetitions = 20;
    std::cout << "services  bytes_per_service  us_per_change  us_per_table_copy  us_per_routing_update\n";
    for (const std::size_t count : sizes(FLAGS_services)) {
        const TimePoint now = TimePoint {} + std::chrono::hours(1);
        const std::size_t before = heapBytes();
        configuration::ConfigurationTable table;
        {
            configuration::ConfigurationDelta delta {0, 1, {}};
            for (std::size_t number = 0; number < count; ++number) {
                delta.records.push_back(serviceRecord(number, 1));
            }
            [[maybe_unused]] const auto applied = table.apply(delta);
        }
        malloc_trim(0);
        const double bytes = static_cast<double>(heapBytes() - before) / static_cast<double>(count);
        std::clock_t started = std::clock();
        for (std::size_t round = 0; round < repetitions; ++round) {
            const Generation generation = round + 2;
            [[maybe_unused]] const auto applied = table.apply(configuration::ConfigurationDelta {
                generation - 1, generation, {serviceRecord(round % count, generation)}});
        }
        const double change = processorMicroseconds(started) / repetitions;
        started = std::clock();
        for (std::size_t round = 0; round < repetitions; ++round) {
            const auto copy = std::make_unique<configuration::ConfigurationTable>(table);
            if (copy->generation() == 0) {
                std::abort();
            }
        }
        const double copied = processorMicroseconds(started) / repetitions;
        const auto engine = engineWithMembers(count * s_hostsPerService, now);
        started = std::clock();
        const auto routed = routedServices(table, engine->members());
        const double routing = processorMicroseconds(started);
        std::cout << std::setw(8) << routed.size() << std::setw(19) << bytes << std::setw(15) << change << std::setw(19)
                  << copied << std::setw(23) << routing << std::endl;
    }
}

} // namespace

} // namespace samphireswitch::control

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures what control costs a node");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool all = FLAGS_scenario == "all";
    if (all || FLAGS_scenario == "dissemination") {
        samphireswitch::control::measureDissemination();
    }
    if (all || FLAGS_scenario == "store") {
        samphireswitch::control::measureStoreReads();
    }
    if (all || FLAGS_scenario == "members") {
        samphireswitch::control::measureMembers();
    }
    if (all || FLAGS_scenario == "services") {
        samphireswitch::control::measureServices();
    }
    return 0;
}
