#include "soak/processgroup.h"

#include <boost/algorithm/string/replace.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

namespace samphireswitch::soak {

namespace {

constexpr std::uint8_t s_storeHost = 1;
constexpr std::uint8_t s_fabricHost = 2;
constexpr std::uint8_t s_firstCallersHost = 3;
constexpr std::uint8_t s_firstBalancerHost = 10;
constexpr std::uint8_t s_firstUpstreamHost = 100;

constexpr std::uint16_t s_packetPort = 7100;
constexpr std::uint16_t s_controlPort = 7101;
constexpr std::uint16_t s_readinessPort = 7102;
constexpr std::uint16_t s_outboundPort = 7103;
constexpr std::uint16_t s_upstreamPort = 7104;
constexpr std::uint16_t s_firstInternalPort = 7110;
constexpr std::uint16_t s_secondInternalPort = 7111;
constexpr std::uint16_t s_storePort = 7100;
constexpr std::uint16_t s_firstStoreLinkPort = 7200;

constexpr std::chrono::milliseconds s_watchInterval {20};
constexpr std::chrono::milliseconds s_allotmentCheckInterval {1};
// `grace_s` of the deployments: the platform kills a process that takes longer to stop.
constexpr std::chrono::seconds s_stopLimit {6};
// Status of a process that SIGTERM has ended.
constexpr int s_terminatedStatus = 128 + SIGTERM;

bool isBalancer(const std::string &name)
{
    return name.starts_with("balancer-");
}

/** Size of the file in bytes; 0 if there is none. */
std::uintmax_t sizeOf(const std::string &path)
{
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(path, error);
    return error ? 0 : size;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

Addresses::Addresses(standin::LoopbackNetwork network)
    : m_network(std::move(network))
{
}

Endpoint Addresses::store() const
{
    return {m_network.address(s_storeHost), s_storePort};
}

Endpoint Addresses::storeFor(const std::string &name) const
{
    const std::uint32_t offset = machine(name) - m_network.address(0);
    return {m_network.address(s_storeHost), static_cast<std::uint16_t>(s_firstStoreLinkPort + offset)};
}

Endpoint Addresses::fabric() const
{
    return {m_network.address(s_fabricHost), s_packetPort};
}

Endpoint Addresses::callers(unsigned index) const
{
    return {m_network.address(static_cast<std::uint8_t>(s_firstCallersHost + index)), s_packetPort};
}

std::uint32_t Addresses::machine(const std::string &name) const
{
    const std::uint8_t first = isBalancer(name) ? s_firstBalancerHost : s_firstUpstreamHost;
    return m_network.address(static_cast<std::uint8_t>(first + numberOf(name)));
}

Endpoint Addresses::packets(const std::string &name) const
{
    return {machine(name), s_packetPort};
}

Endpoint Addresses::control(const std::string &name) const
{
    return {machine(name), s_controlPort};
}

Endpoint Addresses::readiness(const std::string &name) const
{
    return {machine(name), s_readinessPort};
}

Endpoint Addresses::outbound(const std::string &name) const
{
    return {machine(name), s_outboundPort};
}

Endpoint Addresses::upstream(const std::string &name) const
{
    return {machine(name), s_upstreamPort};
}

std::uint16_t Addresses::firstInternalPort() const
{
    return s_firstInternalPort;
}

std::uint16_t Addresses::secondInternalPort() const
{
    return s_secondInternalPort;
}

ProcessGroup::StoreLink::StoreLink(boost::asio::io_context &context, const Endpoint &store, std::uint64_t seed)
    : rules(seed)
    , relay(context, rules, store)
{
}

ProcessGroup::ProcessGroup(boost::asio::io_context &context,
                           const ProcessGroupOptions &options,
                           const MachineLayout &layout,
                           PromiseCheck &check)
    : m_context(context)
    , m_options(options)
    , m_layout(layout)
    , m_check(check)
    , m_addresses([] {
        auto network = standin::LoopbackNetwork::reserve();
        if (!network) {
            throw std::runtime_error("no loopback network is free");
        }
        return std::move(*network);
    }())
    , m_timer(context)
    , m_allotmentTimer(context)
{
}

Result<void> ProcessGroup::open()
{
    watch();
    if (m_options.balancerProcessorShare > 0 || m_options.agentProcessorShare > 0) {
        applyAllotments();
    }
    for (unsigned number = 1; number <= m_options.balancers; ++number) {
        BOOST_LEAF_CHECK(openLink("balancer-" + std::to_string(number)));
    }
    for (unsigned number = 1; number <= m_options.upstreams; ++number) {
        BOOST_LEAF_CHECK(openLink("agent-" + std::to_string(number)));
    }
    return {};
}

Result<void> ProcessGroup::openLink(const std::string &name)
{
    const std::uint32_t machine = m_addresses.machine(name);
    if (m_storeLinks.contains(machine)) {
        return {};
    }
    auto link = std::make_unique<StoreLink>(m_context, m_addresses.store(), m_options.seed + m_storeLinks.size());
    BOOST_LEAF_CHECK(link->relay.listen(m_addresses.storeFor(name)));
    m_storeLinks.emplace(machine, std::move(link));
    return {};
}

Result<void> ProcessGroup::start(const std::string &name, bool isFirstStart)
{
    BOOST_LEAF_CHECK(openLink(name));
    const std::string role = isBalancer(name) ? "balancer" : "agent";
    const std::uintmax_t logSize = sizeOf(logOf(name));
    BOOST_LEAF_AUTO(
        child, standin::ChildProcess::start(m_options.program, {role, writeSettings(name, isFirstStart)}, logOf(name)));
    const double share = processorShareOf(name);
    auto allotment = share > 0 ? std::optional(ProcessorAllotment(share, Clock::now())) : std::nullopt;
    m_processes.insert_or_assign(name,
                                 Process {std::move(child), false, {}, {}, {}, nullptr, logSize, allotment, false});
    return {};
}

void ProcessGroup::setService(const std::string &agent, const std::string &service)
{
    m_services[agent] = service;
}

void ProcessGroup::kill(const std::string &name)
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end()) {
        return;
    }
    found->second.child.kill();
    const auto stopped = std::exchange(found->second.stopped, nullptr);
    m_processes.erase(found);
    if (stopped) {
        stopped();
    }
}

void ProcessGroup::setFrozen(const std::string &name, bool frozen)
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end()) {
        return;
    }
    Process &process = found->second;
    const TimePoint now = Clock::now();
    if (frozen) {
        process.frozenSince = process.frozenSince.value_or(now);
    } else if (process.frozenSince) {
        process.frozenFor += now - std::max(*process.frozenSince, process.stopBegan);
        process.frozenSince.reset();
    }
    applyPause(process);
}

