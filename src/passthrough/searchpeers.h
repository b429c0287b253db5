#pragma once

#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <vector>

namespace samphireswitch::passthrough {

/** The agents of an upstream's pool, by which its agent extends the search for the owner of a flow. */
class SearchPeers
{
public:
    /** @p self is the agent that extends searches, and never becomes part of an extension. */
    explicit SearchPeers(AgentId self);

    void set(std::vector<protocol::Candidate> peers);

    bool contains(const protocol::Candidate &agent) const;

    /**
     * Replaces the agents that were asked by the peers that are not in the chain, as many as fit. Agents that did not
     * acknowledge the packet stay in the chain. Returns false if no agent was added.
     */
    bool replaceAsked(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const;

private:
    /** Inserts at the front of the chain the peers in @p others, as many as fit. Returns whether there were any. */
    static bool prepend(const protocol::CandidateChain &others, protocol::EnvelopeHeader &header);
    /** The peers that are not in @p chain, ranked for the flow and as many as fit in a chain. */
    protocol::CandidateChain outside(const protocol::CandidateChain &chain, const flow::FlowKey &key) const;

    AgentId m_self;
    std::vector<protocol::Candidate> m_peers;
};

} // namespace samphireswitch::passthrough
