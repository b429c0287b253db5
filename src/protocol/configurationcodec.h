#pragma once

#include "base/resultcode.h"
#include "configuration/configurationpatch.h"
#include "configuration/contenthash.h"
#include "configuration/servicerecord.h"
#include "protocol/samphireswitch.capnp.h"
#include "protocol/status.h"
#include "telemetry/eventlog.h"

#include <chrono>
#include <optional>
#include <variant>
#include <vector>

/**
 * Conversions between the types of the RPC interface `Control` and the ones used in the code. Every read function
 * fails with ResultCode::MessageMalformed on anything that a correct process does not send: damaged messages, unknown
 * enumerators, lists that are too long, and records that break a rule of configuration::problemsOf().
 */
namespace samphireswitch::protocol {

void writeServiceRecord(const configuration::ServiceRecord &record, wire::ServiceRecord::Builder builder);
Result<configuration::ServiceRecord> readServiceRecord(wire::ServiceRecord::Reader reader);

void writeConfigurationDelta(const configuration::ConfigurationDelta &delta, wire::ConfigurationDelta::Builder builder);

/** Also fails if the generation of a record is not in (from, to]. */
Result<configuration::ConfigurationDelta> readConfigurationDelta(wire::ConfigurationDelta::Reader reader);

/** Answer of a peer to a request for its configuration. */
struct ConfigurationAnswer
{
    /** A delta from a peer of an earlier version, which knows no content hashes. */
    std::variant<configuration::ConfigurationDelta, configuration::ConfigurationPatch> content;
    /** Time between the last confirmation of the content by the store and the answer; nothing if that is not known. */
    std::optional<std::chrono::milliseconds> confirmedAge;
};

void writeConfigurationPatch(const configuration::ConfigurationPatch &patch,
                             const std::optional<std::chrono::milliseconds> &confirmedAge,
                             wire::ConfigurationDelta::Builder builder);

/** Also fails if the generation of a record is outside that of the answer, or a record outside its buckets. */
Result<ConfigurationAnswer> readConfigurationAnswer(wire::ConfigurationDelta::Reader reader);

void writeContentHashes(const configuration::ContentHashes &hashes, capnp::List<std::uint64_t>::Builder builder);

/** Also fails if the number of hashes is not a number of buckets. */
Result<configuration::ContentHashes> readContentHashes(capnp::List<std::uint64_t>::Reader reader);

void writeStatus(const Status &status, wire::Status::Builder builder);
Result<Status> readStatus(wire::Status::Reader reader);

void writeEvent(const telemetry::EventRecord &event, wire::Event::Builder builder);
Result<telemetry::EventRecord> readEvent(wire::Event::Reader reader);

void writeEvents(const std::vector<telemetry::EventRecord> &events, capnp::List<wire::Event>::Builder builder);
Result<std::vector<telemetry::EventRecord>> readEvents(capnp::List<wire::Event>::Reader reader);

void writeMemberRecords(const std::vector<MemberRecord> &records, capnp::List<wire::MemberRecord>::Builder builder);
Result<std::vector<MemberRecord>> readMemberRecords(capnp::List<wire::MemberRecord>::Reader reader);

} // namespace samphireswitch::protocol
