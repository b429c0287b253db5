#include "routing/candidatechain.h"

#include "base/hash.h"

#include <array>

namespace samphireswitch::routing {

namespace {

// Part of the protocol between balancers: with different seeds they would choose different chains for a flow.
constexpr std::uint64_t s_chainSeed = 0x63616e6469646174ULL;

struct Ranked
{
    std::uint64_t score;
    const protocol::Candidate *candidate;
};

bool precedes(const Ranked &left, const Ranked &right)
{
    if (left.score != right.score) {
        return left.score > right.score;
    }
    return left.candidate->agent.value > right.candidate->agent.value;
}

/** The highest-ranked members in order. */
class Ranking
{
public:
    void insert(const Ranked &ranked)
    {
        if (m_size == m_entries.size()) {
            if (!precedes(ranked, m_entries.back())) {
                return;
            }
            --m_size;
        }
        std::size_t position = m_size;
        while (position > 0 && precedes(ranked, m_entries[position - 1])) {
            m_entries[position] = m_entries[position - 1];
            --position;
        }
        m_entries[position] = ranked;
        ++m_size;
    }

    std::span<const Ranked> entries() const
    {
        return std::span(m_entries).first(m_size);
    }

private:
    // Left uninitialized, because only the first m_size entries are read.
    std::array<Ranked, protocol::s_maximumChainLength> m_entries;
    std::size_t m_size = 0;
};

} // namespace

void appendEligible(const flow::FlowKey &key, const ServiceRoute &route, protocol::CandidateChain &chain)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_chainSeed);
    Ranking ranking;
    for (const protocol::Candidate &candidate : route.eligible()) {
        ranking.insert({mixHash(flowHash, candidate.agent.value), &candidate});
    }
    for (const Ranked &ranked : ranking.entries()) {
        chain.push_back(*ranked.candidate);
    }
}

void appendOthers(const ServiceRoute &route, protocol::CandidateChain &chain)
{
    for (const protocol::Candidate &candidate : route.others()) {
        if (chain.size() == chain.capacity()) {
            return;
        }
        chain.push_back(candidate);
    }
}

} // namespace samphireswitch::routing
