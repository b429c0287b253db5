#pragma once

#include "base/identifiers.h"
#include "protocol/messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::protocol {

/** Counter of an agent: connections and half-open flows that it holds. A plan reads from it that a service is idle. */
constexpr std::string_view s_connectionsHeldCounter = "connections_held";

/** Counter of any process, with s_failureDomainLabel: agents that get no new flows while the domain is evacuated. */
constexpr std::string_view s_evacuatedAgentsCounter = "evacuated_agents";
constexpr std::string_view s_failureDomainLabel = "failure_domain";

struct Counter
{
    std::string name;
    double value = 0;

    bool operator==(const Counter &) const = default;
};

/** What a process reports about itself to operators. */
struct Status
{
    std::string name;
    MemberRole role = MemberRole::Agent;
    std::string failureDomain;
    /** Configuration generation in force. */
    Generation generation = 0;
    /** For example `active`, `draining` or `waiting for a configuration`. */
    std::string state;
    std::vector<Counter> counters;
    std::vector<MemberRecord> members;
    /** What a drain waits for, one line an item. */
    std::vector<std::string> waitingFor;

    bool operator==(const Status &) const = default;
};

} // namespace samphireswitch::protocol
