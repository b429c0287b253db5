#include "membership/registrarchoice.h"

#include "base/hash.h"

#include <algorithm>

namespace samphireswitch::membership {

std::vector<protocol::MemberRecord>
chooseRegistrars(std::uint64_t member, const std::vector<protocol::MemberRecord> &balancers, std::size_t count)
{
    std::vector<protocol::MemberRecord> ordered;
    ordered.reserve(balancers.size());
    for (const protocol::MemberRecord &balancer : balancers) {
        if (balancer.id == member) {
            continue;
        }
        ordered.push_back(balancer);
    }
    const std::size_t chosen = std::min(count, ordered.size());
    std::partial_sort(ordered.begin(),
                      ordered.begin() + static_cast<std::ptrdiff_t>(chosen),
                      ordered.end(),
                      [member](const protocol::MemberRecord &left, const protocol::MemberRecord &right) {
                          return mixHash(member, left.id) > mixHash(member, right.id);
                      });
    ordered.resize(chosen);
    return ordered;
}

} // namespace samphireswitch::membership
