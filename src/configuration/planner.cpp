#include "configuration/planner.h"

#include "base/endpoint.h"
#include "configuration/capacity.h"
#include "configuration/evacuationplanner.h"
#include "configuration/hoststate.h"
#include "configuration/planconflict.h"

#include <algorithm>
#include <map>

namespace samphireswitch::configuration {

namespace {

std::string portsOf(const ServiceRecord &record)
{
    std::string text;
    if (record.requestPort != 0) {
        text += "requests on port " + std::to_string(record.requestPort);
    }
    if (record.feedPort != 0) {
        text += std::string(text.empty() ? "" : ", ") + "feeds on port " + std::to_string(record.feedPort);
    }
    return text;
}

/** Returns true if the records are equal in everything that operators declare; the order of hosts is ignored. */
bool isSameDeclaration(ServiceRecord first, ServiceRecord second)
{
    for (ServiceRecord *record : {&first, &second}) {
        record->generation = 0;
        record->plan.clear();
        std::ranges::sort(record->hosts, {}, &HostRecord::name);
    }
    return first == second;
}

/** Builds a single plan; build() may be called once. */
class PlanBuilder
{
public:
    PlanBuilder(const ConfigurationTable &inForce, const PlanRequest &request)
        : m_inForce(inForce)
        , m_request(request)
    {
        m_plan.id = request.id;
        m_plan.base = inForce.generation();
        for (const auto &[name, record] : inForce.services()) {
            if (record.isServiceInForce()) {
                m_plannedServices[name] = record;
            }
        }
    }

    Plan build(const Declaration &declaration)
    {
        // A file about failure domains alone says nothing about services.
        m_prunesServices = m_request.prune && (!declaration.services.empty() || declaration.failureDomains.empty());
        std::set<std::string> named;
        for (const ServiceRecord &declared : declaration.services) {
            named.insert(declared.name);
            compare(declared);
        }
        for (const auto &[name, record] : m_inForce.services()) {
            if (record.isServiceInForce() && !named.contains(name)) {
                handleUndeclared(record);
            }
        }
        checkPlannedServices();
        EvacuationPlanner(m_inForce, m_plannedServices, m_request, m_plan).add(declaration.failureDomains);
        checkSize();
        return std::move(m_plan);
    }

private:
    void addLine(const std::string &service, const std::string &text)
    {
        m_plan.lines.push_back("service " + service + ": " + text);
    }

    void refuse(const std::string &service, const std::string &text)
    {
        m_plan.refusals.push_back("service " + service + ": " + text);
    }

    bool mayHoldFlows(const ServiceRecord &record) const
    {
        return !m_request.idle.contains(record.name);
    }

    /** Returns true if the service may have flows when the plan is confirmed: an idle service with an active host can
     * still receive new flows until then. */
    bool mayReceiveFlows(const ServiceRecord &record) const
    {
        return mayHoldFlows(record) || activeHosts(record) != 0;
    }

    void compare(const ServiceRecord &declared)
    {
        const auto current = m_plannedServices.find(declared.name);
        if (current == m_plannedServices.end()) {
            create(declared);
            return;
        }
        const ServiceRecord before = current->second;
        if (isSameDeclaration(before, declared)) {
            addLine(declared.name, "not changed; " + capacityOf(before));
            return;
        }
        change(before, declared);
    }

    void create(const ServiceRecord &declared)
    {
        addLine(declared.name,
                "created at " + addressToString(declared.address) + ", " + portsOf(declared) + ", "
                    + (declared.idempotent ? "idempotent" : "not idempotent") + ", deadline "
                    + std::to_string(declared.deadline.count()) + " ms, " + std::to_string(declared.slots)
                    + " slots and " + std::to_string(declared.connections) + " connections per host");
        for (const HostRecord &host : declared.hosts) {
            addLine(declared.name,
                    "host " + host.name + " (" + host.failureDomain + ") is added as "
                        + std::string(hostStateName(host.state)));
        }
        addLine(declared.name, "capacity: " + capacityOf(declared));
        warnOfSingleFailureDomain(declared);
        store(declared);
    }

