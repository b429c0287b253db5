#pragma once

#include "configuration/configurationtable.h"
#include "configuration/declaration.h"
#include "configuration/plan.h"

#include <set>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** The options of a plan, and the state of the deployment that the planner takes into account. */
struct PlanRequest
{
    /** Identifier of the new plan. */
    std::string id;
    /** True to remove services that the declaration does not name; false to leave them unchanged. */
    bool prune = false;
    /** Names of services that the plan may leave without an active host (option `--close`). */
    std::set<std::string> closing;
    /** Names of services that are known to have no flows. All other services are assumed to have flows. */
    std::set<std::string> idle;
    /** Addresses that services released less than s_addressReservation ago. */
    std::vector<ReleasedAddress> released;
};

/** Computes the plan that turns the configuration in force into a declared one. */
class Planner
{
public:
    /** Keeps a reference to @p inForce, which must outlive the planner. */
    explicit Planner(const ConfigurationTable &inForce);

    /**
     * Returns the plan that changes the configuration in force to @p declaration. The plan has no records if nothing
     * changes. Changes that are not permitted are listed in Plan::refusals.
     */
    Plan plan(const Declaration &declaration, const PlanRequest &request) const;

private:
    const ConfigurationTable &m_inForce;
};

} // namespace samphireswitch::configuration
