#include "routing/candidatechain.h"

#include "base/hash.h"

#include <algorithm>
#include <array>

namespace samphireswitch::routing {

namespace {

// All balancers must use the same seed, otherwise they would build different chains for the same flow.
constexpr std::uint64_t s_chainSeed = 0x63616e6469646174ULL;
// Differs from s_chainSeed, so that the choice of the pool does not bias the order of the agents within the pool.
constexpr std::uint64_t s_poolSeed = 0x706f6f6c73ULL;

/** An agent with the hash by which chains are sorted. */
struct Ranked
{
    std::uint64_t score;
    const protocol::Candidate *candidate;
};

// The order is total: agents have distinct scores, because mixHash() is bijective in its second argument and a table
// lists each agent once.
bool precedes(const Ranked &left, const Ranked &right)
{
    return left.score > right.score;
}

/** Keeps the members with the highest scores, at most as many as a chain holds, in descending order of score. */
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
    // Not initialized, because only the first m_size entries are read.
    std::array<Ranked, protocol::s_maximumChainLength> m_entries;
    std::size_t m_size = 0;
};

/** Appends the highest-ranked @p members, as many as a chain holds, to @p chain, which must be empty. */
void appendHighest(std::uint64_t flowHash,
                   std::span<const protocol::Candidate> members,
                   protocol::CandidateChain &chain)
{
    Ranking ranking;
    for (const protocol::Candidate &candidate : members) {
        ranking.insert({mixHash(flowHash, candidate.agent.value), &candidate});
    }
    for (const Ranked &ranked : ranking.entries()) {
        chain.push_back(*ranked.candidate);
    }
}

/**
 * Fills @p chain with all @p members, which must not be more than a chain holds. For each member, counts the members
 * that precede it instead of sorting the members, because the scores are in random order and the branches of a sort
 * would be mispredicted.
 */
void appendAll(std::uint64_t flowHash, std::span<const protocol::Candidate> members, protocol::CandidateChain &chain)
{
    std::array<std::uint64_t, protocol::s_maximumChainLength> scores;
    for (std::size_t index = 0; index < members.size(); ++index) {
        scores[index] = mixHash(flowHash, members[index].agent.value);
    }
    chain.resize(members.size(), boost::container::default_init);
    for (std::size_t index = 0; index < members.size(); ++index) {
        std::size_t rank = 0;
        for (std::size_t other = 0; other < members.size(); ++other) {
            rank += scores[other] > scores[index] ? 1 : 0;
        }
        chain[rank] = members[index];
    }
}

} // namespace

void appendEligible(const flow::FlowKey &key, const ServiceRoute &route, protocol::CandidateChain &chain)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_chainSeed);
    if (route.eligible().size() <= chain.capacity()) {
        appendAll(flowHash, route.eligible(), chain);
    } else {
        appendHighest(flowHash, route.eligible(), chain);
    }
}

void appendRanked(const flow::FlowKey &key,
                  std::span<const protocol::Candidate> members,
                  std::size_t limit,
                  protocol::CandidateChain &chain)
{
    const std::uint64_t flowHash = flow::hashFlow(key, s_chainSeed);
    Ranking ranking;
    for (const protocol::Candidate &candidate : members) {
        ranking.insert({mixHash(flowHash, candidate.agent.value), &candidate});
    }
    const std::size_t room = std::min(limit, chain.capacity() - chain.size());
    const auto ranked = ranking.entries();
    for (const Ranked &entry : ranked.first(std::min(room, ranked.size()))) {
        chain.push_back(*entry.candidate);
    }
}

std::optional<std::size_t> pickByWeight(const flow::FlowKey &key, std::span<const WeightedPool> pools)
{
    if (pools.empty() || pools.back().cumulativeWeight == 0) {
        return std::nullopt;
    }
    const std::uint64_t point = flow::hashFlow(key, s_poolSeed) % pools.back().cumulativeWeight;
    const auto found = std::ranges::upper_bound(pools, point, {}, &WeightedPool::cumulativeWeight);
    return static_cast<std::size_t>(found - pools.begin());
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
