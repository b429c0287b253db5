#include "protocol/configurationcodec.h"

#include "configuration/recordcheck.h"
#include "protocol/datagramcodec.h"

#include <kj/exception.h>

#include <algorithm>
#include <functional>

namespace samphireswitch::protocol {

namespace {

// More than the largest planned deployment (31,000 addresses) needs.
constexpr unsigned s_maximumRecords = 65'536;
// A process keeps a bounded event log; see telemetry::EventLog.
constexpr unsigned s_maximumEvents = 65'536;
constexpr unsigned s_maximumMembers = 262'144;
constexpr unsigned s_maximumLines = 4'096;
constexpr unsigned s_maximumPools = 1'024;
constexpr std::size_t s_maximumTextLength = 4'096;

using configuration::ConfigurationDelta;
using configuration::ConfigurationPatch;
using configuration::HostRecord;
using configuration::HostState;
using configuration::ServiceRecord;

Error malformed(std::string message)
{
    return {ResultCode::MessageMalformed, std::move(message)};
}

/** Calls @p read and turns the exceptions that Cap'n Proto throws for damaged messages into errors. */
template<typename Function>
auto guarded(Function &&read) -> decltype(read())
{
    try {
        return read();
    } catch (const kj::Exception &exception) {
        return boost::leaf::new_error(malformed(exception.getDescription().cStr()));
    }
}

Result<std::string> readText(capnp::Text::Reader reader)
{
    if (reader.size() > s_maximumTextLength) {
        return boost::leaf::new_error(malformed("a text has " + std::to_string(reader.size()) + " bytes"));
    }
    return std::string(reader.begin(), reader.size());
}

/** Writes each element of @p values with @p write into a list builder of the same length. */
template<typename Values, typename Builder, typename Write>
void writeList(const Values &values, Builder builder, Write write)
{
    unsigned index = 0;
    for (const auto &value : values) {
        write(value, builder[index]);
        ++index;
    }
}

/** Reads each element of a list with @p read; fails with the first failure. */
template<typename Value, typename List, typename Read>
Result<std::vector<Value>> readList(List reader, unsigned maximum, const char *what, Read read)
{
    if (reader.size() > maximum) {
        return boost::leaf::new_error(malformed("a list has " + std::to_string(reader.size()) + ' ' + what));
    }
    std::vector<Value> values;
    values.reserve(reader.size());
    for (const auto element : reader) {
        BOOST_LEAF_AUTO(value, read(element));
        values.push_back(std::move(value));
    }
    return values;
}

void writeHost(const HostRecord &host, wire::HostRecord::Builder builder)
{
    builder.setName(host.name);
    builder.setFailureDomain(host.failureDomain);
    builder.setState(static_cast<wire::HostState>(host.state));
}

Result<HostRecord> readHost(wire::HostRecord::Reader reader)
{
    if (reader.getState() > wire::HostState::STOPPED) {
        return boost::leaf::new_error(malformed("a host record has an unknown state"));
    }
    HostRecord host;
    BOOST_LEAF_ASSIGN(host.name, readText(reader.getName()));
    BOOST_LEAF_ASSIGN(host.failureDomain, readText(reader.getFailureDomain()));
    host.state = static_cast<HostState>(reader.getState());
    return host;
}

void writeShare(const configuration::PoolShare &share, wire::PoolShare::Builder builder)
{
    builder.setPool(share.pool);
    builder.setWeight(share.weight);
}

Result<configuration::PoolShare> readShare(wire::PoolShare::Reader reader)
{
    BOOST_LEAF_AUTO(pool, readText(reader.getPool()));
    return configuration::PoolShare {std::move(pool), reader.getWeight()};
}

Result<ServiceRecord> readRecordUnguarded(wire::ServiceRecord::Reader reader)
{
    ServiceRecord record;
    BOOST_LEAF_ASSIGN(record.name, readText(reader.getName()));
    record.generation = reader.getGeneration();
    record.removed = reader.getRemoved();
    record.address = reader.getAddress();
    record.requestPort = reader.getRequestPort();
    record.feedPort = reader.getFeedPort();
    record.idempotent = reader.getIdempotent();
    record.deadline = std::chrono::milliseconds(reader.getDeadlineMilliseconds());
    record.slots = reader.getSlots();
    record.connections = reader.getConnections();
    BOOST_LEAF_ASSIGN(
        record.hosts,
        readList<HostRecord>(reader.getHosts(), configuration::s_maximumHostsPerService, "hosts", readHost));
    BOOST_LEAF_ASSIGN(record.plan, readText(reader.getPlan()));
    BOOST_LEAF_ASSIGN(record.pools,
                      readList<configuration::PoolShare>(reader.getPools(), s_maximumPools, "pools", readShare));
    BOOST_LEAF_ASSIGN(record.healthPath, readText(reader.getHealthPath()));
    record.latencyTarget = std::chrono::milliseconds(reader.getLatencyTargetMilliseconds());
    record.priority = reader.getPriority();
    BOOST_LEAF_ASSIGN(record.evacuatedDomain, readText(reader.getEvacuatedDomain()));
    record.coldRequestsPerSecond = reader.getColdRequestsPerSecond();
    record.slowStart = std::chrono::milliseconds(reader.getSlowStartMilliseconds());
    const auto problems = configuration::problemsOf(record);
    if (!problems.empty()) {
        return boost::leaf::new_error(malformed("service record '" + record.name + "': " + problems.front()));
    }
    return record;
}

Result<ConfigurationDelta> readDeltaUnguarded(wire::ConfigurationDelta::Reader reader)
{
    ConfigurationDelta delta {reader.getFrom(), reader.getTo(), {}};
    if (delta.from > delta.to) {
        return boost::leaf::new_error(malformed("a configuration ends before it begins"));
    }
    BOOST_LEAF_ASSIGN(
        delta.records,
        readList<ServiceRecord>(reader.getRecords(), s_maximumRecords, "service records", readRecordUnguarded));
    for (const ServiceRecord &record : delta.records) {
        if (record.generation <= delta.from || record.generation > delta.to) {
            return boost::leaf::new_error(
                malformed("service record '" + record.name + "' has a generation outside its configuration"));
        }
    }
    return delta;
}

Result<std::vector<std::size_t>> readBuckets(capnp::List<std::uint16_t>::Reader reader, std::size_t bucketCount)
{
    std::vector<std::size_t> buckets;
    buckets.reserve(reader.size());
    for (const std::uint16_t bucket : reader) {
        buckets.push_back(bucket);
    }
    const bool isAscending = std::ranges::adjacent_find(buckets, std::greater_equal()) == buckets.end();
    if (!isAscending || (!buckets.empty() && buckets.back() >= bucketCount)) {
        return boost::leaf::new_error(malformed("a configuration has a bucket twice or out of range"));
    }
    return buckets;
}

Result<ConfigurationPatch> readPatchUnguarded(wire::ConfigurationDelta::Reader reader)
{
    ConfigurationPatch patch;
    patch.bucketCount = reader.getBucketCount();
    if (!configuration::isValidBucketCount(patch.bucketCount)) {
        return boost::leaf::new_error(
            malformed("a configuration has " + std::to_string(patch.bucketCount) + " buckets"));
    }
    BOOST_LEAF_AUTO(delta, readDeltaUnguarded(reader));
    patch.generation = delta.to;
    patch.records = std::move(delta.records);
    patch.contentHash = reader.getContent().getContentHash();
    BOOST_LEAF_ASSIGN(patch.buckets, readBuckets(reader.getBuckets(), patch.bucketCount));
    for (const ServiceRecord &record : patch.records) {
        if (record.removed || !patch.replaces(record.name)) {
            return boost::leaf::new_error(
                malformed("service record '" + record.name + "' is outside the buckets of its configuration"));
        }
    }
    return patch;
}

Result<ConfigurationAnswer> readAnswerUnguarded(wire::ConfigurationDelta::Reader reader)
{
    const ContentState state = readContentState(reader.getContent());
    if (state.contentHash == 0) {
        BOOST_LEAF_AUTO(delta, readDeltaUnguarded(reader));
        return ConfigurationAnswer {std::move(delta), std::nullopt};
    }
    BOOST_LEAF_AUTO(patch, readPatchUnguarded(reader));
    return ConfigurationAnswer {std::move(patch), state.confirmedAge};
}

Result<Counter> readCounter(wire::Counter::Reader reader)
{
    BOOST_LEAF_AUTO(name, readText(reader.getName()));
    return Counter {std::move(name), reader.getValue()};
}

Result<Status> readStatusUnguarded(wire::Status::Reader reader)
{
    if (reader.getRole() > wire::MemberRole::BALANCER) {
        return boost::leaf::new_error(malformed("a status has an unknown role"));
    }
    Status status;
    BOOST_LEAF_ASSIGN(status.name, readText(reader.getName()));
    status.role = static_cast<MemberRole>(reader.getRole());
    BOOST_LEAF_ASSIGN(status.failureDomain, readText(reader.getFailureDomain()));
    status.generation = reader.getGeneration();
    BOOST_LEAF_ASSIGN(status.state, readText(reader.getState()));
    BOOST_LEAF_ASSIGN(status.counters,
                      readList<Counter>(reader.getCounters(), s_maximumLines, "counters", readCounter));
    BOOST_LEAF_ASSIGN(
        status.members,
        readList<MemberRecord>(reader.getMembers(), s_maximumMembers, "member records", readMemberRecord));
    BOOST_LEAF_ASSIGN(status.waitingFor,
                      readList<std::string>(reader.getWaitingFor(), s_maximumLines, "lines", readText));
    return status;
}

Result<telemetry::EventRecord> readEventUnguarded(wire::Event::Reader reader)
{
    telemetry::EventRecord event;
    event.sequence = reader.getSequence();
    BOOST_LEAF_ASSIGN(event.process, readText(reader.getProcess()));
    BOOST_LEAF_ASSIGN(event.kind, readText(reader.getKind()));
    // The system clock counts nanoseconds, so that large wire values would overflow it.
    constexpr std::int64_t maximumMicroseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::duration::max()).count();
    const std::int64_t wallClock = reader.getWallClockMicroseconds();
    if (wallClock < 0 || wallClock > maximumMicroseconds) {
        return boost::leaf::new_error(malformed("an event has a wall-clock time that is out of range"));
    }
    event.wallClock = std::chrono::system_clock::time_point(std::chrono::microseconds(wallClock));
    event.logicalTime = reader.getLogicalTime();
    BOOST_LEAF_ASSIGN(event.flow, readText(reader.getFlow()));
    BOOST_LEAF_ASSIGN(event.service, readText(reader.getService()));
    BOOST_LEAF_ASSIGN(event.host, readText(reader.getHost()));
    event.generation = reader.getGeneration();
    BOOST_LEAF_ASSIGN(event.detail, readText(reader.getDetail()));
    return event;
}

} // namespace

