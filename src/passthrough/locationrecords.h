#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace samphireswitch::passthrough {

/** Lifetime and number of the records of a LocationRecords table. */
struct LocationRecordSettings
{
    /** A record that its owner has not confirmed for this long is removed: three times the refresh interval. */
    std::chrono::milliseconds lifetime {30000};
    /** Further records are ignored. */
    std::size_t capacity = 16384;
};

/**
 * Records which agent owns an open flow, for flows of any agent of the pool. The owner of a flow has it recorded by a
 * few agents that rendezvous hashing of the flow selects, so that a balancer finds them without knowing the owner.
 *
 * A record may be wrong: its flow may have ended, or its addresses and ports may be in use again. It only decides which
 * agent is asked next, and that agent checks whether it owns the flow.
 */
class LocationRecords
{
public:
    explicit LocationRecords(const LocationRecordSettings &settings = {});

    /** Stores or refreshes a record for each flow of @p message. Replaces the record of an earlier owner. */
    void store(const protocol::LocationRecords &message, TimePoint now);

    /** The recorded owner of the flow, or nothing if there is no record or its lifetime has passed. */
    std::optional<protocol::Candidate> find(const flow::FlowKey &key, TimePoint now) const;

    /** Removes the record of the flow if it names @p owner. */
    void remove(const flow::FlowKey &key, AgentId owner);

    /** Removes all records that name @p owner. */
    void removeAll(AgentId owner);

    /** The flows whose records name @p owner. Examines the whole table. */
    std::vector<flow::FlowKey> flowsOf(AgentId owner) const;

    /** The flows of all records, by owner. */
    std::vector<protocol::LocationRecords> byOwner() const;

    /** Removes records whose lifetime has passed. Examines the whole table, so call it only about once a second. */
    void expire(TimePoint now);

    std::size_t size() const;

private:
    struct Record
    {
        protocol::Candidate owner;
        TimePoint storedAt;
    };

    bool isExpired(const Record &record, TimePoint now) const;

    LocationRecordSettings m_settings;
    std::unordered_map<flow::FlowKey, Record> m_records;
};

} // namespace samphireswitch::passthrough
