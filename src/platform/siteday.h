#pragma once

#include "base/resultcode.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::platform {

/** What happens on a day of a site file, in the words of this project. */
enum class DayAction {
    /** Planned. */
    RestartBalancers,
    AddBalancers,
    /** New machines with upstreams take the place of others of the same pool. */
    MoveUpstreams,
    AddUpstreams,
    RemoveUpstreams,
    ReuseAddresses,
    ReloadSettings,
    /** The operator publishes the configuration again as a new version, with other time limits. */
    PublishConfiguration,
    ChangeRoutes,
    /** Unplanned. */
    KillBalancers,
    /** Processes of balancers and agents die together, while the upstreams run on. */
    KillProcesses,
    /** All machines lose power. */
    LosePower,
    CutBalancers,
    CutBalancersFromStore,
    /** The store turns some machines away, of balancers and of agents. */
    TurnMachinesAway,
    StopStore,
    SlowStore,
    LoseStoreAnswers,
    ForgetStoreHistory,
};

/** One entry of a day. Times are from the start of the load. */
struct DayEvent
{
    DayAction action = DayAction::RestartBalancers;
    std::chrono::milliseconds begin {0};
    std::chrono::milliseconds duration {0};
    /** From one step to the next. */
    std::chrono::milliseconds gap {0};
    /** Share of the machines that the action fits, unless there is a count. */
    double share = 1;
    std::optional<unsigned> count;
    /** Machines in one step. */
    unsigned atOnce = 1;
    /** Name of the pool whose upstreams it concerns; empty: any. */
    std::string pool;
};

/** A machine with an agent and an upstream. */
struct SiteUpstream
{
    std::string failureDomain;
    std::string pool;
};

struct SitePool
{
    std::string name;
    unsigned slots = 1;
    /** Requests that wait for a slot at each upstream. */
    unsigned queue = 0;
    /** Upstreams close flows that are idle for longer; 0: never. */
    std::chrono::milliseconds idleClose {0};
};

/** One kind of request, over all failure domains. */
struct SiteRequests
{
    std::string name;
    std::string pool;
    bool isIdempotent = true;
    /** Callers send one request after the other on a flow; otherwise each has a flow of its own. */
    bool keepsFlows = true;
    double perSecond = 0;
    /** Flows that are kept. */
    unsigned flows = 0;
    /** Means, in bytes. */
    unsigned bodySize = 0;
    unsigned answerSize = 0;
    std::chrono::milliseconds work {0};
    /** Callers give up after this time. */
    std::chrono::milliseconds budget {0};
};

/** A deployment, and what happens on one of its days. */
struct SiteDay
{
    std::vector<std::string> failureDomains;
    /** The failure domain of each balancer. */
    std::vector<std::string> balancers;
    /** The same of machines that may be added. */
    std::vector<std::string> spareBalancers;
    std::vector<SiteUpstream> upstreams;
    std::vector<SitePool> pools;
    std::vector<SiteRequests> requests;
    /** Shares of a core. */
    double balancerProcessorShare = 0;
    double agentProcessorShare = 0;
    std::chrono::milliseconds reportInterval {1000};
    /** Time of a packet from a caller to a balancer. */
    std::chrono::milliseconds callerDistance {0};
    std::vector<DayEvent> events;
    /** Entries of the day that have no action here. */
    std::vector<std::string> unknownEntries;
};

/** Whether @p pool is the first one of the site; also true if the site names none. */
bool isFirstPool(const SiteDay &day, const std::string &pool);

/**
 * Reads the day @p name of the site file at @p path. Fails with ResultCode::FileNotReadable or
 * ResultCode::InvalidDeclaration.
 */
Result<SiteDay> readSiteDay(const std::string &path, const std::string &name);

} // namespace samphireswitch::platform
