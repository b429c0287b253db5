#include "bench/experimentloop.h"
#include "bench/experimentscenarios.h"
#include "bench/experimentstatistics.h"

#include <gflags/gflags.h>

#include <malloc.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(scenario, "all", "all, steady, surge, join, drain, failfast, errors, feeds or capacity");
DEFINE_int32(seeds, 5, "Number of seeds; the first is 1");
DEFINE_int32(service_ms, 50, "Mean service time of a short request in ms");
DEFINE_int32(deadline_ms, 2000, "Deadline of a request in ms");
DEFINE_double(load, 0.8, "Load outside a surge, as a share of the capacity");
DEFINE_double(surge, 2.0, "Load in the surge, as a multiple of the capacity");
DEFINE_double(long_share, 0.02, "Share of long requests in the steady scenario");
DEFINE_double(long_factor, 50, "How many times longer those are");
DEFINE_int32(surge_wait_ms, -1, "Longest expected wait for a slot in a surge in ms; -1 for the agent's default");
DEFINE_string(hosts, "10,100,1000,10000", "Sizes of the capacity scenario; a service has 10 hosts");
DEFINE_int32(capacity_seconds, 2, "Virtual seconds of the capacity scenario");
DEFINE_bool(csv, false, "Print one line for each seed as CSV in place of the table");

namespace {

using namespace samphireswitch;
using namespace samphireswitch::bench;
using Scenario = std::vector<Figure> (*)(const ServiceShape &, const ScenarioSettings &, std::uint64_t);

const std::vector<std::pair<std::string, Scenario>> s_scenarios {{"steady", runSteady},
                                                                 {"surge", runSurge},
                                                                 {"join", runJoin},
                                                                 {"drain", runDrain},
                                                                 {"failfast", runFailFast},
                                                                 {"errors", runAnswerErrors},
                                                                 {"feeds", runFeeds}};

ScenarioSettings settingsFromFlags()
{
    ScenarioSettings settings;
    settings.serviceTime = std::chrono::milliseconds(FLAGS_service_ms);
    settings.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    settings.load = FLAGS_load;
    settings.surge = FLAGS_surge;
    settings.longShare = FLAGS_long_share;
    settings.longFactor = FLAGS_long_factor;
    if (FLAGS_surge_wait_ms >= 0) {
        settings.admission.surgeWait = std::chrono::milliseconds(FLAGS_surge_wait_ms);
    }
    return settings;
}

std::string formatted(double value)
{
    if (std::isnan(value)) {
        return "-";
    }
    char text[32];
    std::snprintf(text, sizeof(text), value != 0 && std::abs(value) < 0.1 ? "%.4f" : "%.3f", value);
    return text;
}

/** One row for each figure: mean over the seeds, with the range of the system's values. */
void printTable(const std::vector<Figure> &figures)
{
    std::vector<std::string> order;
    std::map<std::string, std::vector<Figure>> rows;
    for (const Figure &figure : figures) {
        const std::string row = "| " + figure.scenario + " | " + figure.service + " | " + figure.name + " | ";
        if (!rows.contains(row)) {
            order.push_back(row);
        }
        rows[row].push_back(figure);
    }
    std::cout << "| scenario | service | figure | system (range over seeds) | baseline | ideal |\n";
    std::cout << "|---|---|---|---|---|---|\n";
    for (const std::string &row : order) {
        std::vector<double> system;
        std::vector<double> baseline;
        std::vector<double> ideal;
        for (const Figure &figure : rows[row]) {
            system.push_back(figure.system);
            baseline.push_back(figure.baseline);
            ideal.push_back(figure.ideal);
        }
        std::cout << row << formatted(mean(system)) << " (" << formatted(percentile(system, 0)) << " to "
                  << formatted(percentile(system, 1)) << ") | " << formatted(mean(baseline)) << " | "
                  << formatted(mean(ideal)) << " |\n";
    }
}

void printCsv(const std::vector<Figure> &figures, std::uint64_t seed)
{
    for (const Figure &figure : figures) {
        std::cout << seed << ',' << figure.scenario << ',' << figure.service << ",\"" << figure.name << "\","
                  << figure.system << ',' << figure.baseline << ',' << figure.ideal << '\n';
    }
}

/** Returns false if no scenario has the name. */
bool runScenarios()
{
    const ScenarioSettings settings = settingsFromFlags();
    bool found = false;
    if (FLAGS_csv) {
        std::cout << "seed,scenario,service,figure,system,baseline,ideal\n";
    }
    for (const auto &[name, scenario] : s_scenarios) {
        if (FLAGS_scenario != "all" && FLAGS_scenario != name) {
            continue;
        }
        found = true;
        std::vector<Figure> figures;
        for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(FLAGS_seeds); ++seed) {
            for (const ServiceShape &shape : currentServices()) {
                const std::vector<Figure> run = scenario(shape, settings, seed);
                figures.insert(figures.end(), run.begin(), run.end());
                if (FLAGS_csv) {
                    printCsv(run, seed);
                }
            }
        }
        if (!FLAGS_csv) {
            printTable(figures);
            std::cout << '\n';
        }
    }
    return found;
}