    void change(const ServiceRecord &before, const ServiceRecord &declared)
    {
        describeParameters(before, declared);
        for (const HostRecord &host : declared.hosts) {
            describeHost(declared.name, before.findHost(host.name), host);
        }
        for (const HostRecord &host : before.hosts) {
            if (declared.findHost(host.name) != nullptr) {
                continue;
            }
            addLine(declared.name,
                    "host " + host.name
                        + " is no longer named: it gets no new work and keeps its flows until they end");
        }
        addLine(declared.name, "capacity: " + capacityOf(before) + " becomes " + capacityOf(declared));
        warnOfSingleFailureDomain(declared);
        checkChange(before, declared);
        if (before.address != declared.address) {
            m_plan.releases.push_back({before.address, before.name});
        }
        store(declared);
    }

    void describeParameters(const ServiceRecord &before, const ServiceRecord &declared)
    {
        const auto describe = [&](const std::string &what, const std::string &from, const std::string &to) {
            if (from != to) {
                addLine(declared.name, what + " changes from " + from + " to " + to);
            }
        };
        describe("address", addressToString(before.address), addressToString(declared.address));
        describe("ports", portsOf(before), portsOf(declared));
        describe("idempotent", before.idempotent ? "true" : "false", declared.idempotent ? "true" : "false");
        describe("deadline",
                 std::to_string(before.deadline.count()) + " ms",
                 std::to_string(declared.deadline.count()) + " ms");
        describe("slots per host", std::to_string(before.slots), std::to_string(declared.slots));
        describe("connections per host", std::to_string(before.connections), std::to_string(declared.connections));
    }

    void describeHost(const std::string &service, const HostRecord *before, const HostRecord &host)
    {
        if (before == nullptr) {
            addLine(service,
                    "host " + host.name + " (" + host.failureDomain + ") is added as "
                        + std::string(hostStateName(host.state)));
            return;
        }
        if (before->failureDomain != host.failureDomain) {
            addLine(service,
                    "host " + host.name + " moves from failure domain " + before->failureDomain + " to "
                        + host.failureDomain);
        }
        if (before->state == host.state) {
            return;
        }
        switch (host.state) {
        case HostState::Active:
            addLine(service, "host " + host.name + " becomes active and gets new work");
            return;
        case HostState::Draining:
            addLine(service, "host " + host.name + " drains: it gets no new work and keeps its flows until they end");
            return;
        case HostState::Stopped:
            addLine(service,
                    "host " + host.name
                        + " stops: it gets no new work and keeps its flows; its agent exits after the last one");
            return;
        }
    }

    void warnOfSingleFailureDomain(const ServiceRecord &declared)
    {
        std::set<std::string> domains;
        for (const HostRecord &host : declared.hosts) {
            if (host.state == HostState::Active) {
                domains.insert(host.failureDomain);
            }
        }
        if (domains.size() == 1) {
            addLine(declared.name, "all active hosts are in failure domain " + *domains.begin());
        }
    }

    void checkChange(const ServiceRecord &before, const ServiceRecord &declared)
    {
        if (activeHosts(declared) == 0 && mayHoldFlows(before) && !m_request.closing.contains(declared.name)) {
            refuse(declared.name,
                   "no active host is left while the service may hold flows, and every new flow would be refused; keep "
                   "a host active, or name the service with --close");
        }
        const bool isMoved = before.address != declared.address || before.requestPort != declared.requestPort
            || before.feedPort != declared.feedPort;
        if (isMoved && mayReceiveFlows(before)) {
            refuse(declared.name,
                   "a change of the address or a port would break the flows that the service may hold; drain and stop "
                   "its hosts first, and give --balancers so that the plan can see that no flow is left");
        }
    }

