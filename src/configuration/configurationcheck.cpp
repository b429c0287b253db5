#include "configuration/configurationcheck.h"

#include "base/endpoint.h"
#include "configuration/hoststate.h"
#include "configuration/recordcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace samphireswitch::configuration {

namespace {

std::string titleOf(const ServiceRecord &record)
{
    if (record.isEvacuation()) {
        return "evacuation " + record.name;
    }
    return (record.isPool() ? "pool " : "service ") + record.name;
}

/** Finds the problems of one configuration; find() may be called once. */
class Checker
{
public:
    explicit Checker(const std::vector<ServiceRecord> &records)
    {
        for (const ServiceRecord &record : records) {
            if (!record.removed) {
                m_records.push_back(&record);
            }
        }
        for (const ServiceRecord *record : m_records) {
            if (record->isEvacuation()) {
                m_evacuated.insert(record->evacuatedDomain);
            } else if (record->isPool()) {
                m_pools.insert(record->name);
            }
            for (const HostRecord &host : record->hosts) {
                m_failureDomains.insert(host.failureDomain);
            }
            for (const PoolShare &share : record->pools) {
                m_usedPools.insert(share.pool);
            }
        }
    }

    std::vector<Finding> find()
    {
        for (const ServiceRecord *record : m_records) {
            for (const std::string &problem : problemsOf(*record)) {
                add(Severity::Error, *record, problem);
            }
            checkName(*record);
            if (record->isEvacuation()) {
                checkEvacuation(*record);
            } else if (record->isPool()) {
                checkPool(*record);
            } else {
                checkService(*record);
            }
        }
        return std::move(m_findings);
    }

private:
    void add(Severity severity, const ServiceRecord &record, const std::string &text)
    {
        m_findings.push_back({severity, titleOf(record) + ": " + text});
    }

    void checkName(const ServiceRecord &record)
    {
        if (!m_names.insert(record.name).second) {
            add(Severity::Error,
                record,
                "the name is used by an earlier entry, so that only one of them has an effect");
        }
    }

    void checkEvacuation(const ServiceRecord &record)
    {
        const bool isKnown = m_failureDomains.empty() || m_failureDomains.contains(record.evacuatedDomain);
        if (!isKnown) {
            add(Severity::Warning,
                record,
                "no host is in failure domain " + record.evacuatedDomain + ", so that the evacuation has no effect");
        }
    }

    void checkPool(const ServiceRecord &record)
    {
        if (!m_usedPools.contains(record.name)) {
            add(Severity::Warning, record, "no service refers to the pool, so that its upstreams get no flow");
        }
        if (record.coldRequestsPerSecond > 0 && record.slowStart.count() == 0) {
            add(Severity::Warning,
                record,
                "it limits the requests to cold upstreams, but has no slow start, so that the limit never applies");
        }
    }

    void checkService(const ServiceRecord &record)
    {
        checkAddress(record);
        if (record.deadline.count() > 0 && record.latencyTarget > record.deadline) {
            add(Severity::Warning,
                record,
                "the latency target of " + std::to_string(record.latencyTarget.count())
                    + " ms is beyond the deadline of " + std::to_string(record.deadline.count()) + " ms");
        }
        if (record.pools.empty()) {
            checkHosts(record);
        } else {
            checkShares(record);
        }
    }

    void checkAddress(const ServiceRecord &record)
    {
        for (const std::uint16_t port : {record.requestPort, record.feedPort}) {
            if (record.address == 0 || port == 0) {
                continue;
            }
            const Endpoint endpoint {record.address, port};
            const auto [earlier, isFirst] = m_addresses.try_emplace(endpoint, &record);
            if (!isFirst && earlier->second != &record) {
                add(Severity::Error,
                    record,
                    toString(endpoint) + " belongs to " + titleOf(*earlier->second)
                        + ", so that this entry never matches");
            }
        }
    }

    void checkShares(const ServiceRecord &record)
    {
        std::uint64_t weight = 0;
        for (const PoolShare &share : record.pools) {
            const bool isKnown = m_pools.contains(share.pool);
            weight += isKnown ? share.weight : 0;
            if (!isKnown) {
                add(Severity::Error, record, "the pool " + share.pool + " does not exist");
            }
        }
        if (weight == 0) {
            add(Severity::Error, record, "no pool has a weight above 0, so that every new flow is refused");
        }
    }

