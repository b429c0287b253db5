#include "membership/registrarchoice.h"

#include "base/hash.h"

#include <algorithm>

namespace samphireswitch::membership {

namespace {

struct WeightedBalancer
{
    std::uint64_t weight;
    std::uint64_t id;
};

bool isHeavier(const WeightedBalancer &left, const WeightedBalancer &right)
{
    return left.weight > right.weight;
}

} // namespace

std::vector<std::uint64_t>
chooseRegistrars(std::uint64_t member, std::span<const std::uint64_t> balancers, std::size_t count)
{
    // Only the balancers with the highest weights are kept in order, since the list may be long and count is small.
    std::vector<WeightedBalancer> heaviest;
    heaviest.reserve(count + 1);
    for (const std::uint64_t balancer : balancers) {
        if (balancer == member) {
            continue;
        }
        const WeightedBalancer candidate {mixHash(member, balancer), balancer};
        if (heaviest.size() == count && !isHeavier(candidate, heaviest.back())) {
            continue;
        }
        heaviest.insert(std::upper_bound(heaviest.begin(), heaviest.end(), candidate, isHeavier), candidate);
        heaviest.resize(std::min(heaviest.size(), count));
    }
    std::vector<std::uint64_t> chosen;
    chosen.reserve(heaviest.size());
    for (const WeightedBalancer &entry : heaviest) {
        chosen.push_back(entry.id);
    }
    return chosen;
}

} // namespace samphireswitch::membership
