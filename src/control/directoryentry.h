#pragma once

#include "membership/membershiptable.h"
#include "protocol/messages.h"

#include <cstdint>
#include <set>
#include <vector>

namespace samphireswitch::control {

/**
 * Builds the directory entry of the balancer @p self, which begins with its own record. In each failure domain, the
 * entries of two balancers also list up to 255 agents: those that have neither died nor left, and the records in
 * @p departed, of earlier runs of agents whose upstreams have left; see DepartedAgents. If the entries of all balancers
 * listed all agents, the size of the directory would grow with the product of balancers and agents, and a balancer with
 * little processor time has to read all entries when it starts.
 */
protocol::MemberUpdate directoryEntry(const protocol::MemberRecord &self,
                                      const membership::MembershipTable &members,
                                      const std::vector<protocol::MemberRecord> &departed = {});

/** Ids of the agents among @p records that have neither died nor left. */
std::set<std::uint64_t> agentsOf(const std::vector<protocol::MemberRecord> &records);

/** Ids of the agents among @p records whose upstreams have left. */
std::set<std::uint64_t> departuresIn(const std::vector<protocol::MemberRecord> &records);

} // namespace samphireswitch::control
