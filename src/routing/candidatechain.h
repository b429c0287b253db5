#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"
#include "routing/routingtable.h"

namespace samphireswitch::routing {

/**
 * Appends the eligible members of @p route to the empty chain @p chain by rendezvous hashing: in descending order of a
 * hash of the flow and the agent. The order does not depend on the order of the member list, so that balancers with
 * equal members make equal chains, and a member that joins or leaves does not change the order of the others.
 * Of more members than a chain holds, the first ones in that order are taken.
 */
void appendEligible(const flow::FlowKey &key, const ServiceRoute &route, protocol::CandidateChain &chain);

/** Appends the members that take no new work, in the table's order, while the chain has room. */
void appendOthers(const ServiceRoute &route, protocol::CandidateChain &chain);

} // namespace samphireswitch::routing
