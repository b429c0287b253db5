#include "configuration/recordcheck.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace samphireswitch::configuration {

namespace {

bool isNameCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '-' || character == '_' || character == '.';
}

bool isControlCharacter(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == deleteCharacter;
}

void checkHosts(const ServiceRecord &record, std::vector<std::string> &problems)
{
    if (record.hosts.size() > s_maximumHostsPerService) {
        problems.push_back("it has " + std::to_string(record.hosts.size()) + " hosts; at most "
                           + std::to_string(s_maximumHostsPerService) + " are possible");
    }
    std::set<std::string_view> names;
    for (const HostRecord &host : record.hosts) {
        if (!isValidName(host.name)) {
            problems.push_back("host '" + host.name + "' has a name that is not valid");
        }
        if (!isValidFailureDomain(host.failureDomain)) {
            problems.push_back("host '" + host.name + "' has no valid failure domain");
        }
        if (!names.insert(host.name).second) {
            problems.push_back("host '" + host.name + "' is listed twice");
        }
    }
}

void checkServiceParameters(const ServiceRecord &record, std::vector<std::string> &problems)
{
    if (record.address == 0) {
        problems.emplace_back("the address is missing");
    }
    if (record.requestPort == 0 && record.feedPort == 0) {
        problems.emplace_back("it has neither a request port nor a feed port");
    }
    if (record.requestPort != 0 && record.requestPort == record.feedPort) {
        problems.emplace_back("the request port and the feed port are equal");
    }
    if (record.deadline.count() <= 0 || record.deadline > s_maximumDeadline) {
        problems.emplace_back("the deadline is missing or out of range");
    }
    if (record.slots == 0 || record.slots > s_maximumSlots) {
        problems.push_back("the number of slots is not from 1 to " + std::to_string(s_maximumSlots));
    }
    if (record.connections == 0 || record.connections > s_maximumConnections) {
        problems.push_back("the number of connections is not from 1 to " + std::to_string(s_maximumConnections));
    }
    if (record.connections < record.slots) {
        problems.emplace_back("it has fewer connections than slots, and each busy slot needs a connection");
    }
}

void checkPool(const ServiceRecord &record, std::vector<std::string> &problems)
{
    if (!std::isfinite(record.coldRequestsPerSecond) || record.coldRequestsPerSecond < 0) {
        problems.emplace_back("the limit of requests per second to a cold upstream is not a number from 0 on");
    }
}

void checkEvacuation(const ServiceRecord &record, std::vector<std::string> &problems)
{
    if (!isValidFailureDomain(record.evacuatedDomain)) {
        problems.push_back("the failure domain '" + record.evacuatedDomain + "' has a name that is not valid");
    }
}

void checkPools(const ServiceRecord &record, std::vector<std::string> &problems)
{
    if (record.address == 0 || record.requestPort == 0) {
        problems.emplace_back("the address or the port is missing");
    }
    for (const PoolShare &share : record.pools) {
        if (!isValidName(share.pool)) {
            problems.push_back("the pool '" + share.pool + "' has a name that is not valid");
        }
    }
}

} // namespace

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= s_maximumNameLength && std::ranges::all_of(name, isNameCharacter);
}

bool isValidFailureDomain(std::string_view text)
{
    return !text.empty() && text.size() <= s_maximumNameLength && std::ranges::none_of(text, isControlCharacter);
}

std::vector<std::string> problemsOf(const ServiceRecord &record)
{
    std::vector<std::string> problems;
    if (!isValidName(record.name)) {
        problems.push_back("the name '" + record.name + "' is not valid");
    }
    // A tombstone has only a name, a generation and a plan.
    if (record.removed) {
        return problems;
    }
    if (record.isEvacuation()) {
        checkEvacuation(record, problems);
        return problems;
    }
    // A pool has no address or declared hosts.
    if (record.isPool()) {
        checkPool(record, problems);
        return problems;
    }
    if (!record.pools.empty()) {
        checkPools(record, problems);
        return problems;
    }
    checkServiceParameters(record, problems);
    checkHosts(record, problems);
    return problems;
}

} // namespace samphireswitch::configuration