    void handleUndeclared(const ServiceRecord &record)
    {
        if (!m_prunesServices) {
            addLine(record.name,
                    m_request.prune ? "not touched; --prune concerns services only if the file names one"
                                    : "not named in the file, and not touched; --prune would remove it");
            return;
        }
        addLine(record.name, "removed; its address " + addressToString(record.address) + " is given up");
        if (mayReceiveFlows(record)) {
            refuse(record.name,
                   "the removal would break the flows that the service may hold; drain and stop its hosts first, and "
                   "give --balancers so that the plan can see that no flow is left");
        }
        m_plan.releases.push_back({record.address, record.name});
        ServiceRecord tombstone;
        tombstone.name = record.name;
        tombstone.removed = true;
        m_plan.records.push_back(std::move(tombstone));
        m_plannedServices.erase(record.name);
    }

    void store(const ServiceRecord &declared)
    {
        m_plan.records.push_back(declared);
        m_plannedServices[declared.name] = declared;
    }

    /** Checks the rules that involve several services against the configuration that results from the plan. */
    void checkPlannedServices()
    {
        std::vector<ReleasedAddress> released = m_request.released;
        released.insert(released.end(), m_plan.releases.begin(), m_plan.releases.end());
        if (const auto reserved = findReservation(m_plan.records, released)) {
            m_plan.refusals.push_back(*reserved);
        }
        for (const ServiceRecord &record : m_plan.records) {
            if (record.removed) {
                continue;
            }
            checkAgainstOthers(record);
            checkHostOwnership(record);
        }
    }

    void checkSize()
    {
        if (m_plan.records.size() > s_maximumChangedServices) {
            m_plan.refusals.push_back("the plan changes " + std::to_string(m_plan.records.size())
                                      + " services and failure domains, but one plan may change at most "
                                      + std::to_string(s_maximumChangedServices) + "; split the file");
        }
    }

    void checkAgainstOthers(const ServiceRecord &record)
    {
        for (const auto &[name, other] : m_plannedServices) {
            if (name == record.name) {
                continue;
            }
            if (other.address == record.address) {
                refuse(record.name, "the address " + addressToString(record.address) + " belongs to service " + name);
            }
            if (ServiceId::fromName(name) == ServiceId::fromName(record.name)) {
                refuse(record.name, "the name has the same identity as service " + name + "; choose another name");
            }
        }
    }

    /** Refuses a host of @p record that another service keeps, or that this plan takes from another service before it
     * was stopped there. */
    void checkHostOwnership(const ServiceRecord &record)
    {
        for (const auto &[name, other] : m_inForce.services()) {
            if (name == record.name || other.removed) {
                continue;
            }
            for (const HostRecord &host : record.hosts) {
                const HostRecord *elsewhere = other.findHost(host.name);
                const auto after = m_plannedServices.find(name);
                const bool isKept = after != m_plannedServices.end() && after->second.findHost(host.name) != nullptr;
                if (elsewhere == nullptr || (elsewhere->state == HostState::Stopped && !isKept)) {
                    continue;
                }
                refuse(record.name,
                       "host " + host.name + " belongs to service " + name
                           + "; stop it there first, and then remove it there");
            }
        }
    }

    const ConfigurationTable &m_inForce;
    const PlanRequest &m_request;
    /** The services that will be in force after the plan, keyed by name, without tombstones. */
    std::map<std::string, ServiceRecord> m_plannedServices;
    /** Whether services that the file does not name are removed. */
    bool m_prunesServices = false;
    Plan m_plan;
};

} // namespace

Planner::Planner(const ConfigurationTable &inForce)
    : m_inForce(inForce)
{
}

Plan Planner::plan(const Declaration &declaration, const PlanRequest &request) const
{
    return PlanBuilder(m_inForce, request).build(declaration);
}

} // namespace samphireswitch::configuration