void writeServiceRecord(const ServiceRecord &record, wire::ServiceRecord::Builder builder)
{
    builder.setName(record.name);
    builder.setGeneration(record.generation);
    builder.setRemoved(record.removed);
    builder.setAddress(record.address);
    builder.setRequestPort(record.requestPort);
    builder.setFeedPort(record.feedPort);
    builder.setIdempotent(record.idempotent);
    builder.setDeadlineMilliseconds(static_cast<std::uint32_t>(record.deadline.count()));
    builder.setSlots(record.slots);
    builder.setConnections(record.connections);
    writeList(record.hosts, builder.initHosts(static_cast<unsigned>(record.hosts.size())), writeHost);
    builder.setPlan(record.plan);
    writeList(record.pools, builder.initPools(static_cast<unsigned>(record.pools.size())), writeShare);
    builder.setHealthPath(record.healthPath);
    builder.setLatencyTargetMilliseconds(static_cast<std::uint32_t>(record.latencyTarget.count()));
    builder.setPriority(record.priority);
    builder.setEvacuatedDomain(record.evacuatedDomain);
    builder.setColdRequestsPerSecond(record.coldRequestsPerSecond);
    builder.setSlowStartMilliseconds(static_cast<std::uint32_t>(record.slowStart.count()));
}

