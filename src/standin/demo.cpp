#include "standin/demo.h"

#include <boost/json/serialize.hpp>

#include <csignal>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace samphireswitch::standin {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds s_delayToCallers {3};
constexpr milliseconds s_meanWork {50};
constexpr double s_steadyLoad = 0.6; ///< share of the capacity
constexpr double s_surgeLoad = 2;
constexpr seconds s_surgeStart {10};
constexpr seconds s_surgeDuration {10};
constexpr seconds s_drainStart {22};
constexpr seconds s_balancerDeath {26};
constexpr seconds s_loadDuration {30};
constexpr seconds s_startLimit {20};
constexpr seconds s_endLimit {30};
constexpr int s_feeds = 300;
// Work and network time that one request occupies a slot for: the handshake and the request cross the fabric.
constexpr double s_secondsPerRequest = 0.06;
constexpr std::size_t s_timelineLines = 12;

JournalTime wallClock()
{
    return std::chrono::duration_cast<JournalTime>(std::chrono::system_clock::now().time_since_epoch());
}

std::string text(double value)
{
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(2) << value;
    return stream.str();
}

std::string text(std::optional<double> value)
{
    return value ? text(*value) : std::string("none");
}

std::string text(const LatencyPercentiles &latency)
{
    constexpr double microsecondsPerMillisecond = 1000;
    if (latency.count == 0) {
        return "no requests";
    }
    return text(static_cast<double>(latency.median.count()) / microsecondsPerMillisecond) + " / "
        + text(static_cast<double>(latency.high.count()) / microsecondsPerMillisecond) + " ms ("
        + std::to_string(latency.count) + " requests)";
}

void printLastLines(const std::string &output, std::size_t count)
{
    std::vector<std::string> lines;
    std::istringstream stream(output);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    for (std::size_t number = lines.size() > count ? lines.size() - count : 0; number < lines.size(); ++number) {
        std::cout << "  " << lines[number] << '\n';
    }
}

/** Changes the state of @p host in @p declaration to draining. */
std::string withDrainedHost(const std::string &declaration, const std::string &host)
{
    const std::string active = "state = active";
    const std::size_t section = declaration.find("[host " + host + "]");
    const std::size_t state = declaration.find(active, section);
    if (section == std::string::npos || state == std::string::npos) {
        throw std::runtime_error("the declaration has no active host " + host);
    }
    std::string changed = declaration;
    return changed.replace(state, active.size(), "state = draining");
}

} // namespace

Demo::Demo(const std::string &declaration, const std::string &directory)
    : m_declaration(declaration)
    , m_deployment({.directory = directory, .declaration = declaration, .fabricDelay = s_delayToCallers})
    , m_processStart(Clock::now())
{
}

bool Demo::run()
{
    startServing();
    startCallers();
    std::this_thread::sleep_for(s_drainStart);
    drainHost();
    std::this_thread::sleep_for(s_balancerDeath - s_drainStart);
    killBalancer();
    waitForCallers();
    return report();
}

void Demo::announce(const std::string &message) const
{
    const auto age = std::chrono::duration<double>(Clock::now() - m_processStart);
    std::cout << "[" << text(age.count()) << " s] " << message << std::endl;
}

void Demo::startServing()
{
    m_deployment.startAll();
    announce("started " + std::to_string(m_deployment.balancerCount()) + " balancers and "
             + std::to_string(m_deployment.declared().hosts.size()) + " hosts");
    const std::string plan = m_deployment.plan(m_declaration);
    const CommandResult confirmed = m_deployment.confirm(plan);
    announce("confirmed plan " + plan + ":");
    printLastLines(confirmed.output, s_timelineLines);
    if (confirmed.status != 0) {
        throw std::runtime_error("the plan was not confirmed");
    }
    m_deployment.waitUntilServing(s_startLimit);
    announce("all services answer");
}

