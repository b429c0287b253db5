#pragma once

#include "protocol/messages.h"

namespace samphireswitch::routing {

/*
 * Progress of a search for the owner of a flow, which the header of the packet's envelope carries. The chain consists
 * of four consecutive ranges: agents that were asked, agents that were not asked yet, deferred agents that could not
 * tell, and agents that did not acknowledge the packet. `hop` is the index of the current agent, to
 * which the packet is sent.
 */

/** Whether no agent is left to ask. The search has no current agent then. */
bool isSearchOver(const protocol::EnvelopeHeader &header);

/** Whether the current agent is one of those that could not tell. */
bool isDeferred(const protocol::EnvelopeHeader &header);

/** Moves the current agent, which cannot tell, to the end of the deferred agents. The next agent becomes current. */
void deferCurrentAgent(protocol::EnvelopeHeader &header);

/**
 * Moves the current agent, which did not acknowledge the packet, to the end of the chain. The next agent becomes
 * current.
 */
void skipCurrentAgent(protocol::EnvelopeHeader &header);

/**
 * Counts the deferred agents as agents that did not acknowledge the packet. The search is over if the current agent is
 * one of them.
 */
void giveUpDeferredAgents(protocol::EnvelopeHeader &header);

/**
 * Whether the current agent is the only one left that may own the flow, because all others have denied it: then the
 * packet may go to its upstream although nobody knows that it holds the flow.
 */
bool isOnlyPossibleOwner(const protocol::EnvelopeHeader &header);

/** Makes the next agent current, because the current agent does not own the flow. */
void advance(protocol::EnvelopeHeader &header);

/** Whether @p agent did not acknowledge the packet of this search. */
bool isUnanswered(const protocol::EnvelopeHeader &header, const protocol::Candidate &agent);

/**
 * Makes @p owner, which a location record names and which is not unanswered, the current agent of a search whose
 * current agent was not asked yet. The other agents keep their order. Returns false and changes nothing if a record was
 * used in this search before, or if the chain has no room for another agent. A search is no longer exhaustive if the
 * chain did not contain the owner, because its balancer does not know all agents then.
 */
bool askLocatedOwner(protocol::EnvelopeHeader &header, const protocol::Candidate &owner);

/**
 * Returns the header of a new search over the agents that did not acknowledge the packet. Its search identifier is 0,
 * so the caller has to set one. The new search is not exhaustive and therefore never ends in a reset.
 */
protocol::EnvelopeHeader repeatForUnanswered(const protocol::EnvelopeHeader &header);

/**
 * Returns the header of a new search that asks only @p owner, which a location record names and which did not
 * acknowledge the packet. As with repeatForUnanswered(), the search identifier is 0 and the search not exhaustive.
 */
protocol::EnvelopeHeader repeatForOwner(const protocol::EnvelopeHeader &header, const protocol::Candidate &owner);

} // namespace samphireswitch::routing
