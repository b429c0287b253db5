#include "standin/deployment.h"

#include "base/time.h"
#include "standin/sockets.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace samphireswitch::standin {

namespace {

constexpr std::uint8_t s_storeHost = 1;
constexpr std::uint8_t s_fabricHost = 2;
constexpr std::uint8_t s_firstBalancerHost = 10;
constexpr std::uint8_t s_firstUpstreamHost = 100;

constexpr const char *s_dataPort = ":7100";
constexpr const char *s_controlPort = ":7101";
constexpr const char *s_metricsPort = ":7102";
constexpr const char *s_commandPort = ":7103";
constexpr const char *s_proxyPort = ":7200";
constexpr const char *s_proxyCommandPort = ":7201";

constexpr std::chrono::seconds s_commandLimit {30};
constexpr std::chrono::milliseconds s_pollInterval {20};

/** The program of this build, or another one, as an earlier version to compare with. */
std::string productProgram()
{
    const char *other = std::getenv("SAMPHIRESWITCH_PROGRAM");
    return other != nullptr ? other : SAMPHIRESWITCH_PROGRAM;
}

template<typename T>
T require(Result<T> result, const std::string &action)
{
    if (!result) {
        throw std::runtime_error(action + " failed");
    }
    return std::move(*result);
}

/** An HTTP response with its header; empty if there is none within a second, as from a frozen process. */
std::string fetchPage(const Endpoint &endpoint, const std::string &target, const std::string &body)
{
    constexpr timeval limit {1, 0};
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const auto name = toTcp(endpoint);
    const std::string request = target + " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string response;
    if (::connect(descriptor, name.data(), static_cast<socklen_t>(name.size())) == 0
        && ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
        std::array<char, 4096> buffer {};
        for (ssize_t size = 0; (size = ::recv(descriptor, buffer.data(), buffer.size(), 0)) > 0;) {
            response.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(descriptor);
    return response;
}

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_network(require(LoopbackNetwork::reserve(), "reserving a loopback network"))
{
    std::filesystem::create_directories(m_options.directory);
    declare(m_options.declaration);
}

void Deployment::declare(const std::string &declaration)
{
    m_declared = require(DeclaredServices::parse(declaration), "reading the declaration");
    for (const DeclaredHost &host : m_declared.hosts) {
        m_hostNumbers.try_emplace(host.name, static_cast<std::uint8_t>(s_firstUpstreamHost + m_hostNumbers.size()));
    }
}

void Deployment::startAll()
{
    startStore();
    startFabric();
    for (int number = 1; number <= m_options.balancers; ++number) {
        startBalancer(number);
    }
    for (const DeclaredHost &host : m_declared.hosts) {
        startUpstream(host.name);
        startAgent(host.name);
    }
}

void Deployment::startStore()
{
    const std::string address = addressToString(m_network.address(s_storeHost));
    start("store", SAMPHIRESWITCH_STANDIN_PROGRAM, {"store", "--listen", address + s_dataPort});
    if (m_options.faultProxies && !m_processes.contains("proxy-store")) {
        startProxy("store", address, address + s_dataPort);
    }
    waitUntilListening(address + s_dataPort);
    waitUntilListening(storeEndpoint());
}

void Deployment::startFabric()
{
    const std::string address = addressToString(m_network.address(s_fabricHost));
    std::string balancers;
    for (int number = 1; number <= m_options.balancers; ++number) {
        balancers += (balancers.empty() ? "" : ",") + balancerAddress(number);
        balancers += m_options.faultProxies ? s_proxyPort : s_dataPort;
    }
    std::string services;
    for (const DeclaredService &service : m_declared.services) {
        services += (services.empty() ? "" : ",") + addressToString(service.address);
    }
    start("fabric",
          SAMPHIRESWITCH_STANDIN_PROGRAM,
          {"fabric",
           "--listen",
           address + s_dataPort,
           "--control",
           address + s_commandPort,
           "--balancers",
           balancers,
           "--services",
           services,
           "--delay_ms",
           std::to_string(m_options.fabricDelay.count()),
           "--seed",
           std::to_string(m_options.seed)});
    if (m_options.faultProxies) {
        startProxy("fabric", address, address + s_dataPort);
    }
}

void Deployment::startBalancer(int number)
{
    const std::string name = "balancer-" + std::to_string(number);
    const std::string address = balancerAddress(number);
    std::string seeds;
    for (int other = 1; other <= m_options.balancers; ++other) {
        if (other != number) {
            seeds += (seeds.empty() ? "" : ",") + balancerAddress(other) + s_controlPort;
        }
    }
    const std::size_t domain = static_cast<std::size_t>(number) % m_declared.hosts.size();
    std::ostringstream settings;
    settings << "[process]\nname = " << name << "\nfailure_domain = " << m_declared.hosts[domain].failureDomain
             << "\n[balancer]\ndata_address = " << address << s_dataPort << "\ncontrol_address = " << address
             << s_controlPort << "\nmetrics_address = " << address << s_metricsPort << "\nseeds = " << seeds
             << "\n[store]\nendpoint = " << storeEndpoint() << '\n'
             << m_options.balancerSettings;
    start(name, productProgram(), {"balancer", writeFile(name + ".ini", settings.str())});
    if (!m_options.faultProxies || m_processes.contains("proxy-" + name)) {
        return;
    }
    // Duplicated packets go to the other balancers, as they do when the fabric sends a packet twice.
    std::string targets = address + s_dataPort;
    for (int other = 1; other <= m_options.balancers; ++other) {
        if (other != number) {
            targets += "," + balancerAddress(other) + s_dataPort;
        }
    }
    startProxy(name, address, targets);
}

void Deployment::startUpstream(const std::string &host, const std::vector<std::string> &moreFlags)
{
    for (const DeclaredHost &declaredHost : m_declared.hosts) {
        if (declaredHost.name != host) {
            continue;
        }
        const DeclaredService service = require(m_declared.service(declaredHost.service), "finding the service");
        const std::string journal = file("upstream-" + host + ".jsonl");
        std::vector<std::string> arguments {"upstream",
                                            "--host",
                                            host,
                                            "--address",
                                            hostAddress(host),
                                            "--request_port",
                                            std::to_string(service.requestPort),
                                            "--feed_port",
                                            std::to_string(service.feedPort),
                                            "--slots",
                                            std::to_string(service.slots),
                                            "--journal",
                                            journal};
        arguments.insert(arguments.end(), moreFlags.begin(), moreFlags.end());
        m_journals.push_back(journal);
        start("upstream-" + host, SAMPHIRESWITCH_STANDIN_PROGRAM, arguments);
    }
}

void Deployment::startAgent(const std::string &host)
{
    const std::string address = hostAddress(host);
    const std::string fabric = addressToString(m_network.address(s_fabricHost));
    for (const DeclaredHost &declaredHost : m_declared.hosts) {
        if (declaredHost.name != host) {
            continue;
        }
        std::ostringstream settings;
        settings << "[process]\nname = agent-" << host << "\nfailure_domain = " << declaredHost.failureDomain
                 << "\n[agent]\nhost = " << host << "\nservice = " << declaredHost.service
                 << "\ndata_address = " << address << s_dataPort << "\ncontrol_address = " << address << s_controlPort
                 << "\nmetrics_address = " << address << s_metricsPort << "\nfabric_address = " << fabric
                 << (m_options.faultProxies ? s_proxyPort : s_dataPort) << "\nupstream_address = " << address
                 << "\nbalancers = " << controlAddresses() << '\n'
                 << boost::algorithm::replace_all_copy(m_options.agentSettings, "{host}", host);
        start("agent-" + host, productProgram(), {"agent", writeFile("agent-" + host + ".ini", settings.str())});
    }
}

ChildProcess &
Deployment::startCaller(const std::string &name, const std::string &service, std::vector<std::string> flags)
{
    const DeclaredService declaredService = require(m_declared.service(service), "finding the service");
    const std::string journal = file("caller-" + name + ".jsonl");
    ++m_callers;
    const std::vector<std::string> arguments {"caller",
                                              "--name",
                                              name,
                                              "--address",
                                              "10.9.0." + std::to_string(m_callers),
                                              "--fabric",
                                              addressToString(m_network.address(s_fabricHost)) + s_dataPort,
                                              "--service",
                                              addressToString(declaredService.address),
                                              "--request_port",
                                              std::to_string(declaredService.requestPort),
                                              "--feed_port",
                                              std::to_string(declaredService.feedPort),
                                              "--seed",
                                              std::to_string(m_options.seed + static_cast<std::uint64_t>(m_callers)),
                                              "--journal",
                                              journal};
    flags.insert(flags.begin(), arguments.begin(), arguments.end());
    m_journals.push_back(journal);
    start("caller-" + name, SAMPHIRESWITCH_STANDIN_PROGRAM, flags);
    return process("caller-" + name);
}

ChildProcess &Deployment::process(const std::string &name)
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end()) {
        throw std::runtime_error("no process is named " + name);
    }
    return found->second;
}

void Deployment::killProcess(const std::string &name)
{
    process(name).kill();
    if (!name.starts_with("balancer-")) {
        return;
    }
    std::vector<int> others;
    for (int number = 1; number <= m_options.balancers; ++number) {
        if (process("balancer-" + std::to_string(number)).isRunning()) {
            others.push_back(number);
        }
    }
    sprayOver(others);
}

std::string Deployment::control(const std::string &name, const std::string &line) const
{
    std::string address = addressToString(m_network.address(s_fabricHost)) + s_commandPort;
    if (name.starts_with("proxy-balancer-")) {
        address = balancerAddress(std::stoi(name.substr(name.rfind('-') + 1))) + s_proxyCommandPort;
    } else if (name == "proxy-store") {
        address = addressToString(m_network.address(s_storeHost)) + s_proxyCommandPort;
    } else if (name == "proxy-fabric") {
        address = addressToString(m_network.address(s_fabricHost)) + s_proxyCommandPort;
    }
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    const auto endpoint = toTcp(require(parseEndpoint(address), "parsing an address"));
    waitUntil([&] { return !socket.connect(endpoint, error); }, s_commandLimit);
    boost::asio::write(socket, boost::asio::buffer(line + "\n"), error);
    std::string response;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), '\n', error);
    if (error || response.starts_with("error")) {
        throw std::runtime_error("'" + line + "' failed at " + name + ": " + error.message() + " " + response);
    }
    return response;
}

