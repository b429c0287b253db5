#pragma once

#include "base/identifiers.h"
#include "standin/childprocess.h"
#include "standin/declaredservices.h"
#include "standin/journalcheck.h"
#include "standin/loopbacknetwork.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::standin {

struct DeploymentOptions
{
    /** Directory for settings, logs and journals; it is created. */
    std::string directory;
    /** Declaration of the services and hosts, INI. */
    std::string declaration;
    int balancers = 3;
    std::chrono::milliseconds fabricDelay {0};
    std::uint64_t seed = 1;
    /** Put a fault proxy in front of every balancer's data address, the fabric and the store. */
    bool faultProxies = false;
    /** More lines for the settings of every balancer or agent, as a `[timing]` section. In those of an agent, `{host}`
     * stands for the host's name; lines before the first section belong to `[agent]`. */
    std::string balancerSettings = {};
    std::string agentSettings = {};
};

struct CommandResult
{
    int status = 0;
    std::string output;
};

/**
 * A whole deployment on loopback: store, fabric, balancers, and an agent and an upstream per host. Processes are named
 * `store`, `fabric`, `balancer-N` (from 1), `agent-HOST`, `upstream-HOST`, and `proxy-` and the name of the process
 * behind it. All processes end with the object. Functions that fail throw std::runtime_error, because a test or demo
 * cannot go on without the process.
 */
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);

    /** Starts all processes. The declaration is not yet confirmed. */
    void startAll();

    void startStore();
    void startFabric();
    void startBalancer(int number);
    void startUpstream(const std::string &host, const std::vector<std::string> &moreFlags = {});
    void startAgent(const std::string &host);

    /** Starts a caller of @p service; @p flags in addition to those that the deployment determines. */
    ChildProcess &startCaller(const std::string &name, const std::string &service, std::vector<std::string> flags);

    ChildProcess &process(const std::string &name);

    /** Ends a process with SIGKILL and, if it is a balancer, lets the fabric spray over the others. */
    void killProcess(const std::string &name);

    /** Sends a line to the control port of the fabric or a proxy and returns the response. */
    std::string control(const std::string &name, const std::string &line) const;

    /** Lets the fabric spray packets over these balancers only. */
    void sprayOver(const std::vector<int> &balancers) const;

    /** Runs `samphireswitch` with @p arguments, adding --balancers, and --store where it is needed. */
    CommandResult run(std::vector<std::string> arguments);

    /** Plans @p declaration with more @p flags and returns the plan's identity. New hosts get addresses; they are not
     * started. */
    std::string plan(const std::string &declaration, const std::vector<std::string> &flags = {});

    CommandResult confirm(const std::string &planId);

    /** Plans and confirms @p declaration. */
    void apply(const std::string &declaration, const std::vector<std::string> &flags = {});

    /** A value of the metrics page of a balancer or agent; nothing if it does not respond within a second. */
    std::optional<double> metric(const std::string &process, const std::string &name) const;

    /** Sets the faults of the store stand-in, a JSON object as StoreStandIn describes it. */
    void setStoreFaults(const std::string &faults) const;

    /** Whether all running balancers have at least this configuration generation. */
    bool isInForce(Generation generation);

    /** Waits until each service answers a request. Throws if one does not within @p limit. */
    void waitUntilServing(std::chrono::milliseconds limit);

    /** The same for one service. */
    void waitUntilServing(const std::string &service, std::chrono::milliseconds limit);

    /** Waits for @p condition; returns false after @p limit. */
    static bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    /** Report of JournalCheck over all journals of this deployment. */
    boost::json::object checkJournals(const JournalLimits &limits) const;

    /** All journal lines of upstreams or of callers. */
    std::vector<boost::json::object> journalLines(const std::string &namePrefix) const;

    const DeclaredServices &declared() const;
    const std::string &directory() const;
    int balancerCount() const;

private:
    void start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments);
    /** Waits until @p address (ip:port) accepts TCP connections. */
    static void waitUntilListening(const std::string &address);
    void startProxy(const std::string &target, const std::string &listen, const std::string &forward);
    std::string writeFile(const std::string &name, const std::string &text) const;
    std::string file(const std::string &name) const;
    std::string balancerAddress(int number) const;
    std::string hostAddress(const std::string &host) const;
    std::string processAddress(const std::string &process) const;
    std::string controlAddresses() const;
    std::string storeEndpoint() const;
    void declare(const std::string &declaration);

    DeploymentOptions m_options;
    LoopbackNetwork m_network;
    DeclaredServices m_declared;
    std::map<std::string, std::uint8_t> m_hostNumbers;
    std::map<std::string, ChildProcess> m_processes;
    std::vector<std::string> m_journals;
    int m_callers = 0;
    int m_probes = 0;
    int m_commands = 0;
    int m_declarations = 0;
};

} // namespace samphireswitch::standin
