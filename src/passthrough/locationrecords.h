#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "flow/flowkey.h"
#include "flow/segment.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
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
 * agent is asked next, and that agent checks whether it owns the flow. An agent that has restarted can check no more
 * than that the record is of the same flow, by the sequence numbers of its upstream. The records of two owners are kept
 * for each key, because the owner of a flow that has ended may renew its record after the key came into use again.
 */
class LocationRecords
{
public:
    explicit LocationRecords(const LocationRecordSettings &settings = {});

    /** Stores or refreshes a record for each flow of @p message. */
    void store(const protocol::LocationRecords &message, TimePoint now);

    /**
     * The recorded owner of the flow of @p packet, a caller's; nothing if there is no record of this flow or its
     * lifetime has passed. The newest record counts.
     */
    std::optional<protocol::Candidate> find(const flow::Segment &packet, TimePoint now) const;

    /** Whether there is a record that names @p owner for a flow with this key, and its lifetime has not passed. */
    bool names(const flow::FlowKey &key, AgentId owner, TimePoint now) const;

    /** Starts the lifetime of all records that name @p owner anew. */
    void renew(AgentId owner, TimePoint now);

    /** Removes the record of the flow if it names @p owner. */
    void remove(const flow::FlowKey &key, AgentId owner);

    /** Removes all records that name @p owner. */
    void removeAll(AgentId owner);

    /** The flows whose records name @p owner. Examines the whole table. */
    std::vector<protocol::LocatedFlow> flowsOf(AgentId owner) const;

    /** The flows of all records, by owner. */
    std::vector<protocol::LocationRecords> byOwner() const;

    /** Removes records whose lifetime has passed. Examines the whole table, so call it only about once a second. */
    void expire(TimePoint now);

    std::size_t size() const;

private:
    struct Record
    {
        protocol::Candidate owner;
        std::uint32_t sequenceNumber = 0;
        TimePoint storedAt;
    };

    using Records = std::unordered_multimap<flow::FlowKey, Record>;

    /** Stores a record of the flow with this key in place of the one of the same owner, or of the oldest one. */
    void store(const flow::FlowKey &key, const Record &record);
    bool isExpired(const Record &record, TimePoint now) const;
    /** Whether @p packet can be of the recorded flow by its acknowledgement number. */
    static bool canBelong(const flow::Segment &packet, const Record &record);

    LocationRecordSettings m_settings;
    Records m_records;
};

} // namespace samphireswitch::passthrough