void Deployment::sprayOver(const std::vector<int> &balancers) const
{
    std::string list;
    for (const int number : balancers) {
        list += (list.empty() ? "" : ",") + balancerAddress(number);
        list += m_options.faultProxies ? s_proxyPort : s_dataPort;
    }
    control("fabric", "balancers " + list);
}

CommandResult Deployment::run(std::vector<std::string> arguments)
{
    const std::string subcommand = arguments.front();
    if (subcommand == "plan" || subcommand == "confirm") {
        arguments.insert(arguments.end(), {"--store", storeEndpoint()});
    }
    arguments.insert(arguments.end(), {"--balancers", controlAddresses()});
    ++m_commands;
    const std::string output = file("command-" + std::to_string(m_commands) + ".log");
    ChildProcess command = require(ChildProcess::start(productProgram(), arguments, output), "starting a command");
    const std::optional<int> status = command.wait(s_commandLimit);
    if (!status) {
        throw std::runtime_error("'" + subcommand + "' did not end within its limit: " + command.output());
    }
    return {*status, command.output()};
}

std::string Deployment::plan(const std::string &declaration, const std::vector<std::string> &flags)
{
    declare(declaration);
    ++m_declarations;
    const std::string path = writeFile("declaration-" + std::to_string(m_declarations) + ".ini", declaration);
    std::vector<std::string> arguments {"plan", path};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    const CommandResult result = run(arguments);
    std::smatch match;
    const std::regex identity("confirm ([0-9a-zA-Z-]+)");
    if (result.status != 0 || !std::regex_search(result.output, match, identity)) {
        throw std::runtime_error("plan failed: " + result.output);
    }
    return match[1];
}

