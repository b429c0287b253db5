#include "routing/searchparts.h"

#include "base/hash.h"
#include "flow/flowkey.h"

#include <algorithm>

namespace samphireswitch::routing {

namespace {

constexpr std::uint64_t s_partSeed = 0x7365617263687074ULL;

// The upper bits of the version of the reachable agents: the index of the part, and the number of further parts.
constexpr unsigned s_indexShift = 24;
constexpr unsigned s_furtherShift = 28;
constexpr std::uint32_t s_versionMask = (1U << s_indexShift) - 1;
constexpr std::uint32_t s_partMask = 0xf;

/** Identity of the search of which @p ended tells; never 0. */
std::uint64_t identityOf(const protocol::SearchEnded &ended)
{
    const protocol::SearchStamp stamp = withoutPart(ended.search.stamp);
    const std::uint64_t flowHash = flow::hashFlow(ended.flow, s_partSeed);
    const std::uint64_t versions = (std::uint64_t {stamp.known} << 32U) | stamp.reachable;
    return std::max<std::uint64_t>(1, mixHash(mixHash(flowHash, stamp.begun), versions));
}

} // namespace

protocol::SearchStamp withPart(const protocol::SearchStamp &stamp, const SearchPart &part)
{
    protocol::SearchStamp marked = withoutPart(stamp);
    marked.reachable |= std::uint32_t {part.index} << s_indexShift;
    marked.reachable |= (std::uint32_t {part.count} - 1) << s_furtherShift;
    return marked;
}

SearchPart partOf(const protocol::SearchStamp &stamp)
{
    const std::uint32_t index = (stamp.reachable >> s_indexShift) & s_partMask;
    const std::uint32_t further = (stamp.reachable >> s_furtherShift) & s_partMask;
    return {static_cast<std::uint8_t>(index), static_cast<std::uint8_t>(further + 1)};
}

protocol::SearchStamp withoutPart(const protocol::SearchStamp &stamp)
{
    protocol::SearchStamp common = stamp;
    common.reachable &= s_versionMask;
    return common;
}

std::vector<protocol::CandidateChain> divideSearch(std::span<const protocol::Candidate> agents)
{
    std::vector<protocol::CandidateChain> parts((agents.size() + s_agentsPerPart - 1) / s_agentsPerPart);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const std::size_t begin = agents.size() * part / parts.size();
        const std::size_t end = agents.size() * (part + 1) / parts.size();
        const auto asked = agents.subspan(begin, end - begin);
        parts[part].assign(asked.begin(), asked.end());
    }
    return parts;
}

EndedParts::EndedParts(std::size_t capacity)
    : m_entries(std::max<std::size_t>(1, capacity))
{
}

bool EndedParts::ended(const protocol::SearchEnded &ended)
{
    const SearchPart part = partOf(ended.search.stamp);
    if (part.index >= part.count || part.count > s_maximumParts) {
        return false;
    }
    if (part.count == 1) {
        return true;
    }
    const std::uint64_t identity = identityOf(ended);
    Entry &entry = m_entries[identity % m_entries.size()];
    if (entry.search != identity) {
        entry = {identity, 0};
    }
    entry.parts |= static_cast<std::uint8_t>(1U << part.index);
    const unsigned all = (1U << part.count) - 1;
    return entry.parts == all;
}

} // namespace samphireswitch::routing
