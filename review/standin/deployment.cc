#include "deployment.h"

#include "sockets.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr std::uint32_t s_loopback = 127U << 24U;
constexpr std::uint32_t s_storeHost = 1;
constexpr std::uint32_t s_requestersHost = 3;
constexpr std::uint32_t s_firstEdgeHost = 10;
constexpr std::uint32_t s_firstSideHost = 100;

constexpr std::uint16_t s_packetPort = 8172;
constexpr std::uint16_t s_controlPort = 8166;
constexpr std::uint16_t s_readinessPort = 8167;
constexpr std::uint16_t s_outboundPort = 8168;
constexpr std::uint16_t s_appPort = 8160;
constexpr std::uint16_t s_firstStorePort = 8200;
constexpr std::uint16_t s_firstInternalPort = 7720;
constexpr std::uint16_t s_lastInternalPort = 7735;

// `seeds` has the addresses of at most three machines, which may be stale.
constexpr std::size_t s_mostSeeds = 3;

constexpr Milliseconds s_startLimit {20000};
constexpr Milliseconds s_readinessInterval {500};
constexpr Milliseconds s_probeInterval {100};

// The program of deploy/system.toml. There its argument is the path at which the platform places the settings file;
// here the file lies in the temporary folder.
constexpr const char *s_program = "target/src/commands/samphireswitch";

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

} // namespace

Deployment::Deployment(const std::string &recordPath)
    : record(recordPath)
    , store(loop)
{
    if (access(s_program, X_OK) != 0) {
        throw std::runtime_error(std::string(s_program) + " is not built");
    }
    std::random_device device;
    m_network = s_loopback | ((1 + device() % 250) << 16U) | ((1 + device() % 250) << 8U);
    std::string pattern = (std::filesystem::temp_directory_path() / "samphireswitch-review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder can be made");
    }
    m_directory = pattern;
    requesters = std::make_unique<Requesters>(loop, Address {m_network + s_requestersHost, s_packetPort}, record);
}

Deployment::~Deployment()
{
    for (const auto &machine : m_machines) {
        kill(*machine);
    }
    if (getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }
}

Machine &Deployment::addEdge(const std::string &zone)
{
    const auto number = static_cast<std::uint32_t>(edges().size());
    Machine machine {"edge-" + zone + "-" + std::to_string(number), zone, m_network + s_firstEdgeHost + number, {}};
    store.listen({m_network + s_storeHost, static_cast<std::uint16_t>(s_firstStorePort + m_machines.size())});
    return *m_machines.emplace_back(std::make_unique<Machine>(machine));
}

Machine &Deployment::addSide(const std::string &zone, const std::string &service)
{
    const auto number = static_cast<std::uint32_t>(m_machines.size());
    Machine machine {
        "side-" + zone + "-" + std::to_string(number), zone, m_network + s_firstSideHost + number, service};
    store.listen({m_network + s_storeHost, static_cast<std::uint16_t>(s_firstStorePort + m_machines.size())});
    return *m_machines.emplace_back(std::make_unique<Machine>(machine));
}

void Deployment::start(Machine &machine, bool isFirstStart)
{
    const std::string path = writeSettings(machine, isFirstStart);
    const std::string settings = "SAMPHIRESWITCH_SETTINGS=" + path;
    const std::string log = m_directory + "/" + machine.name + ".log";
    const char *role = machine.service.empty() ? "balancer" : "agent";
    const pid_t child = fork();
    if (child < 0) {
        throw std::runtime_error("a process cannot be started");
    }
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        std::array<const char *, 2> environment {settings.c_str(), nullptr};
        execle(s_program, s_program, role, path.c_str(), nullptr, environment.data());
        _exit(127);
    }
    machine.process = child;
    record.line("process of " + machine.name + " starts");
}

void Deployment::sendSignal(const Machine &machine, int signal)
{
    ::kill(machine.process, signal);
}

void Deployment::kill(Machine &machine)
{
    if (machine.process <= 0) {
        return;
    }
    ::kill(machine.process, SIGKILL);
    waitpid(machine.process, nullptr, 0);
    machine.process = -1;
}

HostSettings Deployment::hostOn(const Machine &machine, const std::string &id) const
{
    HostSettings settings;
    settings.id = id;
    settings.service = machine.service;
    settings.zone = machine.zone;
    settings.address = {machine.ip, s_appPort};
    settings.outbound = {machine.ip, s_outboundPort};
    settings.control = {machine.ip, s_controlPort};
    return settings;
}

Host &Deployment::startHost(const HostSettings &settings)
{
    return *m_hosts.emplace_back(std::make_unique<Host>(loop, settings, record));
}

