#pragma once

#include "configuration/configurationtable.h"
#include "configuration/declaration.h"
#include "configuration/plan.h"
#include "configuration/planner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphireswitch::configuration {

/**
 * Adds the evacuations of a declaration to a plan: which failure domains are evacuated or taken back, which hosts this
 * concerns, and the capacity that is left. Refuses to leave a service without an active host that gets new work, unless
 * the request names the service as closing. A plan is made of the services first; see Planner.
 */
class EvacuationPlanner
{
public:
    /** Keeps references to its arguments. @p services are those in force after the plan, without tombstones. */
    EvacuationPlanner(const ConfigurationTable &inForce,
                      const std::map<std::string, ServiceRecord> &services,
                      const PlanRequest &request,
                      Plan &plan);

    /** Adds the changes to @p declared. May be called once. */
    void add(const std::vector<DeclaredFailureDomain> &declared);

private:
    void evacuate(const std::string &domain);
    void takeBack(const std::string &domain);
    /** Evacuations in force that the declaration does not name. */
    void handleUndeclared(const std::set<std::string> &named);
    /** Adds a line for each active host in @p domain with @p what happens to it. */
    void describeHosts(const std::string &domain, const std::string &what);
    void describeCapacity();
    void checkRoom();
    void checkNames();
    void addLine(const std::string &domain, const std::string &text);

    const ConfigurationTable &m_inForce;
    const std::map<std::string, ServiceRecord> &m_services;
    const PlanRequest &m_request;
    Plan &m_plan;
    /** The evacuations in force, by failure domain. */
    std::map<std::string, ServiceRecord> m_before;
    /** The failure domains that are evacuated once the plan is confirmed. */
    std::set<std::string> m_evacuated;
};

} // namespace samphireswitch::configuration
