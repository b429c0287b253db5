#pragma once

#include "membership/membershiptable.h"
#include "protocol/messages.h"

#include <cstdint>
#include <set>
#include <vector>

namespace samphireswitch::control {

/**
 * What the entry of the balancer @p self tells. In each failure domain two balancers name the agents that have neither
 * died nor left: an entry of every balancer that names all agents grows with the product of both, and balancers with
 * little processor time read all entries when they start.
 */
protocol::MemberUpdate directoryEntry(const protocol::MemberRecord &self, const membership::MembershipTable &members);

/** Ids of the agents among @p records. */
std::set<std::uint64_t> agentsOf(const std::vector<protocol::MemberRecord> &records);

} // namespace samphireswitch::control