CommandResult Deployment::confirm(const std::string &planId)
{
    return run({"confirm", planId});
}

void Deployment::apply(const std::string &declaration, const std::vector<std::string> &flags)
{
    const CommandResult result = confirm(plan(declaration, flags));
    if (result.status != 0) {
        throw std::runtime_error("confirm failed: " + result.output);
    }
}

std::optional<double> Deployment::metric(const std::string &process, const std::string &name) const
{
    const Endpoint endpoint = require(parseEndpoint(processAddress(process) + s_metricsPort), "parsing an address");
    const std::string page = fetchPage(endpoint, "GET /metrics", "");
    std::smatch match;
    const std::regex line("samphireswitch_" + name + " ([0-9.e+]+)");
    if (!std::regex_search(page, match, line)) {
        return std::nullopt;
    }
    return std::stod(match[1]);
}

void Deployment::setStoreFaults(const std::string &faults) const
{
    const std::string address = addressToString(m_network.address(s_storeHost)) + s_dataPort;
    const Endpoint endpoint = require(parseEndpoint(address), "parsing an address");
    const std::string response = fetchPage(endpoint, "POST /standin/faults", faults);
    if (response.find(" 200 ") == std::string::npos) {
        throw std::runtime_error("the store stand-in did not accept " + faults + ": " + response);
    }
}

bool Deployment::isInForce(Generation generation)
{
    for (int number = 1; number <= m_options.balancers; ++number) {
        const std::string name = "balancer-" + std::to_string(number);
        if (!process(name).isRunning()) {
            continue;
        }
        if (metric(name, "configuration_generation").value_or(0) < static_cast<double>(generation)) {
            return false;
        }
    }
    return true;
}

