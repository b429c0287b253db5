#pragma once

#include "platform/siteday.h"

#include <map>
#include <string>
#include <vector>

namespace samphireswitch::soak {

/** Number at the end of a machine's name. */
unsigned numberOf(const std::string &name);

/** The failure domain with a number: machines are spread evenly over @p domains. */
std::string failureDomainOf(const std::string &name, unsigned domains);

/** In which failure domain each machine is, and which pool each upstream serves. */
class MachineLayout
{
public:
    /** Machines are spread evenly over so many failure domains; two of three upstreams serve the larger pool. */
    explicit MachineLayout(unsigned failureDomains);

    /** Machines are placed as on the day of a site. Its pools are, in order, those of the soak. */
    explicit MachineLayout(const platform::SiteDay &day);

    /** Of `balancer-N`, `agent-N`, `upstream-N` or `callers-N`. */
    std::string failureDomain(const std::string &machine) const;

    std::string pool(unsigned upstream) const;

    /** Places the upstream @p added like the upstream @p other, if the layout is that of a site. */
    void placeLike(unsigned added, unsigned other);

private:
    unsigned m_domains = 1;
    /** Of a site; empty otherwise. */
    std::vector<std::string> m_callerDomains;
    std::vector<std::string> m_balancerDomains;
    /** By the number of the upstream. */
    std::map<unsigned, platform::SiteUpstream> m_upstreams;
};

} // namespace samphireswitch::soak
