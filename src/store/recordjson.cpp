#include "store/recordjson.h"

#include "base/endpoint.h"
#include "configuration/hoststate.h"
#include "configuration/recordcheck.h"
#include "store/storejson.h"

#include <boost/json/serialize.hpp>

#include <limits>

namespace samphireswitch::store {

namespace {

using configuration::HostRecord;
using configuration::Plan;
using configuration::ReleasedAddress;
using configuration::ServiceRecord;

constexpr std::uint64_t s_maximumGeneration = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t s_maximumPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t s_maximumCount = std::numeric_limits<std::uint32_t>::max();

Result<boost::json::object> parseObject(std::string_view text, std::string_view what)
{
    BOOST_LEAF_AUTO(value, json::parse(text));
    return json::readObject(value, what);
}

boost::json::object toJson(const HostRecord &host)
{
    return {{"name", host.name},
            {"failure_domain", host.failureDomain},
            {"state", configuration::hostStateName(host.state)}};
}

Result<HostRecord> readHost(const boost::json::object &object)
{
    HostRecord host;
    BOOST_LEAF_ASSIGN(host.name, json::readString(object, "name"));
    BOOST_LEAF_ASSIGN(host.failureDomain, json::readString(object, "failure_domain"));
    BOOST_LEAF_AUTO(state, json::readString(object, "state"));
    const auto parsed = configuration::parseHostState(state);
    if (!parsed) {
        return boost::leaf::new_error(json::malformed("'" + state + "' is not the state of a host"));
    }
    host.state = *parsed;
    return host;
}

boost::json::object toJson(const ServiceRecord &record)
{
    boost::json::array hosts;
    for (const HostRecord &host : record.hosts) {
        hosts.push_back(toJson(host));
    }
    boost::json::object object {{"name", record.name},
                                {"generation", record.generation},
                                {"removed", record.removed},
                                {"address", addressToString(record.address)},
                                {"request_port", record.requestPort},
                                {"feed_port", record.feedPort},
                                {"idempotent", record.idempotent},
                                {"deadline_ms", record.deadline.count()},
                                {"slots", record.slots},
                                {"connections", record.connections},
                                {"hosts", std::move(hosts)},
                                {"plan", record.plan}};
    if (record.isEvacuation()) {
        object["evacuated_domain"] = record.evacuatedDomain;
    }
    return object;
}

Result<std::uint32_t> readAddress(const boost::json::object &object)
{
    BOOST_LEAF_AUTO(text, json::readString(object, "address"));
    const auto address = parseAddress(text);
    if (!address) {
        return boost::leaf::new_error(json::malformed("'" + text + "' is not an IPv4 address"));
    }
    return *address;
}

Result<ServiceRecord> readRecordObject(const boost::json::object &object)
{
    ServiceRecord record;
    BOOST_LEAF_ASSIGN(record.name, json::readString(object, "name"));
    BOOST_LEAF_ASSIGN(record.generation, json::readNumber(object, "generation", s_maximumGeneration));
    BOOST_LEAF_ASSIGN(record.removed, json::readBool(object, "removed"));
    BOOST_LEAF_ASSIGN(record.address, readAddress(object));
    BOOST_LEAF_AUTO(requestPort, json::readNumber(object, "request_port", s_maximumPort));
    BOOST_LEAF_AUTO(feedPort, json::readNumber(object, "feed_port", s_maximumPort));
    BOOST_LEAF_ASSIGN(record.idempotent, json::readBool(object, "idempotent"));
    BOOST_LEAF_AUTO(deadline, json::readNumber(object, "deadline_ms", s_maximumCount));
    BOOST_LEAF_AUTO(slots, json::readNumber(object, "slots", s_maximumCount));
    BOOST_LEAF_AUTO(connections, json::readNumber(object, "connections", s_maximumCount));
    BOOST_LEAF_AUTO(hosts, json::readObjects(object, "hosts"));
    BOOST_LEAF_ASSIGN(record.plan, json::readString(object, "plan"));
    BOOST_LEAF_ASSIGN(record.evacuatedDomain, json::readString(object, "evacuated_domain"));
    record.requestPort = static_cast<std::uint16_t>(requestPort);
    record.feedPort = static_cast<std::uint16_t>(feedPort);
    record.deadline = std::chrono::milliseconds(deadline);
    record.slots = static_cast<std::uint32_t>(slots);
    record.connections = static_cast<std::uint32_t>(connections);
    for (const boost::json::object &element : hosts) {
        BOOST_LEAF_AUTO(host, readHost(element));
        record.hosts.push_back(std::move(host));
    }
    const auto problems = configuration::problemsOf(record);
    if (!problems.empty()) {
        return boost::leaf::new_error(json::malformed("service record '" + record.name + "': " + problems.front()));
    }
    return record;
}

boost::json::object toJson(const ConfirmedPlan &plan)
{
    return {{"plan", plan.id}, {"generation", plan.generation}};
}

Result<ConfirmedPlan> readConfirmedPlanObject(const boost::json::object &object)
{
    ConfirmedPlan plan;
    BOOST_LEAF_ASSIGN(plan.id, json::readString(object, "plan"));
    BOOST_LEAF_ASSIGN(plan.generation, json::readNumber(object, "generation", s_maximumGeneration));
    return plan;
}

boost::json::object toJson(const ReleasedAddress &released)
{
    return {{"address", addressToString(released.address)}, {"service", released.service}};
}

Result<ReleasedAddress> readReleasedObject(const boost::json::object &object)
{
    ReleasedAddress released;
    BOOST_LEAF_ASSIGN(released.address, readAddress(object));
    BOOST_LEAF_ASSIGN(released.service, json::readString(object, "service"));
    return released;
}

boost::json::array toJson(const std::vector<std::string> &lines)
{
    boost::json::array array;
    for (const std::string &line : lines) {
        array.emplace_back(line);
    }
    return array;
}

} // namespace

std::string writeRecord(const ServiceRecord &record)
{
    return boost::json::serialize(toJson(record));
}

Result<ServiceRecord> readRecord(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, "a service record"));
    return readRecordObject(object);
}

