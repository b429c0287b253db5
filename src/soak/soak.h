#pragma once

#include "soak/callers.h"
#include "soak/fabric.h"
#include "soak/faultplan.h"
#include "soak/load.h"
#include "soak/machinelayout.h"
#include "soak/operator.h"
#include "soak/processgroup.h"
#include "soak/promisecheck.h"
#include "soak/storeserver.h"
#include "soak/upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace samphireswitch::soak {

struct SoakOptions
{
    ProcessGroupOptions processes;
    FaultPlanSettings faults;
    /** As in UpstreamSettings, for all upstreams. */
    bool upstreamsAcceptProbes = true;
    std::uint64_t firstReportSequence = 1;
    /** Faults begin so much later: balancers that start with the system reset nothing for 20 s. */
    std::chrono::milliseconds faultDelay {0};
    /** An agent ends within this time from the start of its upstream during the faults; 0: it does not. */
    std::chrono::milliseconds longestAgentLife {0};
    /** As in UpstreamSettings. */
    double otherWriterShare = 0;
    std::chrono::milliseconds longestClockStep {0};
    std::chrono::milliseconds reportInterval {1000};
    /** From the end of a process that was stopped as planned to its next start. */
    std::chrono::milliseconds restartDelay {300};
    /**
     * Standstills of processes a second, as on machines that others share. They are no disturbance in the rules, so
     * that all promises hold meanwhile. Only without faults that freeze processes.
     */
    double standstillsPerSecond = 0;
    /** Longest of them. */
    std::chrono::milliseconds longestStandstill {100};
    /** The same for the programs of upstreams, one of them or all, and of callers, all of them. */
    double endStandstillsPerSecond = 0;
    std::chrono::milliseconds longestEndStandstill {100};
    /** As in UpstreamSettings, for all upstreams. */
    std::chrono::milliseconds longestReturn {0};
    std::chrono::milliseconds idleClose {0};
    /**
     * Agents that come back later than the others after a death of processes, and by how much: they have ended by
     * themselves at their start, which is no disturbance in the rules.
     */
    unsigned lateAgents = 0;
    std::chrono::milliseconds lateBy {0};
    /** Share of the balancers and agents that are killed together, in hundredths. */
    unsigned killedShare = 100;
    /** As in RouterSettings. */
    bool hasZonedRouters = false;
    CallerSettings callers;
    LoadSettings load;
    /** Time that a caller's packet takes to a balancer. */
    std::chrono::milliseconds callerDistance {0};
    /** `slow_start_s` and `cold_per_s` of the pools; without a limit, no upstream is cold. */
    std::chrono::milliseconds slowStart {0};
    double coldRequestsPerSecond = 0;
    /** Upstreams of a pool work at different speeds. */
    bool hasUnequalUpstreams = false;
    /** `idle_timeout_ms` of the configuration. */
    std::chrono::milliseconds idleTimeout {60000};
    /** From the start of an agent to that of its upstream. Without it, the upstream's first report finds no agent. */
    std::chrono::milliseconds upstreamStartDelay {0};
    /** Play only the faults with these positions in the plan, to find out which of them a failure needs. Empty: all. */
    std::set<std::size_t> onlyFaults;
    /** The day of a site that is played: its machines, load and faults take the place of those above. */
    std::optional<platform::SiteDay> day;
};

/** Sets the options that @p day decides. */
void applyDay(platform::SiteDay day, SoakOptions &options);

/**
 * One run: starts everything, lets callers work while faults come and go, waits until the machines are in touch again
 * and then expects every request to be answered.
 */
class Soak
{
public:
    explicit Soak(const SoakOptions &options);

    /** Fails with ResultCode::SocketError or ResultCode::FileNotReadable if something cannot be started. */
    Result<void> run();

    /** Seed, faults, requests by outcome and what was violated. */
    boost::json::object report() const;

    bool hasViolations() const;

private:
    enum class Stage { Starting, Faults, Settling, Calm, Finishing, Stopping };

