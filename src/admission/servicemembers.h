#pragma once

#include "protocol/messages.h"

#include <cstddef>
#include <span>
#include <vector>

namespace samphireswitch::admission {

/** Number of agents, from the start of the chain, that may take new work. */
std::size_t candidateCount(const protocol::EnvelopeHeader &header);

/** The agents of a service as this agent knows them. Extends the candidate chains of envelopes from that knowledge. */
class ServiceMembers
{
public:
    explicit ServiceMembers(const protocol::Candidate &self);

    /** Replaces the members. The first @p eligible of @p members may take new work. */
    void set(const std::vector<protocol::Candidate> &members, std::size_t eligible);

    const protocol::Candidate &self() const;

    /** Members that may take new work; this agent may be one of them. */
    std::span<const protocol::Candidate> eligible() const;

    /**
     * Inserts the members that may take new work and are missing in the chain behind the candidates that may take new
     * work; returns false if there are none. @p key determines the member with which the insertion starts.
     */
    bool extendCandidates(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const;

    /**
     * Appends the members that are missing in the chain, to find the owner of the flow @p key; returns false if there
     * are none.
     */
    bool extendSearch(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const;

    /** Moves this agent behind the candidates that may take new work; returns whether any of these is left. */
    bool withdrawFromCandidates(protocol::EnvelopeHeader &header) const;

private:
    /** Inserts those of the first @p memberLimit members that are missing in the chain; returns how many they are. */
    std::size_t insert(protocol::CandidateChain &chain,
                       std::size_t position,
                       const flow::FlowKey &key,
                       std::size_t memberLimit) const;

    protocol::Candidate m_self;
    std::vector<protocol::Candidate> m_members;
    std::size_t m_eligible = 0;
};

} // namespace samphireswitch::admission