std::string writeHead(const Head &head)
{
    boost::json::array recent;
    for (const ConfirmedPlan &plan : head.recent) {
        recent.push_back(toJson(plan));
    }
    return boost::json::serialize(boost::json::object {{"generation", head.generation}, {"recent", std::move(recent)}});
}

Result<Head> readHead(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, "the head of the configuration"));
    Head head;
    BOOST_LEAF_ASSIGN(head.generation, json::readNumber(object, "generation", s_maximumGeneration));
    if (head.generation == 0) {
        return boost::leaf::new_error(json::malformed("the head of the configuration has no generation"));
    }
    BOOST_LEAF_AUTO(recent, json::readObjects(object, "recent"));
    for (const boost::json::object &element : recent) {
        BOOST_LEAF_AUTO(plan, readConfirmedPlanObject(element));
        head.recent.push_back(std::move(plan));
    }
    return head;
}

std::string writePlan(const Plan &plan)
{
    boost::json::array records;
    for (const ServiceRecord &record : plan.records) {
        records.push_back(toJson(record));
    }
    boost::json::array releases;
    for (const ReleasedAddress &released : plan.releases) {
        releases.push_back(toJson(released));
    }
    return boost::json::serialize(boost::json::object {{"plan", plan.id},
                                                       {"base", plan.base},
                                                       {"lines", toJson(plan.lines)},
                                                       {"refusals", toJson(plan.refusals)},
                                                       {"records", std::move(records)},
                                                       {"releases", std::move(releases)}});
}

Result<Plan> readPlan(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, "a plan"));
    Plan plan;
    BOOST_LEAF_ASSIGN(plan.id, json::readString(object, "plan"));
    BOOST_LEAF_ASSIGN(plan.base, json::readNumber(object, "base", s_maximumGeneration));
    BOOST_LEAF_ASSIGN(plan.lines, json::readStrings(object, "lines"));
    BOOST_LEAF_ASSIGN(plan.refusals, json::readStrings(object, "refusals"));
    BOOST_LEAF_AUTO(records, json::readObjects(object, "records"));
    for (const boost::json::object &element : records) {
        BOOST_LEAF_AUTO(record, readRecordObject(element));
        plan.records.push_back(std::move(record));
    }
    BOOST_LEAF_AUTO(releases, json::readObjects(object, "releases"));
    for (const boost::json::object &element : releases) {
        BOOST_LEAF_AUTO(released, readReleasedObject(element));
        plan.releases.push_back(std::move(released));
    }
    return plan;
}

std::string writeConfirmedPlan(const ConfirmedPlan &plan)
{
    return boost::json::serialize(toJson(plan));
}

Result<ConfirmedPlan> readConfirmedPlan(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, "the note of a confirmed plan"));
    return readConfirmedPlanObject(object);
}

std::string writeReleasedAddress(const ReleasedAddress &released)
{
    return boost::json::serialize(toJson(released));
}

Result<ReleasedAddress> readReleasedAddress(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, "the note of a released address"));
    return readReleasedObject(object);
}

} // namespace samphireswitch::store
