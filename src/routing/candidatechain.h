#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"
#include "routing/routingtable.h"

#include <cstddef>
#include <optional>
#include <span>

namespace samphireswitch::routing {

/** Number of agents that record the owner of a flow: the agents of its pool that rank highest, without the owner. */
constexpr std::size_t s_locationCopies = 3;

/**
 * Appends the eligible members of @p route to @p chain, which must be empty, by rendezvous hashing: the members are
 * sorted in descending order of a hash of the flow and the agent. The result does not depend on the order of the member
 * list, so balancers that know the same members build the same chain. A member that joins or leaves does not change the
 * relative order of the other members. If a service has more eligible members than a chain holds, the chain gets those
 * with the highest hashes.
 */
void appendEligible(const flow::FlowKey &key, const ServiceRoute &route, protocol::CandidateChain &chain);

/**
 * Appends the highest-ranked @p members, in the rendezvous order that appendEligible() uses. Stops after @p limit
 * members or when the chain is full. Balancers and agents that know the same members append the same candidates.
 */
void appendRanked(const flow::FlowKey &key,
                  std::span<const protocol::Candidate> members,
                  std::size_t limit,
                  protocol::CandidateChain &chain);

/**
 * Chooses one of @p pools by a hash of the flow, in proportion to the weights of the pools. Returns the index into
 * @p pools, or nothing if @p pools is empty or all weights are 0.
 */
std::optional<std::size_t> pickByWeight(const flow::FlowKey &key, std::span<const WeightedPool> pools);

/**
 * Appends the members of @p route that take no new work but may own flows, in the order of the routing table, until the
 * chain is full.
 */
void appendOthers(const ServiceRoute &route, protocol::CandidateChain &chain);

} // namespace samphireswitch::routing
