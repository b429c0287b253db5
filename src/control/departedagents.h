#pragma once

#include "base/time.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace samphireswitch::control {

/** Times and size of DepartedAgents. */
struct DepartedAgentSettings
{
    /** How long a record is kept. An agent that starts later learns from its upstream's silence that it has none. */
    std::chrono::milliseconds validity {60000};
    /** Number of agents that are remembered; further ones are ignored. */
    std::size_t capacity = 64;
};

/**
 * Records of agents whose upstream has announced its exit, for the balancer directory. After a loss of power, such an
 * agent may be started once more, without an upstream that could tell it what it holds. It then finds in the directory
 * that it holds no flow. Without that, every search for the owner of a lost flow waits for this agent.
 */
class DepartedAgents
{
public:
    explicit DepartedAgents(const DepartedAgentSettings &settings = {});

    /**
     * Adds the agents among @p records, which are known at @p now, whose upstream has left. Forgets the departure of
     * those that are active in a later run: their next upstream may hold flows, also after the agent has stopped.
     */
    void add(const std::vector<protocol::MemberRecord> &records, TimePoint now);

    /** The records to be listed at @p now, in ascending order of their ids. */
    std::vector<protocol::MemberRecord> records(TimePoint now) const;

private:
    struct Entry
    {
        /** The departure, or the record of a later run of the agent that was active. */
        protocol::MemberRecord record;
        TimePoint addedAt;
    };

    void addDeparture(const protocol::MemberRecord &record, TimePoint now);

    DepartedAgentSettings m_settings;
    std::map<std::uint64_t, Entry> m_agents;
};

/**
 * What the directory tells an agent of its own earlier run: the record of the run before that with @p incarnation.
 * Null if @p records, the content of all entries, has none.
 */
const protocol::MemberRecord *
earlierRun(const std::vector<protocol::MemberRecord> &records, std::uint64_t id, std::uint64_t incarnation);

/**
 * Whether @p records, the content of all entries, list the run of @p id with @p incarnation as one whose upstream has
 * not left.
 */
bool isListed(const std::vector<protocol::MemberRecord> &records, std::uint64_t id, std::uint64_t incarnation);

} // namespace samphireswitch::control