void Deployment::writeConfiguration(const std::vector<Route> &routes, const Loop::Handler &confirmed)
{
    // Versions increase in uneven steps.
    m_version += 2 + m_version % 2;
    std::string text = R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)";
    std::vector<std::string> services;
    std::string names;
    for (const Route &route : routes) {
        text += text.back() == '[' ? "" : ",";
        text += R"({"name":")" + route.name + R"(","host":")" + ipToString(route.address.ip) + R"(","prefix":"/)"
            + std::to_string(route.address.port) + R"(/","service":")" + route.service + R"(","type":")" + route.type
            + R"(","timeout_ms":2500,"target_latency_ms":150,"priority":1,"max_attempts":1})";
        names += " " + route.name;
        if (std::ranges::find(services, route.service) == services.end()) {
            services.push_back(route.service);
        }
    }
    text += R"(],"services":[)";
    for (const std::string &service : services) {
        text += text.back() == '[' ? "" : ",";
        text += R"({"name":")" + service + R"(","health_path":"/health","max_conns":2000})";
    }
    text += R"(],"limits":{"idle_timeout_ms":12000}})";
    record.line("operator writes version " + std::to_string(m_version) + " with the routes" + names);
    store.writeAsOperator("op/config", text, [this, version = m_version, confirmed] {
        record.line("version " + std::to_string(version) + " is confirmed");
        confirmed();
    });
}

bool Deployment::waitUntilServing(const Address &probe)
{
    const TimePoint deadline = Clock::now() + s_startLimit;
    for (const Machine *edge : edges()) {
        bool isReady = false;
        while (!isReady) {
            if (Clock::now() >= deadline) {
                return false;
            }
            bool isDone = false;
            callHttp(
                loop, {edge->ip, s_readinessPort}, {"GET", "/api/ready", ""}, s_readinessInterval, [&](int status) {
                    isReady = status == 200;
                    isDone = true;
                });
            loop.runUntil([&] { return isDone; }, 2 * s_readinessInterval);
            loop.runFor(s_probeInterval);
        }
        for (;;) {
            const Attempt &attempt =
                requesters->send("probe-" + std::to_string(++m_probes), probe, packetAddress(*edge));
            loop.runUntil([&] { return attempt.outcome != Outcome::UnderWay; }, s_startLimit);
            if (attempt.outcome == Outcome::Answered) {
                break;
            }
            if (Clock::now() >= deadline) {
                return false;
            }
        }
    }
    return true;
}

Address Deployment::packetAddress(const Machine &machine) const
{
    return {machine.ip, s_packetPort};
}

Address Deployment::storeAddress(const Machine &machine) const
{
    const auto position =
        std::ranges::find_if(m_machines, [&machine](const auto &candidate) { return candidate->name == machine.name; });
    return {m_network + s_storeHost, static_cast<std::uint16_t>(s_firstStorePort + (position - m_machines.begin()))};
}

std::vector<Machine *> Deployment::edges()
{
    std::vector<Machine *> result;
    for (const auto &machine : m_machines) {
        if (machine->service.empty()) {
            result.push_back(machine.get());
        }
    }
    return result;
}

std::string Deployment::writeSettings(const Machine &machine, bool isFirstStart) const
{
    std::string seeds;
    std::size_t seedCount = 0;
    for (const auto &other : m_machines) {
        if (other->service.empty() && seedCount < s_mostSeeds) {
            seeds += (seeds.empty() ? "" : ",") + toString({other->ip, s_controlPort});
            ++seedCount;
        }
    }
    const std::map<std::string, std::string> values {{"node_name", machine.name},
                                                     {"zone", machine.zone},
                                                     {"service", machine.service},
                                                     {"ip", ipToString(machine.ip)},
                                                     {"listen.packet_addr", toString({machine.ip, s_packetPort})},
                                                     {"listen.control", toString({machine.ip, s_controlPort})},
                                                     {"listen.readiness_addr", toString({machine.ip, s_readinessPort})},
                                                     {"listen.outbound", toString({machine.ip, s_outboundPort})},
                                                     {"internal_port_range.0", std::to_string(s_firstInternalPort)},
                                                     {"internal_port_range.1", std::to_string(s_lastInternalPort)},
                                                     {"app", toString({machine.ip, s_appPort})},
                                                     {"seeds", seeds},
                                                     {"bootstrap", isFirstStart ? "true" : "false"},
                                                     {"platform.address", toString(storeAddress(machine))}};
    std::string text = readFile(machine.service.empty() ? "deploy/balancer.ini" : "deploy/agent.ini");
    for (const auto &[field, value] : values) {
        replaceAll(text, "{{" + field + "}}", value);
    }
    std::string path = m_directory + "/" + machine.name + ".ini";
    std::ofstream(path) << text;
    return path;
}

bool hasTrouble()
{
    const char *value = getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review