void ProcessGroup::applyPause(const Process &process)
{
    process.child.signal(process.frozenSince || process.isOutOfAllotment ? SIGSTOP : SIGCONT);
}

void ProcessGroup::applyAllotments()
{
    const TimePoint now = Clock::now();
    for (auto &[name, process] : m_processes) {
        const auto used = process.child.processorTime();
        if (!process.allotment || !used) {
            continue;
        }
        const bool isOut = !process.allotment->mayRun(*used, now);
        if (isOut != std::exchange(process.isOutOfAllotment, isOut)) {
            applyPause(process);
        }
    }
    m_allotmentTimer.expires_after(s_allotmentCheckInterval);
    m_allotmentTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            applyAllotments();
        }
    });
}

void ProcessGroup::reloadSettings(const std::string &name)
{
    const auto found = m_processes.find(name);
    if (found != m_processes.end()) {
        found->second.child.signal(SIGHUP);
    }
}

void ProcessGroup::stop(const std::string &name, std::function<void()> done)
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end()) {
        done();
        return;
    }
    found->second.isStopping = true;
    found->second.stopBegan = Clock::now();
    found->second.frozenFor = {};
    found->second.stopped = std::move(done);
    found->second.child.signal(SIGTERM);
}

void ProcessGroup::disturbStore(const std::string &name, const std::string &command)
{
    m_storeLinks.at(m_addresses.machine(name))->rules.execute(command);
}

const Addresses &ProcessGroup::addresses() const
{
    return m_addresses;
}