Result<ServiceRecord> readServiceRecord(wire::ServiceRecord::Reader reader)
{
    return guarded([&] { return readRecordUnguarded(reader); });
}

void writeConfigurationDelta(const ConfigurationDelta &delta, wire::ConfigurationDelta::Builder builder)
{
    builder.setFrom(delta.from);
    builder.setTo(delta.to);
    writeList(delta.records, builder.initRecords(static_cast<unsigned>(delta.records.size())), writeServiceRecord);
}

Result<ConfigurationDelta> readConfigurationDelta(wire::ConfigurationDelta::Reader reader)
{
    return guarded([&] { return readDeltaUnguarded(reader); });
}

void writeConfigurationPatch(const ConfigurationPatch &patch,
                             const std::optional<std::chrono::milliseconds> &confirmedAge,
                             wire::ConfigurationDelta::Builder builder)
{
    writeConfigurationDelta({0, patch.generation, patch.records}, builder);
    builder.setBucketCount(static_cast<std::uint16_t>(patch.bucketCount));
    auto buckets = builder.initBuckets(static_cast<unsigned>(patch.buckets.size()));
    unsigned index = 0;
    for (const std::size_t bucket : patch.buckets) {
        buckets.set(index, static_cast<std::uint16_t>(bucket));
        ++index;
    }
    writeContentState({patch.contentHash, confirmedAge}, builder.initContent());
}

