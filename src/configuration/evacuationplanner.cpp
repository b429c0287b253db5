#include "configuration/evacuationplanner.h"

#include "configuration/capacity.h"
#include "configuration/evacuation.h"

#include <algorithm>

namespace samphireswitch::configuration {

namespace {

/** @p record without the hosts in @p domains. */
ServiceRecord outsideOf(ServiceRecord record, const std::set<std::string> &domains)
{
    std::erase_if(record.hosts, [&domains](const HostRecord &host) { return domains.contains(host.failureDomain); });
    return record;
}

bool isActiveIn(const HostRecord &host, const std::string &domain)
{
    return host.state == HostState::Active && host.failureDomain == domain;
}

} // namespace

EvacuationPlanner::EvacuationPlanner(const ConfigurationTable &inForce,
                                     const std::map<std::string, ServiceRecord> &services,
                                     const PlanRequest &request,
                                     Plan &plan)
    : m_inForce(inForce)
    , m_services(services)
    , m_request(request)
    , m_plan(plan)
{
    for (const auto &[name, record] : inForce.services()) {
        if (record.isEvacuationInForce()) {
            m_before[record.evacuatedDomain] = record;
            m_evacuated.insert(record.evacuatedDomain);
        }
    }
}

void EvacuationPlanner::add(const std::vector<DeclaredFailureDomain> &declared)
{
    std::set<std::string> named;
    for (const DeclaredFailureDomain &domain : declared) {
        named.insert(domain.name);
        if (domain.isEvacuated) {
            evacuate(domain.name);
        } else {
            takeBack(domain.name);
        }
    }
    handleUndeclared(named);
    describeCapacity();
    checkNames();
    checkRoom();
}

void EvacuationPlanner::evacuate(const std::string &domain)
{
    if (m_before.contains(domain)) {
        addLine(domain, "not changed; evacuated");
        return;
    }
    addLine(domain, "evacuated until it is declared as active");
    describeHosts(domain, "gets no new work and keeps its flows until they end");
    std::vector<ServiceRecord> others;
    for (const auto &[name, record] : m_services) {
        others.push_back(record);
    }
    m_plan.records.push_back(evacuationOf(domain, others));
    m_evacuated.insert(domain);
}

void EvacuationPlanner::takeBack(const std::string &domain)
{
    const auto before = m_before.find(domain);
    if (before == m_before.end()) {
        addLine(domain, "not changed; active");
        return;
    }
    addLine(domain, "taken back");
    describeHosts(domain, "gets new work again");
    ServiceRecord tombstone;
    tombstone.name = before->second.name;
    tombstone.removed = true;
    m_plan.records.push_back(std::move(tombstone));
    m_evacuated.erase(domain);
}

void EvacuationPlanner::handleUndeclared(const std::set<std::string> &named)
{
    for (const auto &[domain, record] : m_before) {
        if (named.contains(domain)) {
            continue;
        }
        if (m_request.prune) {
            takeBack(domain);
        } else {
            addLine(domain, "not named in the file, and stays evacuated; --prune would take it back");
        }
    }
}

void EvacuationPlanner::describeHosts(const std::string &domain, const std::string &what)
{
    bool isKnown = false;
    for (const auto &[name, service] : m_services) {
        for (const HostRecord &host : service.hosts) {
            isKnown = isKnown || host.failureDomain == domain;
            if (isActiveIn(host, domain)) {
                std::string text = "host " + host.name;
                text.append(" of service ").append(name).append(" ").append(what);
                addLine(domain, text);
            }
        }
    }
    if (!isKnown) {
        addLine(domain, "no service names a host in it; check the spelling");
    }
}

void EvacuationPlanner::describeCapacity()
{
    for (const auto &[name, service] : m_services) {
        const ServiceRecord usable = outsideOf(service, m_evacuated);
        if (activeHosts(usable) != activeHosts(service)) {
            m_plan.lines.push_back("service " + name + ": " + capacityOf(usable)
                                   + " outside the evacuated failure domains, of " + capacityOf(service));
        }
    }
}

void EvacuationPlanner::checkNames()
{
    for (const ServiceRecord &record : m_plan.records) {
        const auto sameName = [&](const auto &evacuation) { return evacuation.second.name == record.name; };
        if (record.isServiceInForce() && std::ranges::any_of(m_before, sameName)) {
            m_plan.refusals.push_back("service " + record.name
                                      + ": the name is that of an evacuation in force; choose another name");
        }
    }
}

void EvacuationPlanner::checkRoom()
{
    std::set<std::string> evacuatedBefore;
    for (const auto &[domain, record] : m_before) {
        evacuatedBefore.insert(domain);
    }
    for (const auto &[name, service] : m_services) {
        const auto before = m_inForce.services().find(name);
        const bool hadRoom =
            before != m_inForce.services().end() && activeHosts(outsideOf(before->second, evacuatedBefore)) != 0;
        const bool isLast = activeHosts(service) != 0 && activeHosts(outsideOf(service, m_evacuated)) == 0;
        if (hadRoom && isLast && !m_request.closing.contains(name)) {
            m_plan.refusals.push_back("service " + name
                                      + ": no active host is left outside the evacuated failure domains, and every new "
                                        "flow would be refused; take a failure domain back, or name the service with "
                                        "--close");
        }
    }
}

void EvacuationPlanner::addLine(const std::string &domain, const std::string &text)
{
    m_plan.lines.push_back("failure domain " + domain + ": " + text);
}

} // namespace samphireswitch::configuration