void ProcessGroup::watch()
{
    const TimePoint now = Clock::now();
    std::vector<std::pair<std::string, int>> endedProcesses;
    for (auto &[name, process] : m_processes) {
        if (process.isStopping && stoppingFor(process, now) > s_stopLimit) {
            m_check.violated(Promise::Process, now, name + " did not stop in time");
            process.child.kill();
        }
        if (const auto status = process.child.wait(std::chrono::milliseconds(0))) {
            endedProcesses.emplace_back(name, *status);
        }
    }
    for (const auto &[name, status] : endedProcesses) {
        Process process = std::move(m_processes.at(name));
        m_processes.erase(name);
        ended(name, process, status);
    }
    m_timer.expires_after(s_watchInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            watch();
        }
    });
}

std::chrono::nanoseconds ProcessGroup::stoppingFor(const Process &process, TimePoint now)
{
    const TimePoint frozenSince = std::max(process.frozenSince.value_or(now), process.stopBegan);
    return now - process.stopBegan - process.frozenFor - (now - frozenSince);
}

void ProcessGroup::ended(const std::string &name, Process &process, int status)
{
    // A signal that arrives while the libraries are loaded ends the process before it can handle any.
    const bool endedAtStart = status == s_terminatedStatus && hasNotStarted(name, process);
    if (!process.isStopping || (status != 0 && !endedAtStart)) {
        m_check.violated(Promise::Process, Clock::now(), name + " ended with status " + std::to_string(status));
    }
    if (process.stopped) {
        process.stopped();
    }
}

double ProcessGroup::processorShareOf(const std::string &name) const
{
    return isBalancer(name) ? m_options.balancerProcessorShare : m_options.agentProcessorShare;
}

std::string ProcessGroup::logOf(const std::string &name) const
{
    return m_options.directory + "/" + name + ".log";
}

bool ProcessGroup::hasNotStarted(const std::string &name, const Process &process) const
{
    return sizeOf(logOf(name)) == process.logSize;
}

std::string ProcessGroup::writeSettings(const std::string &name, bool isFirstStart) const
{
    std::string seeds;
    for (unsigned number = 1; number <= m_options.balancers; ++number) {
        seeds += (seeds.empty() ? "" : ",") + toString(m_addresses.control("balancer-" + std::to_string(number)));
    }
    const double share = processorShareOf(name);
    const auto service = m_services.find(name);
    const std::map<std::string, std::string> values {
        {"node_name", name},
        {"zone", m_layout.failureDomain(name)},
        {"service", service == m_services.end() ? "unknown" : service->second},
        {"ip", addressToString(m_addresses.machine(name))},
        {"listen.packet_addr", toString(m_addresses.packets(name))},
        {"listen.control", toString(m_addresses.control(name))},
        {"listen.readiness_addr", toString(m_addresses.readiness(name))},
        {"listen.outbound", toString(m_addresses.outbound(name))},
        {"internal_port_range.0", std::to_string(m_addresses.firstInternalPort())},
        {"internal_port_range.1", std::to_string(m_addresses.secondInternalPort())},
        {"app", toString(m_addresses.upstream(name))},
        {"seeds", seeds},
        {"bootstrap", isFirstStart || m_options.keepsFirstSettings ? "true" : "false"},
        // Loopback has no rate of its own.
        {"limits.link_mbps", m_options.balancerLinkRate > 0 ? std::to_string(m_options.balancerLinkRate) : ""},
        {"limits.cpu_share", share > 0 ? std::to_string(share) : ""},
        {"platform.address", toString(m_addresses.storeFor(name))}};
    std::string text = readFile(m_options.templates + (isBalancer(name) ? "/balancer.ini" : "/agent.ini"));
    for (const auto &[field, value] : values) {
        boost::algorithm::replace_all(text, "{{" + field + "}}", value);
    }
    std::string path = m_options.directory + "/" + name + ".ini";
    // Some file systems write the data of a file that replaces another one to the disk at once, which may take seconds.
    // Callers and upstreams would stand still meanwhile.
    std::filesystem::remove(path);
    std::ofstream(path) << text;
    return path;
}

} // namespace samphireswitch::soak