    void checkHosts(const ServiceRecord &record)
    {
        std::size_t active = 0;
        std::size_t evacuated = 0;
        for (const HostRecord &host : record.hosts) {
            if (host.state != HostState::Active) {
                continue;
            }
            ++active;
            if (m_evacuated.contains(host.failureDomain)) {
                ++evacuated;
                add(Severity::Warning,
                    record,
                    "host " + host.name + " is active in failure domain " + host.failureDomain
                        + ", which is evacuated, and gets no new flow");
            }
        }
        if (active == 0) {
            add(Severity::Warning, record, "it has no active host, so that every new flow is refused");
        } else if (active == evacuated) {
            add(Severity::Warning,
                record,
                "all its active hosts are in evacuated failure domains, so that every new flow is refused");
        }
    }

    /** Without tombstones. */
    std::vector<const ServiceRecord *> m_records;
    std::set<std::string> m_evacuated;
    std::set<std::string> m_pools;
    std::set<std::string> m_usedPools;
    std::set<std::string> m_failureDomains;
    std::set<std::string> m_names;
    std::map<Endpoint, const ServiceRecord *> m_addresses;
    std::vector<Finding> m_findings;
};

std::string describe(const std::vector<PoolShare> &pools)
{
    std::string text;
    for (const PoolShare &share : pools) {
        text += (text.empty() ? "" : ", ") + share.pool + " with weight " + std::to_string(share.weight);
    }
    return text.empty() ? "none" : text;
}

/** A number without the zeros that std::to_string() appends. */
std::string describe(double number)
{
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
        text.pop_back();
    }
    return text;
}

std::string describe(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

using Fields = std::vector<std::pair<std::string, std::string>>;

/** Every field that operators declare, except the hosts, by a name for readers. */
Fields fieldsOf(const ServiceRecord &record)
{
    return {{"address", addressToString(record.address)},
            {"request port", std::to_string(record.requestPort)},
            {"feed port", std::to_string(record.feedPort)},
            {"idempotent", record.idempotent ? "true" : "false"},
            {"deadline", describe(record.deadline)},
            {"latency target", describe(record.latencyTarget)},
            {"priority", std::to_string(record.priority)},
            {"slots per host", std::to_string(record.slots)},
            {"connections per host", std::to_string(record.connections)},
            {"pools", describe(record.pools)},
            {"health path", record.healthPath},
            {"evacuated failure domain", record.evacuatedDomain},
            {"requests per second to a cold upstream", describe(record.coldRequestsPerSecond)},
            {"slow start", describe(record.slowStart)}};
}

std::string describe(const HostRecord &host)
{
    return std::string(hostStateName(host.state)) + " in " + host.failureDomain;
}

std::string fromTo(const std::string &before, const std::string &after)
{
    return " from '" + before + "' to '" + after + "'";
}

void appendChanges(const ServiceRecord &before, const ServiceRecord &after, std::vector<std::string> &lines)
{
    const std::string title = "changed: " + titleOf(after) + ": ";
    const Fields fieldsBefore = fieldsOf(before);
    const Fields fieldsAfter = fieldsOf(after);
    for (std::size_t index = 0; index < fieldsAfter.size(); ++index) {
        const auto &[name, value] = fieldsAfter[index];
        if (fieldsBefore[index].second != value) {
            lines.push_back(title + name + fromTo(fieldsBefore[index].second, value));
        }
    }
    for (const HostRecord &host : after.hosts) {
        const HostRecord *earlier = before.findHost(host.name);
        if (earlier == nullptr) {
            lines.push_back(title + "host " + host.name + " is added, " + describe(host));
        } else if (*earlier != host) {
            lines.push_back(title + "host " + host.name + fromTo(describe(*earlier), describe(host)));
        }
    }
    for (const HostRecord &host : before.hosts) {
        if (after.findHost(host.name) == nullptr) {
            lines.push_back(title + "host " + host.name + " is removed");
        }
    }
}

std::map<std::string, const ServiceRecord *> byName(const std::vector<ServiceRecord> &records)
{
    std::map<std::string, const ServiceRecord *> map;
    for (const ServiceRecord &record : records) {
        if (!record.removed) {
            map.emplace(record.name, &record);
        }
    }
    return map;
}

} // namespace

std::vector<Finding> findingsOf(const std::vector<ServiceRecord> &records)
{
    return Checker(records).find();
}

std::vector<std::string> differencesOf(const std::vector<ServiceRecord> &inForce,
                                       const std::vector<ServiceRecord> &declared)
{
    std::vector<std::string> lines;
    const auto before = byName(inForce);
    const auto after = byName(declared);
    for (const auto &[name, record] : after) {
        const auto earlier = before.find(name);
        if (earlier == before.end()) {
            lines.push_back("added: " + titleOf(*record));
        } else {
            appendChanges(*earlier->second, *record, lines);
        }
    }
    for (const auto &[name, record] : before) {
        if (!after.contains(name)) {
            lines.push_back("in force, but not in the file: " + titleOf(*record));
        }
    }
    return lines;
}

} // namespace samphireswitch::configuration
