#include "world.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace samphireswitch::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds s_poll {50};
// Balancers that have started with the whole system know after 20 s that they have heard of all agents.
constexpr milliseconds s_settleTime {21000};
constexpr milliseconds s_work {25};
constexpr milliseconds s_longestRun {100000};

std::string numbered(const std::string &kind, unsigned number)
{
    return kind + "-" + std::to_string(number);
}

soak::FabricBalancer
fabricBalancer(const soak::Addresses &addresses, const soak::MachineLayout &layout, const std::string &name)
{
    return {name, addresses.packets(name), addresses.readiness(name), layout.failureDomain(name)};
}

std::vector<soak::FabricBalancer>
fabricBalancers(const soak::Addresses &addresses, const soak::MachineLayout &layout, unsigned count)
{
    std::vector<soak::FabricBalancer> balancers;
    for (unsigned number = 1; number <= count; ++number) {
        balancers.push_back(fabricBalancer(addresses, layout, numbered("balancer", number)));
    }
    return balancers;
}

soak::ProcessGroupOptions processOptions(const WorldOptions &options)
{
    soak::ProcessGroupOptions processes;
    processes.program = options.program;
    processes.templates = options.directory;
    processes.directory = options.directory;
    processes.balancers = options.balancers;
    processes.upstreams = options.machines;
    processes.failureDomains = options.zones;
    return processes;
}

} // namespace

World::World(const WorldOptions &options)
    : m_options(options)
    , m_record(options.record)
    , m_judge(m_record)
    , m_layout(options.zones)
    , m_store(m_context)
    , m_operator(m_store, m_check, {})
    , m_processes(m_context, processOptions(options), m_layout, m_check)
    , m_fabric(m_context, fabricBalancers(m_processes.addresses(), m_layout, options.balancers), m_check, {})
    , m_requesters(m_context, m_fabric, m_judge, m_record)
{
}

bool World::start(std::function<void()> ready)
{
    const soak::Addresses &addresses = m_processes.addresses();
    if (!m_store.listen(addresses.store())) {
        return false;
    }
    m_operator.publishConfiguration();
    if (!m_processes.open()) {
        return false;
    }
    for (unsigned number = 1; number <= m_options.balancers; ++number) {
        startProcess(numbered("balancer", number), true);
    }
    for (unsigned number = 1; number <= m_options.machines; ++number) {
        startProcess(numbered("agent", number), true);
        addMachine(number, milliseconds(200));
    }
    if (!m_fabric.start(addresses.fabric()) || !m_requesters.start(addresses.callers(0))) {
        return false;
    }
    waitUntilReady(std::move(ready));
    return true;
}

void World::waitUntilReady(std::function<void()> ready)
{
    after(s_poll, [this, ready = std::move(ready)]() mutable {
        if (m_fabric.isComplete()) {
            after(s_settleTime, std::move(ready));
        } else {
            waitUntilReady(std::move(ready));
        }
    });
}

bool World::run()
{
    after(s_longestRun, [this] { m_context.stop(); });
    m_context.run();
    return m_isFinished;
}

void World::finish()
{
    m_isFinished = true;
    for (const std::string &name : m_names) {
        m_processes.kill(name);
    }
    m_context.stop();
}

void World::after(milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
        if (!error) {
            action();
        }
    });
}

void World::addMachine(unsigned number, milliseconds hostDelay, const HostStart &start)
{
    const std::string agent = numbered("agent", number);
    const std::string name = numbered("upstream", number);
    if (number > m_options.machines) {
        startProcess(agent, false);
    }
    const soak::Addresses &addresses = m_processes.addresses();
    HostSettings settings;
    settings.name = name;
    settings.service = m_layout.pool(number);
    settings.zone = m_layout.failureDomain(name);
    settings.address = addresses.upstream(name);
    settings.outbound = addresses.outbound(name);
    settings.reports = addresses.control(name);
    settings.firstSequence = start.firstSequence;
    settings.clockAhead = start.clockAhead;
    settings.work = s_work;
    settings.seed = number;
    m_hosts[number] = std::make_unique<Host>(m_context, settings, m_judge, m_record);
    after(hostDelay, [this, number] {
        if (!m_hosts[number]->start()) {
            fail("a host could not be started");
        }
    });
}

void World::addBalancer(unsigned number)
{
    const std::string name = numbered("balancer", number);
    m_fabric.add(fabricBalancer(m_processes.addresses(), m_layout, name));
    startProcess(name, false);
}

void World::killAgent(unsigned number, milliseconds delay)
{
    const std::string name = numbered("agent", number);
    m_judge.disturbed(name + " (SIGKILL)");
    m_processes.kill(name);
    after(delay, [this, name] { startProcess(name, false); });
}

void World::fail(const std::string &reason)
{
    m_record.write("not judged: " + reason);
    m_hasFailed = true;
}

bool World::hasFailed() const
{
    return m_hasFailed;
}

Host &World::host(unsigned number)
{
    return *m_hosts.at(number);
}

Requesters &World::requesters()
{
    return m_requesters;
}

Judge &World::judge()
{
    return m_judge;
}

Record &World::record()
{
    return m_record;
}

bool World::hasTrouble() const
{
    return m_options.hasTrouble;
}

Endpoint World::route()
{
    return soak::mainRoute(soak::OrderRoute);
}

void World::writeTemplates(const std::string &name)
{
    // The soak fills in no service, whereas the platform tells each agent that of its host.
    const std::string service = m_layout.pool(soak::numberOf(name));
    for (const std::string file : {"/agent.ini", "/balancer.ini"}) {
        std::ifstream stream(m_options.templates + file);
        std::ostringstream text;
        text << stream.rdbuf();
        std::ofstream(m_options.directory + file)
            << boost::algorithm::replace_all_copy(text.str(), "{{service}}", service);
    }
}

void World::startProcess(const std::string &name, bool isFirst)
{
    writeTemplates(name);
    if (!m_processes.start(name, isFirst)) {
        fail(name + " could not be started");
        return;
    }
    m_names.push_back(name);
    m_requesters.nameSender(m_processes.addresses().machine(name), name);
    m_record.write(name + " starts");
}

} // namespace samphireswitch::review