void Demo::startCallers()
{
    for (const DeclaredService &service : m_deployment.declared().services) {
        const auto slots = static_cast<double>(hostsOf(service.name).size()) * service.slots;
        const double capacity = slots / s_secondsPerRequest;
        std::vector<std::string> flags {"--rate=" + std::to_string(capacity * s_steadyLoad),
                                        "--surge_rate=" + std::to_string(capacity * s_surgeLoad),
                                        "--surge_start_ms=" + std::to_string(milliseconds(s_surgeStart).count()),
                                        "--surge_duration_ms=" + std::to_string(milliseconds(s_surgeDuration).count()),
                                        "--duration_ms=" + std::to_string(milliseconds(s_loadDuration).count()),
                                        "--work_ms=" + std::to_string(s_meanWork.count())};
        if (service.feedPort != 0) {
            flags.insert(flags.end(), {"--feeds=" + std::to_string(s_feeds), "--straggler_share=0"});
        } else {
            flags.insert(
                flags.end(),
                {"--straggler_share=0.01", "--straggler_factor=20", "--upload_share=0.2", "--upload_bytes=60000"});
        }
        m_deployment.startCaller(service.name, service.name, flags);
    }
    m_loadStart = wallClock();
    announce("load at " + text(s_steadyLoad) + " of the capacity, at " + text(s_surgeLoad) + " from 10 s to 20 s; "
             + std::to_string(s_feeds) + " feeds");
}

void Demo::drainHost()
{
    m_drainedHost = m_deployment.declared().hosts.front().name;
    m_deployment.apply(withDrainedHost(m_declaration, m_drainedHost));
    m_drainTime = wallClock();
    announce("confirmed the drain of " + m_drainedHost);
}

void Demo::killBalancer()
{
    m_deployment.killProcess("balancer-1");
    announce("killed balancer-1");
}

void Demo::waitForCallers()
{
    for (const DeclaredService &service : m_deployment.declared().services) {
        if (!m_deployment.process("caller-" + service.name).wait(s_loadDuration + s_endLimit)) {
            throw std::runtime_error("the caller of " + service.name + " did not end");
        }
    }
    announce("all callers have ended");
}

bool Demo::report()
{
    const boost::json::object check = m_deployment.checkJournals({});
    const RunReport runReport(m_deployment.journalLines("caller-"), m_deployment.journalLines("upstream-"));
    std::cout << "\nrequests and feeds (all services):\n";
    for (const char *name : {"asked",
                             "answered",
                             "refused",
                             "lost",
                             "doubled",
                             "refused_but_executed",
                             "damaged_answers",
                             "feeds_held",
                             "feeds_not_opened",
                             "feeds_broken"}) {
        std::cout << "  " << std::left << std::setw(22) << name << check.at(name) << '\n';
    }
    for (const DeclaredService &service : m_deployment.declared().services) {
        reportService(service, runReport);
    }
    std::cout << "\nthe fabric's packets, which shows that single flows crossed all balancers:\n  "
              << m_deployment.control("fabric", "counts");
    std::cout << "\ntime line (last lines):\n";
    printLastLines(m_deployment.run({"timeline"}).output, s_timelineLines);
    const bool held = check.at("broken").as_array().empty();
    std::cout << "\nguarantees broken: " << boost::json::serialize(check.at("broken"))
              << "\nfiles of this run: " << m_deployment.directory() << std::endl;
    return held;
}

void Demo::reportService(const DeclaredService &service, const RunReport &runReport)
{
    const JournalTime surgeStart = m_loadStart + s_surgeStart;
    const JournalTime surgeEnd = surgeStart + s_surgeDuration;
    const std::set<std::string> hosts = hostsOf(service.name);
    std::set<std::string> remaining = hosts;
    remaining.erase(m_drainedHost);
    std::cout << "\n" << service.name << ":\n";
    const auto printLatency = [&](const char *phase, JournalTime from, JournalTime to) {
        std::cout << "  latency, 50th / 99th percentile, " << phase << ": short work "
                  << text(runReport.latency(service.name, false, from, to)) << ", long work "
                  << text(runReport.latency(service.name, true, from, to)) << '\n';
    };
    printLatency("steady", m_loadStart, surgeStart);
    printLatency("surge", surgeStart, surgeEnd);
    printLatency("drain and loss of a balancer", m_drainTime, m_loadStart + s_loadDuration);
    std::cout << "  imbalance of busy slots (maximum over mean): steady "
              << text(runReport.slotImbalance(hosts, m_loadStart, surgeStart)) << ", surge "
              << text(runReport.slotImbalance(hosts, surgeStart, surgeEnd)) << ", after the drain "
              << text(runReport.slotImbalance(remaining, m_drainTime, m_loadStart + s_loadDuration)) << '\n';
    if (service.feedPort != 0) {
        std::cout << "  imbalance of feeds held: steady " << text(runReport.feedImbalance(hosts, surgeStart)) << '\n';
    }
}

std::set<std::string> Demo::hostsOf(const std::string &service) const
{
    std::set<std::string> names;
    for (const DeclaredHost &host : m_deployment.declared().hosts) {
        if (host.service == service) {
            names.insert(host.name);
        }
    }
    return names;
}

} // namespace samphireswitch::standin
