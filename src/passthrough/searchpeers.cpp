#include "passthrough/searchpeers.h"

#include "routing/candidatechain.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

SearchPeers::SearchPeers(AgentId self)
    : m_self(self)
{
}

void SearchPeers::set(std::vector<protocol::Candidate> peers)
{
    m_peers = std::move(peers);
}

bool SearchPeers::contains(const protocol::Candidate &agent) const
{
    return std::ranges::find(m_peers, agent) != m_peers.end();
}

bool SearchPeers::replaceAsked(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const
{
    const protocol::CandidateChain others = outside(header.chain, key);
    header.chain.erase(header.chain.begin(), header.chain.end() - header.unanswered);
    header.hop = 0;
    header.deferred = 0;
    return prepend(others, header);
}

bool SearchPeers::prepend(const protocol::CandidateChain &others, protocol::EnvelopeHeader &header)
{
    protocol::CandidateChain &chain = header.chain;
    const std::size_t count = std::min(chain.capacity() - chain.size(), others.size());
    chain.insert(chain.begin(), others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count));
    header.extended = true;
    return count > 0;
}

protocol::CandidateChain SearchPeers::outside(const protocol::CandidateChain &chain, const flow::FlowKey &key) const
{
    std::vector<protocol::Candidate> rest;
    for (const protocol::Candidate &peer : m_peers) {
        const bool wasAsked = std::ranges::find(chain, peer.agent, &protocol::Candidate::agent) != chain.end();
        if (!wasAsked && peer.agent != m_self) {
            rest.push_back(peer);
        }
    }
    protocol::CandidateChain extension;
    routing::appendRanked(key, rest, extension.capacity(), extension);
    return extension;
}

} // namespace samphireswitch::passthrough
