#include "control/evacuationlog.h"

#include "configuration/evacuation.h"
#include "protocol/counterlabel.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace samphireswitch::control {

namespace {

using protocol::MemberRecord;

bool isAgentIn(const std::string &domain, const MemberRecord &member)
{
    return member.failureDomain == domain && member.role == protocol::MemberRole::Agent && !isGone(member);
}

std::size_t agentsIn(const std::string &domain, const ControlSnapshot &snapshot)
{
    const auto others = std::ranges::count_if(
        snapshot.members->records(), [&domain](const MemberRecord &member) { return isAgentIn(domain, member); });
    return static_cast<std::size_t>(others) + (isAgentIn(domain, snapshot.self) ? 1 : 0);
}

/** Whether any known process is in @p domain. An operator may have misspelt one that is not. */
bool isKnown(const std::string &domain, const ControlSnapshot &snapshot)
{
    return snapshot.self.failureDomain == domain
        || std::ranges::any_of(snapshot.members->records(),
                               [&domain](const MemberRecord &member) { return member.failureDomain == domain; });
}

void logChange(std::string_view event, const std::string &domain, std::size_t agents, const ControlSnapshot &snapshot)
{
    const bool known = isKnown(domain, snapshot);
    telemetry::logEvent(known ? telemetry::Severity::Info : telemetry::Severity::Warning,
                        event,
                        {{"failure_domain", domain},
                         {"generation", snapshot.configuration->generation()},
                         {"agents", agents},
                         {"domain_known", known}});
}

} // namespace

void EvacuationLog::update(const ControlSnapshot &snapshot)
{
    const auto before = m_inForce.current();
    const auto domains = configuration::evacuatedDomains(*snapshot.configuration);
    if (domains.empty() && before->empty()) {
        return;
    }
    Evacuations now;
    for (const std::string &domain : domains) {
        now[domain] = agentsIn(domain, snapshot);
        if (!before->contains(domain)) {
            logChange("evacuation-in-force", domain, now[domain], snapshot);
        }
    }
    for (const auto &[domain, agents] : *before) {
        if (!now.contains(domain)) {
            logChange("evacuation-ended", domain, agentsIn(domain, snapshot), snapshot);
        }
    }
    m_inForce.publish(std::make_shared<const Evacuations>(std::move(now)));
}

void EvacuationLog::appendCounters(protocol::Status &status) const
{
    const auto inForce = m_inForce.current();
    status.counters.push_back({"evacuations_in_force", static_cast<double>(inForce->size())});
    for (const auto &[domain, agents] : *inForce) {
        status.counters.push_back(
            {protocol::labelledName(protocol::s_evacuatedAgentsCounter, protocol::s_failureDomainLabel, domain),
             static_cast<double>(agents)});
    }
}

} // namespace samphireswitch::control
