#include "routing/hinttable.h"

namespace samphireswitch::routing {

namespace {

constexpr unsigned s_agentBits = 24;
constexpr std::uint64_t s_agentMask = (1ULL << s_agentBits) - 1;
constexpr std::size_t s_entriesPerHint = 2;

std::uint64_t hashOf(const flow::FlowKey &flow, const SipHashKey &key)
{
    const std::uint64_t addresses = (std::uint64_t {flow.source.address} << 32U) | flow.destination.address;
    const std::uint64_t ports = (std::uint64_t {flow.source.port} << 16U) | flow.destination.port;
    return sipHash15(key, addresses, ports);
}

/** Maps the upper 32 bits of @p hash to the range 0 to count - 1 without a division. */
std::size_t scale(std::uint64_t hash, std::size_t count)
{
    const std::uint64_t upper = hash >> 32U;
    return static_cast<std::size_t>((upper * count) >> 32U);
}

} // namespace

HintTable::HintTable(std::size_t capacity, const SipHashKey &key)
    : m_key(key)
    , m_sets((capacity * s_entriesPerHint + s_ways - 1) / s_ways)
{
}

HintTable::AgentTag HintTable::tagOf(AgentId agent)
{
    return static_cast<AgentTag>(agent.value & s_agentMask);
}

HintTable::Location HintTable::locate(const flow::FlowKey &flow) const
{
    const std::uint64_t hash = hashOf(flow, m_key);
    const std::size_t set = scale(hash, m_sets.size());
    // The set index depends on the upper 32 bits of the hash and the tag on the lower 40 bits; they share 8 bits.
    std::uint64_t flowTag = hash << s_agentBits;
    if (flowTag == 0) {
        // An entry with a tag of 0 could not be distinguished from an empty entry.
        flowTag = s_agentMask + 1;
    }
    __builtin_prefetch(m_sets.data() + set);
    return {set, flowTag};
}

std::optional<HintTable::Match> HintTable::find(const Location &location) const
{
    if (m_sets.empty()) {
        return std::nullopt;
    }
    const Set &set = m_sets[location.set];
    for (std::size_t way = 0; way < s_ways; ++way) {
        const std::uint64_t entry = set.entries[way];
        if ((entry & ~s_agentMask) == location.flowTag) {
            return Match {location.set, way, static_cast<AgentTag>(entry & s_agentMask)};
        }
    }
    return std::nullopt;
}

void HintTable::markUsed(const Match &match)
{
    if (match.way == 0) {
        return;
    }
    Set &set = m_sets[match.set];
    moveToFront(set, match.way, set.entries[match.way]);
}

void HintTable::insert(const flow::FlowKey &flow, AgentId owner)
{
    if (m_sets.empty()) {
        return;
    }
    const Location location = locate(flow);
    Set &set = m_sets[location.set];
    const std::uint64_t entry = location.flowTag | tagOf(owner);
    std::size_t way = 0;
    while (way + 1 < s_ways && set.entries[way] != 0 && (set.entries[way] & ~s_agentMask) != location.flowTag) {
        ++way;
    }
    if (set.entries[way] == 0) {
        ++m_size;
    }
    moveToFront(set, way, entry);
}

std::size_t HintTable::size() const
{
    return m_size;
}

std::size_t HintTable::memoryBytes() const
{
    return m_sets.capacity() * sizeof(Set);
}

void HintTable::moveToFront(Set &set, std::size_t way, std::uint64_t entry)
{
    for (std::size_t index = way; index > 0; --index) {
        set.entries[index] = set.entries[index - 1];
    }
    set.entries[0] = entry;
}

} // namespace samphireswitch::routing