    Result<void> startAll();
    void startLoad();
    /** Packets of callers take their time to the balancer, unless it is disturbed otherwise. */
    void setCallerDistance(const std::string &balancer);
    void poll();
    /** Moves to the next stage when this one is over. */
    void advance(TimePoint now);
    void enter(Stage stage, TimePoint now);

    void begin(const PlannedFault &fault);
    void end(const PlannedFault &fault);
    /** A process or upstream ends and starts again after the time of the fault. */
    void killAndRestart(const std::vector<std::string> &machines, std::chrono::milliseconds downTime);
    void restart(const std::string &machine);
    void stopAndRestart(const std::string &name);
    void endAndRestart(const std::string &name);
    void replaceUpstream(unsigned number);
    /** A machine with an agent and an upstream is added; on the day of a site it is one like @p other. */
    void addUpstream(unsigned other);
    /** An upstream leaves, its agent is stopped, and their machine is taken away. Then calls @p done. */
    void removeUpstream(unsigned number, std::function<void()> done);
    /** Another machine, with an upstream of the other pool, gets the address of one that was taken away. */
    void reuseAddress(unsigned number);
    void startMachine(const UpstreamSettings &settings);
    void addBalancer();
    void removeBalancer(unsigned number);
    UpstreamSettings upstreamSettings(const std::string &name, const std::string &pool) const;
    void freeze(const std::string &machine, bool frozen);
    /** Lets a process stand still for a short time, and schedules the next standstill. */
    void beginStandstill();
    /** The same for callers or upstreams. */
    void beginEndStandstill();
    /** Lets @p freeze, which takes whether they stand still, have its way for a while of at most @p longest. */
    void standStill(std::chrono::milliseconds longest, const std::function<void(bool)> &freeze);
    void scheduleStandstill(boost::asio::steady_timer &timer, double perSecond, void (Soak::*handler)());
    /** Some of the processes, as many as are killed together; @p share is in hundredths. */
    std::vector<std::string> drawKilled(unsigned share);
    /** Starts machines that were reserved, and releases them. */
    void restartReserved(const std::vector<std::string> &machines);
    /** Takes the agents that come back late out of @p machines, and returns them. */
    std::vector<std::string> takeLate(std::vector<std::string> &machines) const;
    void changeRoute(unsigned number);
    /** The upstreams of a failure domain. */
    std::vector<std::string> upstreamsIn(const std::string &domain) const;
    /** The processes of all machines that are there. */
    std::vector<std::string> processes() const;
    std::vector<std::string> machines() const;
    Upstream *upstreamOf(const std::string &name);
    /** Takes machines for a fault that ends their processes; false if another fault has one of them. */
    bool reserve(const std::vector<std::string> &machines);
    void release(const std::vector<std::string> &machines);
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    void note(const std::string &text);
    void failToStart(const std::string &machine);

    SoakOptions m_options;
    MachineLayout m_layout;
    boost::asio::io_context m_context;
    PromiseCheck m_check;
    StoreServer m_store;
    Operator m_operator;
    ProcessGroup m_processes;
    Fabric m_fabric;
    Callers m_callers;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    /** Machines that are there. */
    std::vector<std::string> m_balancers;
    std::vector<std::string> m_agents;
    /** Numbers of the machines that were added last. */
    unsigned m_lastBalancer = 0;
    unsigned m_lastUpstream = 0;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_standstillTimer;
    boost::asio::steady_timer m_endStandstillTimer;
    std::mt19937_64 m_random;
    std::vector<PlannedFault> m_faults;
    std::set<std::string> m_reserved;
    Stage m_stage = Stage::Starting;
    TimePoint m_startedAt;
    TimePoint m_polledAt;
    TimePoint m_stageBegan;
    /** Actions that are scheduled, among them the ends of faults. */
    unsigned m_pendingActions = 0;
    unsigned m_skippedFaults = 0;
    std::vector<std::string> m_notes;
};

} // namespace samphireswitch::soak
