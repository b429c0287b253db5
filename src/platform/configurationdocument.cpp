#include "platform/configurationdocument.h"

#include "base/endpoint.h"
#include "store/storejson.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace samphireswitch::platform {

namespace {

namespace json = store::json;
using configuration::PoolShare;
using configuration::ServiceRecord;

constexpr std::uint64_t s_maximumNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t s_maximumWeight = std::numeric_limits<std::uint32_t>::max();
// 49 days: records hold 32 bits of milliseconds on their way to other processes.
constexpr std::uint64_t s_longestTime = std::numeric_limits<std::uint32_t>::max();

/** A time in milliseconds. A longer one than records hold is as good as none, so that it is cut to the longest. */
Result<std::chrono::milliseconds> readMilliseconds(const boost::json::object &route, std::string_view field)
{
    BOOST_LEAF_AUTO(milliseconds, json::readNumber(route, field, s_maximumNumber));
    return std::chrono::milliseconds(std::min(milliseconds, s_longestTime));
}

/** A time in seconds, which is cut to the longest one that records hold. */
std::chrono::milliseconds toMilliseconds(double seconds)
{
    constexpr double millisecondsPerSecond = 1000;
    const double milliseconds = std::min(seconds * millisecondsPerSecond, static_cast<double>(s_longestTime));
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

/** `prefix` is a port between slashes. */
Result<std::uint16_t> readPort(const boost::json::object &route)
{
    BOOST_LEAF_AUTO(text, json::readString(route, "prefix"));
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const bool isEnclosed = text.size() > 2 && text.front() == '/' && text.back() == '/';
    if (!isEnclosed || std::from_chars(text.data() + 1, end - 1, port).ptr != end - 1 || port == 0) {
        return boost::leaf::new_error(json::malformed("'" + text + "' is not a port between slashes"));
    }
    return port;
}

/** A route names one service, or several with weights under `backends`. */
Result<std::vector<PoolShare>> readPools(const boost::json::object &route)
{
    std::vector<PoolShare> pools;
    BOOST_LEAF_AUTO(parts, json::readObjects(route, "backends"));
    for (const boost::json::object &part : parts) {
        PoolShare share;
        BOOST_LEAF_ASSIGN(share.pool, json::readString(part, "service"));
        BOOST_LEAF_AUTO(weight, json::readNumber(part, "weight", s_maximumWeight));
        share.weight = static_cast<std::uint32_t>(weight);
        pools.push_back(std::move(share));
    }
    if (pools.empty()) {
        BOOST_LEAF_AUTO(pool, json::readString(route, "service"));
        pools.push_back({std::move(pool), 1});
    }
    return pools;
}

Result<ServiceRecord> readRoute(const boost::json::object &route)
{
    ServiceRecord record;
    BOOST_LEAF_AUTO(name, json::readString(route, "name"));
    // The platform may give a route and a service the same name; here both are records of one table.
    record.name = "route-" + name;
    BOOST_LEAF_AUTO(host, json::readString(route, "host"));
    BOOST_LEAF_ASSIGN(record.address, parseAddress(host));
    BOOST_LEAF_ASSIGN(record.requestPort, readPort(route));
    BOOST_LEAF_AUTO(kind, json::readString(route, "type"));
    record.idempotent = kind == "idempotent";
    BOOST_LEAF_ASSIGN(record.deadline, readMilliseconds(route, "timeout_ms"));
    BOOST_LEAF_ASSIGN(record.latencyTarget, readMilliseconds(route, "target_latency_ms"));
    // 0 is the highest.
    BOOST_LEAF_AUTO(priority, json::readNumber(route, "priority", std::numeric_limits<std::uint8_t>::max()));
    record.priority = static_cast<std::uint8_t>(priority);
    BOOST_LEAF_ASSIGN(record.pools, readPools(route));
    return record;
}

Result<ServiceRecord> readPool(const boost::json::object &service)
{
    ServiceRecord record;
    BOOST_LEAF_ASSIGN(record.name, json::readString(service, "name"));
    BOOST_LEAF_ASSIGN(record.healthPath, json::readString(service, "health_path"));
    BOOST_LEAF_AUTO(connections, json::readNumber(service, "max_conns", std::numeric_limits<std::uint32_t>::max()));
    record.connections = static_cast<std::uint32_t>(connections);
    BOOST_LEAF_ASSIGN(record.coldRequestsPerSecond, json::readDecimal(service, "cold_per_s"));
    BOOST_LEAF_AUTO(slowStart, json::readDecimal(service, "slow_start_s"));
    record.slowStart = toMilliseconds(slowStart);
    return record;
}

} // namespace

Result<ConfigurationDocument> decodeConfiguration(std::string_view text)
{
    BOOST_LEAF_AUTO(value, json::parse(text));
    BOOST_LEAF_AUTO(body, json::readObject(value, "the configuration"));
    for (const char *field : {"version", "routes", "services"}) {
        if (!body.contains(field)) {
            return boost::leaf::new_error(
                json::malformed(std::string("the configuration has no field '") + field + "'"));
        }
    }
    ConfigurationDocument document;
    BOOST_LEAF_ASSIGN(document.generation, json::readNumber(body, "version", s_maximumNumber));
    BOOST_LEAF_AUTO(routes, json::readObjects(body, "routes"));
    for (const boost::json::object &route : routes) {
        BOOST_LEAF_AUTO(record, readRoute(route));
        document.records.push_back(std::move(record));
    }
    BOOST_LEAF_AUTO(services, json::readObjects(body, "services"));
    for (const boost::json::object &service : services) {
        BOOST_LEAF_AUTO(record, readPool(service));
        document.records.push_back(std::move(record));
    }
    for (ServiceRecord &record : document.records) {
        record.generation = document.generation;
    }
    return document;
}

} // namespace samphireswitch::platform
