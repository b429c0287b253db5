#include "admission/servicemembers.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::admission {

namespace {

bool contains(const protocol::CandidateChain &chain, AgentId agent)
{
    return std::any_of(
        chain.begin(), chain.end(), [agent](const protocol::Candidate &candidate) { return candidate.agent == agent; });
}

} // namespace

std::size_t candidateCount(const protocol::EnvelopeHeader &header)
{
    return std::min<std::size_t>(header.eligible, header.chain.size());
}

ServiceMembers::ServiceMembers(const protocol::Candidate &self)
    : m_self(self)
{
}

void ServiceMembers::set(const std::vector<protocol::Candidate> &members, std::size_t eligible)
{
    m_members = members;
    m_eligible = std::min(eligible, members.size());
}

const protocol::Candidate &ServiceMembers::self() const
{
    return m_self;
}

std::span<const protocol::Candidate> ServiceMembers::eligible() const
{
    return std::span(m_members).first(m_eligible);
}

bool ServiceMembers::extendCandidates(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const
{
    const std::size_t end = candidateCount(header);
    const std::size_t added = insert(header.chain, end, key, m_eligible);
    header.eligible = static_cast<std::uint8_t>(end + added);
    return added > 0;
}

bool ServiceMembers::extendSearch(protocol::EnvelopeHeader &header, const flow::FlowKey &key) const
{
    return insert(header.chain, header.chain.size(), key, m_members.size()) > 0;
}

std::size_t ServiceMembers::insert(protocol::CandidateChain &chain,
                                   std::size_t position,
                                   const flow::FlowKey &key,
                                   std::size_t memberLimit) const
{
    std::size_t added = 0;
    const std::size_t limit = std::min(memberLimit, m_members.size());
    // The first member depends on the flow, so that the extensions of chains do not all begin with the same member.
    const std::size_t start = limit == 0 ? 0 : flow::hashFlow(key, 0) % limit;
    for (std::size_t index = 0; index < limit && chain.size() < chain.capacity(); ++index) {
        const protocol::Candidate &member = m_members[(start + index) % limit];
        if (member.agent == m_self.agent || contains(chain, member.agent)) {
            continue;
        }
        chain.insert(chain.begin() + static_cast<std::ptrdiff_t>(position + added), member);
        ++added;
    }
    return added;
}

bool ServiceMembers::withdrawFromCandidates(protocol::EnvelopeHeader &header) const
{
    protocol::CandidateChain eligible;
    protocol::CandidateChain others;
    const std::size_t limit = candidateCount(header);
    for (std::size_t index = 0; index < header.chain.size(); ++index) {
        const bool stays = index < limit && header.chain[index].agent != m_self.agent;
        (stays ? eligible : others).push_back(header.chain[index]);
    }
    header.eligible = static_cast<std::uint8_t>(eligible.size());
    header.chain = std::move(eligible);
    header.chain.insert(header.chain.end(), others.begin(), others.end());
    return header.eligible > 0;
}

} // namespace samphireswitch::admission
