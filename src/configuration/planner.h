#pragma once

#include "configuration/configurationtable.h"
#include "configuration/declaration.h"
#include "configuration/plan.h"

#include <set>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** What a plan is to do, and what is known of the deployment. */
struct PlanRequest
{
    /** Identity of the plan. */
    std::string id;
    /** Remove the services that the declaration does not name. Otherwise they are not touched. */
    bool prune = false;
    /** Services that may be left without an active host. */
    std::set<std::string> closing;
    /** Services of which it is known that they hold no flow. All others are taken to hold some. */
    std::set<std::string> idle;
    /** Addresses that were given up recently. */
    std::vector<ReleasedAddress> released;
};

/** Compares declarations with the configuration in force. */
class Planner
{
public:
    /** @p inForce must outlive the planner. */
    explicit Planner(const ConfigurationTable &inForce);

    /** The plan that leads from the configuration in force to @p declaration. Without records if nothing changes. */
    Plan plan(const Declaration &declaration, const PlanRequest &request) const;

private:
    const ConfigurationTable &m_inForce;
};

} // namespace samphireswitch::configuration