void Deployment::waitUntilServing(std::chrono::milliseconds limit)
{
    for (const DeclaredService &service : m_declared.services) {
        waitUntilServing(service.name, limit);
    }
}

void Deployment::waitUntilServing(const std::string &service, std::chrono::milliseconds limit)
{
    const auto answers = [&] {
        ++m_probes;
        const std::string name = std::string(s_probePrefix) + std::to_string(m_probes);
        ChildProcess &probe =
            startCaller(name, service, {"--rate=20", "--duration_ms=200", "--timeout_ms=1000", "--work_ms=1"});
        probe.wait(s_commandLimit);
        for (const boost::json::object &line : journalLines("caller-" + name + ".")) {
            if (line.at("kind") == "request" && line.at("outcome") == "answered") {
                return true;
            }
        }
        return false;
    };
    if (!waitUntil(answers, limit)) {
        throw std::runtime_error("no request of " + service + " was answered");
    }
}

bool Deployment::waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const TimePoint end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(s_pollInterval);
    }
    return true;
}

boost::json::object Deployment::checkJournals(const JournalLimits &limits) const
{
    JournalCheck check;
    std::vector<std::string> journals = m_journals;
    std::sort(journals.begin(), journals.end());
    journals.erase(std::unique(journals.begin(), journals.end()), journals.end());
    for (const std::string &journal : journals) {
        if (!check.read(journal)) {
            throw std::runtime_error("cannot read " + journal);
        }
    }
    return check.report(limits);
}

std::vector<boost::json::object> Deployment::journalLines(const std::string &namePrefix) const
{
    std::vector<boost::json::object> lines;
    for (const auto &entry : std::filesystem::directory_iterator(m_options.directory)) {
        const std::string name = entry.path().filename();
        if (!name.starts_with(namePrefix) || !name.ends_with(".jsonl")) {
            continue;
        }
        std::ifstream stream(entry.path());
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(boost::json::parse(line).as_object());
        }
    }
    return lines;
}

const DeclaredServices &Deployment::declared() const
{
    return m_declared;
}

const std::string &Deployment::directory() const
{
    return m_options.directory;
}

int Deployment::balancerCount() const
{
    return m_options.balancers;
}

void Deployment::start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments)
{
    ChildProcess process = require(ChildProcess::start(program, arguments, file(name + ".log")),
                                   "starting " + name + " (" + program + ")");
    m_processes.insert_or_assign(name, std::move(process));
}

void Deployment::waitUntilListening(const std::string &address)
{
    const auto endpoint = toTcp(require(parseEndpoint(address), "parsing an address"));
    const auto connects = [&] {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        boost::system::error_code error;
        return !socket.connect(endpoint, error);
    };
    if (!waitUntil(connects, s_commandLimit)) {
        throw std::runtime_error("nothing listens on " + address);
    }
}

void Deployment::startProxy(const std::string &target, const std::string &listen, const std::string &forward)
{
    start("proxy-" + target,
          SAMPHIRESWITCH_STANDIN_PROGRAM,
          {"faultproxy",
           "--listen",
           listen + s_proxyPort,
           "--control",
           listen + s_proxyCommandPort,
           "--forward",
           forward,
           "--seed",
           std::to_string(m_options.seed)});
}

std::string Deployment::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream stream(file(name));
    stream << text;
    return file(name);
}

std::string Deployment::file(const std::string &name) const
{
    return m_options.directory + "/" + name;
}

std::string Deployment::balancerAddress(int number) const
{
    return addressToString(m_network.address(static_cast<std::uint8_t>(s_firstBalancerHost + number)));
}

std::string Deployment::hostAddress(const std::string &host) const
{
    return addressToString(m_network.address(m_hostNumbers.at(host)));
}

std::string Deployment::processAddress(const std::string &process) const
{
    if (process.starts_with("balancer-")) {
        return balancerAddress(std::stoi(process.substr(process.rfind('-') + 1)));
    }
    return hostAddress(process.substr(process.find('-') + 1));
}

std::string Deployment::controlAddresses() const
{
    std::string list;
    for (int number = 1; number <= m_options.balancers; ++number) {
        list += (list.empty() ? "" : ",") + balancerAddress(number) + s_controlPort;
    }
    return list;
}

std::string Deployment::storeEndpoint() const
{
    return addressToString(m_network.address(s_storeHost)) + (m_options.faultProxies ? s_proxyPort : s_dataPort);
}

} // namespace samphireswitch::standin
