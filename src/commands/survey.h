#pragma once

#include "base/attempt.h"
#include "base/endpoint.h"
#include "protocol/status.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace samphireswitch::commands {

/** What a process answered when it was asked for its status. */
struct ProcessReport
{
    Endpoint control;
    /** Name as other processes know it; empty for an address from the command line that does not respond. */
    std::string name;
    Attempt<protocol::Status> status;
};

/** The processes of a deployment. */
struct Survey
{
    /** Balancers first, then agents, by name. */
    std::vector<ProcessReport> processes;
    /** Members that the balancers take for dead or that have left; they are not asked. */
    std::vector<protocol::MemberRecord> absent;
    /** The newest record of every member that is not absent. */
    std::vector<protocol::MemberRecord> present;
};

/** Asks @p balancers for their status, and then every process that they know. */
Survey surveyDeployment(const std::vector<Endpoint> &balancers, std::chrono::milliseconds timeLimit);

/**
 * The services of @p names of which every agent responded and holds no connection. Empty if a process does not
 * respond, because it may know of agents that the others do not.
 */
std::set<std::string> idleServices(const Survey &survey, const std::vector<std::string> &names);

} // namespace samphireswitch::commands