std::size_t usedMemory()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Bytes on the heap for each established flow of one agent, and nanoseconds for a packet of one of them. */
void printFlowCost(std::uint32_t flows)
{
    using namespace admission;
    const protocol::Candidate self {AgentId {1}, {1, 9001}};
    const ServiceId service = ServiceId::fromName("capacity");
    FlowAdmission admission(AdmissionSettings {}, self, std::mt19937_64(1));
    const TimePoint now = s_start;
    admission.handle(ServiceTermsChanged {{service, 1, 8001, 8002, 1, flows, {}, HostMode::Active, true, 1}}, now);
    admission.handle(MembersChanged {{self}, 1}, now);
    PacketArrived packet;
    packet.header.service = service;
    packet.header.chain = {self};
    packet.header.eligible = 1;
    const std::size_t before = usedMemory();
    const auto keyOf = [](std::uint32_t flow) {
        return flow::FlowKey {{flow / 50000, static_cast<std::uint16_t>(10000 + flow % 50000)}, {1, 8002}};
    };
    for (std::uint32_t flow = 0; flow < flows; ++flow) {
        packet.key = keyOf(flow);
        packet.firstPacket = true;
        admission.handle(packet, now);
        admission.handle(HandshakeCompleted {packet.key}, now);
    }
    const auto bytes = static_cast<double>(usedMemory() - before) / flows;
    packet.firstPacket = false;
    Event event(packet);
    constexpr std::uint32_t packets = 2'000'000;
    const auto start = Clock::now();
    for (std::uint32_t number = 0; number < packets; ++number) {
        // A step that is coprime to the number of flows visits them in an order that caches do not predict.
        std::get<PacketArrived>(event).key = keyOf(static_cast<std::uint32_t>(number * 7919ULL % flows));
        admission.handle(event, now);
    }
    const std::chrono::duration<double, std::nano> elapsed = Clock::now() - start;
    std::cout << "| " << flows << " | " << formatted(bytes) << " | " << formatted(elapsed.count() / packets) << " |\n";
}

void printCapacity()
{
    constexpr std::uint32_t hostsPerService = 10;
    ServiceShape shape = currentServices().front();
    shape.hosts = hostsPerService;
    const ServiceTimes times {std::chrono::milliseconds(FLAGS_service_ms), 0, 1};
    std::cout
        << "| hosts | decisions | ns / decision | decisions / request | heap / agent, KiB |\n|---|---|---|---|---|\n";
    std::istringstream sizes(FLAGS_hosts);
    for (std::string size; std::getline(sizes, size, ',');) {
        const std::uint32_t services = std::max(1, std::stoi(size) / static_cast<int>(hostsPerService));
        const Deployment deployment {shape, std::chrono::milliseconds(FLAGS_deadline_ms), {}, {}};
        const double rate = FLAGS_load * shape.hosts * shape.slots / times.overallMean();
        const std::vector<Phase> phases {{std::chrono::seconds(FLAGS_capacity_seconds), rate}};
        std::uint64_t decisions = 0;
        std::uint64_t requestCount = 0;
        std::chrono::nanoseconds time {0};
        const std::size_t before = usedMemory();
        std::vector<std::unique_ptr<ExperimentLoop>> loops;
        std::vector<std::vector<Request>> requests(services);
        for (std::uint32_t service = 0; service < services; ++service) {
            loops.push_back(std::make_unique<ExperimentLoop>(deployment, requests[service], service));
        }
        const double memory = static_cast<double>(usedMemory() - before) / (services * hostsPerService) / 1024;
        loops.clear();
        for (std::uint32_t service = 0; service < services; ++service) {
            requests[service] = generateRequests(phases, times, false, service);
            const RunResult result = ExperimentLoop(deployment, requests[service], service).run();
            decisions += result.decisions;
            requestCount += requests[service].size();
            time += result.decisionTime;
        }
        std::cout << "| " << services * hostsPerService << " | " << decisions << " | "
                  << formatted(static_cast<double>(time.count()) / static_cast<double>(decisions)) << " | "
                  << formatted(static_cast<double>(decisions) / static_cast<double>(requestCount)) << " | "
                  << formatted(memory) << " |\n";
    }
    std::cout << "\n| flows of one agent | heap bytes / flow | ns / packet of an owned flow |\n|---|---|---|\n";
    for (const std::uint32_t flows : {1000U, 10000U, 100000U, 500000U}) {
        printFlowCost(flows);
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Measures admission decisions against a baseline and an ideal in virtual time.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_scenario == "capacity") {
        printCapacity();
        return 0;
    }
    if (!runScenarios()) {
        std::cerr << "unknown scenario " << FLAGS_scenario
                  << "; accepted: all, steady, surge, join, drain, failfast, errors, feeds, capacity\n";
        return 2;
    }
    return 0;
}
