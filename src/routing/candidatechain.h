#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"
#include "routing/routingtable.h"

#include <cstddef>
#include <optional>
#include <span>

namespace samphireswitch::routing {

/**
 * Appends the eligible members of @p route to the empty chain @p chain by rendezvous hashing: in descending order of a
 * hash of the flow and the agent. The order does not depend on the order of the member list, so that balancers with
 * equal members make equal chains, and a member that joins or leaves does not change the order of the others.
 * Of more members than a chain holds, the first ones in that order are taken.
 */
void appendEligible(const flow::FlowKey &key, const ServiceRoute &route, protocol::CandidateChain &chain);

/**
 * Appends at most @p limit of @p members in the same order, while the chain has room. All processes that know the same
 * members append the same ones.
 */
void appendRanked(const flow::FlowKey &key,
                  std::span<const protocol::Candidate> members,
                  std::size_t limit,
                  protocol::CandidateChain &chain);

/** Picks one of the weights' ranges by a hash of the flow; the position of it, or nothing if all weights are 0. */
std::optional<std::size_t> pickByWeight(const flow::FlowKey &key, std::span<const WeightedPool> pools);

/** Appends the members that take no new work, in the table's order, while the chain has room. */
void appendOthers(const ServiceRoute &route, protocol::CandidateChain &chain);

} // namespace samphireswitch::routing
