#include "control/watcherchoice.h"

#include "membership/registrarchoice.h"

#include <algorithm>
#include <vector>

namespace samphireswitch::control {

bool shouldWatchStore(const protocol::MemberRecord &self, const membership::MembershipTable &members)
{
    std::vector<std::uint64_t> candidates {self.id};
    for (const std::uint64_t balancer : members.liveBalancers()) {
        if (members.find(balancer)->failureDomain == self.failureDomain) {
            candidates.push_back(balancer);
        }
    }
    const auto chosen =
        membership::chooseRegistrars(hashText(self.failureDomain), candidates, s_watchersPerFailureDomain);
    return std::find(chosen.begin(), chosen.end(), self.id) != chosen.end();
}

} // namespace samphireswitch::control
