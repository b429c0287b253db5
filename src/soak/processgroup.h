#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "soak/machinelayout.h"
#include "soak/processorallotment.h"
#include "soak/promisecheck.h"
#include "standin/childprocess.h"
#include "standin/faultrules.h"
#include "standin/loopbacknetwork.h"
#include "standin/tcprelay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace samphireswitch::soak {

struct ProcessGroupOptions
{
    /** The product's program. */
    std::string program;
    /** Folder of the settings templates, `balancer.ini` and `agent.ini`. */
    std::string templates;
    /** For settings and logs; exists. */
    std::string directory;
    unsigned balancers = 3;
    unsigned upstreams = 6;
    unsigned failureDomains = 2;
    std::uint64_t seed = 1;
    /** A restarted process finds the settings of its first start, which say that the whole system starts. */
    bool keepsFirstSettings = false;
    /** Shares of a core that processes get, as an allotment of each tenth of a second; 0: unlimited. */
    double balancerProcessorShare = 0;
    double agentProcessorShare = 0;
    /** Rate of the link that balancers divide, in megabits a second; 0: unknown to them. Loopback is not slowed. */
    double balancerLinkRate = 0;
};

/** Loopback addresses between the fabric's and the balancers'. */
constexpr unsigned s_mostCallerAddresses = 7;

/** Addresses of the soak's machines. Every machine has the same ports on an address of its own. */
class Addresses
{
public:
    explicit Addresses(standin::LoopbackNetwork network);

    Endpoint store() const;
    /** Where the machine @p name reaches the store. */
    Endpoint storeFor(const std::string &name) const;
    Endpoint fabric() const;
    /** The callers' address with the number @p index, from 0 to s_mostCallerAddresses - 1. */
    Endpoint callers(unsigned index) const;
    /** IPv4 address of `balancer-N`, `agent-N` or `upstream-N`. An upstream shares that of its agent. */
    std::uint32_t machine(const std::string &name) const;
    Endpoint packets(const std::string &name) const;
    Endpoint control(const std::string &name) const;
    Endpoint readiness(const std::string &name) const;
    Endpoint outbound(const std::string &name) const;
    Endpoint upstream(const std::string &name) const;
    /** Ports for the processes' own use. */
    std::uint16_t firstInternalPort() const;
    std::uint16_t secondInternalPort() const;

private:
    standin::LoopbackNetwork m_network;
};

/**
 * The balancers and agents as separate processes, each with a connection to the store that can be disturbed. Signals
 * only processes that it started. Processes that end unasked or too late are reported to the PromiseCheck.
 */
class ProcessGroup
{
public:
    ProcessGroup(boost::asio::io_context &context,
                 const ProcessGroupOptions &options,
                 const MachineLayout &layout,
                 PromiseCheck &check);

    /** Begins to watch the processes and opens the connections to the store. Fails with ResultCode::SocketError. */
    Result<void> open();

    /** Starts a process; @p isFirstStart if the whole system starts for the first time. */
    Result<void> start(const std::string &name, bool isFirstStart);

    /** Names the pool of the agent's upstream in the settings of the agent. */
    void setService(const std::string &agent, const std::string &service);

    void kill(const std::string &name);
    void setFrozen(const std::string &name, bool frozen);
    void reloadSettings(const std::string &name);

    /** Sends SIGTERM and calls @p done when the process has ended. */
    void stop(const std::string &name, std::function<void()> done);

    /** Executes a command of standin::FaultRules for the machine's connections to the store. */
    void disturbStore(const std::string &name, const std::string &command);

    const Addresses &addresses() const;

private:
    struct StoreLink
    {
        StoreLink(boost::asio::io_context &context, const Endpoint &store, std::uint64_t seed);

        standin::FaultRules rules;
        standin::TcpRelay relay;
    };

    struct Process
    {
        standin::ChildProcess child;
        bool isStopping = false;
        TimePoint stopBegan;
        std::optional<TimePoint> frozenSince;
        /** Time for which it stood still after its stop began. */
        std::chrono::nanoseconds frozenFor {0};
        std::function<void()> stopped;
        /** Size of the log at the start of the process, in bytes; earlier processes wrote to the same file. */
        std::uintmax_t logSize = 0;
        std::optional<ProcessorAllotment> allotment;
        bool isOutOfAllotment = false;
    };

    /** Opens the connection of the machine to the store, if it has none. */
    Result<void> openLink(const std::string &name);
    void watch();
    /** Lets processes stand still that have used up their allotments, and go on those that got new ones. */
    void applyAllotments();
    /** Sends the signal that lets the process run or stand still. */
    static void applyPause(const Process &process);
    /** Time that the process had to stop, without that in which it stood still. */
    static std::chrono::nanoseconds stoppingFor(const Process &process, TimePoint now);
    void ended(const std::string &name, Process &process, int status);
    /** Share of a core that the process gets; 0: unlimited. */
    double processorShareOf(const std::string &name) const;
    std::string logOf(const std::string &name) const;
    /** Whether the process has written nothing to its log. */
    bool hasNotStarted(const std::string &name, const Process &process) const;
    std::string writeSettings(const std::string &name, bool isFirstStart) const;

    boost::asio::io_context &m_context;
    ProcessGroupOptions m_options;
    const MachineLayout &m_layout;
    PromiseCheck &m_check;
    Addresses m_addresses;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_allotmentTimer;
    /** By the address of the machine, which another one may get. */
    std::map<std::uint32_t, std::unique_ptr<StoreLink>> m_storeLinks;
    std::map<std::string, Process> m_processes;
    /** Pools of the upstreams by agent. */
    std::map<std::string, std::string> m_services;
};

} // namespace samphireswitch::soak
