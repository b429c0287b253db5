#include "membership/registrarchoice.h"

#include "base/hash.h"

#include <algorithm>

namespace samphireswitch::membership {

namespace {

struct Weighted
{
    std::uint64_t weight;
    std::uint64_t id;
};

bool isHeavier(const Weighted &left, const Weighted &right)
{
    return left.weight > right.weight;
}

} // namespace

std::vector<std::uint64_t>
chooseRegistrars(std::uint64_t member, std::span<const std::uint64_t> balancers, std::size_t count)
{
    // Keeps the heaviest few while it walks the list, since the list may be long and the count is small.
    std::vector<Weighted> heaviest;
    heaviest.reserve(count + 1);
    for (const std::uint64_t balancer : balancers) {
        if (balancer == member) {
            continue;
        }
        const Weighted candidate {mixHash(member, balancer), balancer};
        if (heaviest.size() == count && !isHeavier(candidate, heaviest.back())) {
            continue;
        }
        heaviest.insert(std::upper_bound(heaviest.begin(), heaviest.end(), candidate, isHeavier), candidate);
        heaviest.resize(std::min(heaviest.size(), count));
    }
    std::vector<std::uint64_t> chosen;
    chosen.reserve(heaviest.size());
    for (const Weighted &entry : heaviest) {
        chosen.push_back(entry.id);
    }
    return chosen;
}

} // namespace samphireswitch::membership
