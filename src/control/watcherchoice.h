#pragma once

#include "membership/membershiptable.h"

#include <cstddef>

namespace samphireswitch::control {

/** Number of balancers in a failure domain that watch the store. */
constexpr std::size_t s_watchersPerFailureDomain = 2;

/**
 * Whether @p self is one of the balancers of its failure domain that watch the store: the highest by rendezvous hash
 * among those alive. No election is needed, since one watcher more or fewer harms nothing.
 */
bool shouldWatchStore(const protocol::MemberRecord &self, const membership::MembershipTable &members);

} // namespace samphireswitch::control
