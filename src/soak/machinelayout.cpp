#include "soak/machinelayout.h"

#include "soak/operator.h"

#include <charconv>

namespace samphireswitch::soak {

namespace {

const std::string s_balancerPrefix = "balancer-";
const std::string s_callersPrefix = "callers-";

} // namespace

unsigned numberOf(const std::string &name)
{
    const std::string digits = name.substr(name.rfind('-') + 1);
    unsigned number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

std::string failureDomainOf(const std::string &name, unsigned domains)
{
    return std::string("domain-") + static_cast<char>('a' + numberOf(name) % domains);
}

MachineLayout::MachineLayout(unsigned failureDomains)
    : m_domains(failureDomains)
{
}

MachineLayout::MachineLayout(const platform::SiteDay &day)
    : m_callerDomains(day.failureDomains)
    , m_balancerDomains(day.balancers)
{
    m_balancerDomains.insert(m_balancerDomains.end(), day.spareBalancers.begin(), day.spareBalancers.end());
    for (const platform::SiteUpstream &upstream : day.upstreams) {
        const auto number = static_cast<unsigned>(m_upstreams.size() + 1);
        const std::string &pool = platform::isFirstPool(day, upstream.pool) ? s_orders : s_scans;
        m_upstreams[number] = {upstream.failureDomain, pool};
    }
}

std::string MachineLayout::failureDomain(const std::string &machine) const
{
    const unsigned number = numberOf(machine);
    if (m_callerDomains.empty()) {
        return failureDomainOf(machine, m_domains);
    }
    if (machine.starts_with(s_callersPrefix)) {
        return m_callerDomains[number % m_callerDomains.size()];
    }
    if (machine.starts_with(s_balancerPrefix)) {
        return m_balancerDomains[(number - 1) % m_balancerDomains.size()];
    }
    return m_upstreams.at(number).failureDomain;
}

std::string MachineLayout::pool(unsigned upstream) const
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        return found->second.pool;
    }
    return upstream % 3 == 0 ? s_scans : s_orders;
}

void MachineLayout::placeLike(unsigned added, unsigned other)
{
    const auto found = m_upstreams.find(other);
    if (found != m_upstreams.end()) {
        m_upstreams[added] = found->second;
    }
}

} // namespace samphireswitch::soak