Result<ConfigurationAnswer> readConfigurationAnswer(wire::ConfigurationDelta::Reader reader)
{
    return guarded([&] { return readAnswerUnguarded(reader); });
}

void writeContentHashes(const configuration::ContentHashes &hashes, capnp::List<std::uint64_t>::Builder builder)
{
    unsigned index = 0;
    for (const std::uint64_t hash : hashes) {
        builder.set(index, hash);
        ++index;
    }
}

Result<configuration::ContentHashes> readContentHashes(capnp::List<std::uint64_t>::Reader reader)
{
    return guarded([&]() -> Result<configuration::ContentHashes> {
        if (!configuration::isValidBucketCount(reader.size())) {
            return boost::leaf::new_error(
                malformed("a request has the hashes of " + std::to_string(reader.size()) + " buckets"));
        }
        configuration::ContentHashes hashes;
        hashes.reserve(reader.size());
        for (const std::uint64_t hash : reader) {
            hashes.push_back(hash);
        }
        return hashes;
    });
}

void writeStatus(const Status &status, wire::Status::Builder builder)
{
    builder.setName(status.name);
    builder.setRole(static_cast<wire::MemberRole>(status.role));
    builder.setFailureDomain(status.failureDomain);
    builder.setGeneration(status.generation);
    builder.setState(status.state);
    writeList(status.counters,
              builder.initCounters(static_cast<unsigned>(status.counters.size())),
              [](const Counter &counter, wire::Counter::Builder element) {
                  element.setName(counter.name);
                  element.setValue(counter.value);
              });
    writeMemberRecords(status.members, builder.initMembers(static_cast<unsigned>(status.members.size())));
    auto lines = builder.initWaitingFor(static_cast<unsigned>(status.waitingFor.size()));
    unsigned index = 0;
    for (const std::string &line : status.waitingFor) {
        lines.set(index, line);
        ++index;
    }
}

Result<Status> readStatus(wire::Status::Reader reader)
{
    return guarded([&] { return readStatusUnguarded(reader); });
}

void writeEvent(const telemetry::EventRecord &event, wire::Event::Builder builder)
{
    builder.setSequence(event.sequence);
    builder.setProcess(event.process);
    builder.setKind(event.kind);
    builder.setWallClockMicroseconds(
        std::chrono::duration_cast<std::chrono::microseconds>(event.wallClock.time_since_epoch()).count());
    builder.setLogicalTime(event.logicalTime);
    builder.setFlow(event.flow);
    builder.setService(event.service);
    builder.setHost(event.host);
    builder.setGeneration(event.generation);
    builder.setDetail(event.detail);
}

Result<telemetry::EventRecord> readEvent(wire::Event::Reader reader)
{
    return guarded([&] { return readEventUnguarded(reader); });
}

void writeEvents(const std::vector<telemetry::EventRecord> &events, capnp::List<wire::Event>::Builder builder)
{
    writeList(events, builder, writeEvent);
}

Result<std::vector<telemetry::EventRecord>> readEvents(capnp::List<wire::Event>::Reader reader)
{
    return guarded(
        [&] { return readList<telemetry::EventRecord>(reader, s_maximumEvents, "events", readEventUnguarded); });
}

void writeMemberRecords(const std::vector<MemberRecord> &records, capnp::List<wire::MemberRecord>::Builder builder)
{
    writeList(records, builder, writeMemberRecord);
}

Result<std::vector<MemberRecord>> readMemberRecords(capnp::List<wire::MemberRecord>::Reader reader)
{
    return guarded(
        [&] { return readList<MemberRecord>(reader, s_maximumMembers, "member records", readMemberRecord); });
}

} // namespace samphireswitch::protocol
