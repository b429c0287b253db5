#include "configuration/evacuation.h"

#include "base/hash.h"
#include "configuration/configurationtable.h"
#include "configuration/recordcheck.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace samphireswitch::configuration {

namespace {

constexpr int s_hexadecimal = 16;
const std::string s_namePrefix = "evacuation-";

std::string hexadecimal(std::uint64_t number)
{
    std::array<char, 2 * sizeof number> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, s_hexadecimal).ptr;
    return {digits.data(), end};
}

std::string hashedName(const std::string &failureDomain, std::uint64_t seed)
{
    return s_namePrefix + hexadecimal(hashText(failureDomain, seed));
}

/** Failure domains may hold characters that names of records may not, and be too long for a prefix. */
std::string nameFor(const std::string &failureDomain)
{
    std::string name = s_namePrefix + failureDomain;
    return isValidName(name) ? name : hashedName(failureDomain, 0);
}

} // namespace

ServiceRecord evacuationOf(const std::string &failureDomain, const std::vector<ServiceRecord> &others)
{
    ServiceRecord record;
    record.evacuatedDomain = failureDomain;
    record.name = nameFor(failureDomain);
    for (std::uint64_t seed = 1; std::ranges::find(others, record.name, &ServiceRecord::name) != others.end(); ++seed) {
        record.name = hashedName(failureDomain, seed);
    }
    return record;
}

std::vector<std::string> evacuatedDomains(const ConfigurationTable &configuration)
{
    std::set<std::string> domains;
    for (const auto &[name, record] : configuration.services()) {
        if (record.isEvacuationInForce()) {
            domains.insert(record.evacuatedDomain);
        }
    }
    return {domains.begin(), domains.end()};
}

std::uint64_t contentHashWithoutEvacuations(const ConfigurationTable &configuration)
{
    ContentHashTable hashes;
    for (const auto &[name, record] : configuration.services()) {
        if (!record.isEvacuation()) {
            hashes.toggle(name, contentHashOf(record));
        }
    }
    return hashes.total();
}

} // namespace samphireswitch::configuration
