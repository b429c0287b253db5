#include "routing/routingtable.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <bit>
#include <limits>

namespace samphireswitch::routing {

namespace {

// Key of an empty slot. A packed address and port has only 48 bits, so no destination has this key.
constexpr std::uint64_t s_emptySlot = std::numeric_limits<std::uint64_t>::max();
// Position in the route of a destination that several services have.
constexpr std::uint32_t s_ambiguousPosition = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t s_slotSeed = 0x726f757465ULL;
constexpr std::size_t s_minimumSlots = 16;
constexpr std::size_t s_portsPerService = 2;
// With at most half of the slots in use, probe sequences stay short.
constexpr std::size_t s_slotsPerKey = 2;

std::uint64_t packKey(const Endpoint &destination)
{
    return (std::uint64_t {destination.address} << 16U) | destination.port;
}

bool contains(std::span<const protocol::Candidate> members, AgentId agent)
{
    return std::any_of(members.begin(), members.end(), [agent](const auto &member) { return member.agent == agent; });
}

} // namespace

ServiceRoute::ServiceRoute(ServiceId service,
                           std::span<const protocol::Candidate> members,
                           std::size_t eligibleCount,
                           std::size_t position)
    : m_service(service)
    , m_members(members.data())
    , m_position(static_cast<std::uint32_t>(position))
    , m_memberCount(static_cast<std::uint16_t>(members.size()))
    , m_eligibleCount(static_cast<std::uint16_t>(eligibleCount))
{
}

ServiceId ServiceRoute::service() const
{
    return m_service;
}

std::span<const protocol::Candidate> ServiceRoute::eligible() const
{
    return members().first(m_eligibleCount);
}

std::span<const protocol::Candidate> ServiceRoute::others() const
{
    return members().subspan(m_eligibleCount);
}

std::span<const protocol::Candidate> ServiceRoute::members() const
{
    return {m_members, m_memberCount};
}

std::size_t ServiceRoute::position() const
{
    return m_position;
}

PoolRoute::PoolRoute(ServiceId service, std::span<const protocol::Candidate> members, const Counts &counts)
    : m_service(service)
    , m_members(members)
    , m_counts(counts)
{
}

ServiceId PoolRoute::service() const
{
    return m_service;
}

std::span<const protocol::Candidate> PoolRoute::eligible() const
{
    return m_members.first(m_counts.unconfirmed + m_counts.eligible);
}

std::span<const protocol::Candidate> PoolRoute::nearby() const
{
    return m_members.subspan(m_counts.unconfirmed, m_counts.nearby);
}

std::span<const protocol::Candidate> PoolRoute::reachable() const
{
    return m_members.subspan(m_counts.unconfirmed, m_counts.eligible + m_counts.draining);
}

std::span<const protocol::Candidate> PoolRoute::suspects() const
{
    return m_members.subspan(m_counts.unconfirmed + m_counts.eligible + m_counts.draining, m_counts.suspect);
}

bool PoolRoute::isEvacuated() const
{
    return m_counts.isEvacuated;
}

std::span<const protocol::Candidate> PoolRoute::lastResorts() const
{
    return suspects().first(m_counts.suspect - m_counts.evacuatedSuspect);
}

std::span<const protocol::Candidate> PoolRoute::stopped() const
{
    return m_members.last(m_counts.stopped);
}

RoutingTable::RoutingTable(Generation generation,
                           const std::vector<RoutedService> &services,
                           const std::vector<RoutedPool> &pools,
                           std::uint64_t contentHash)
    : m_generation(generation)
    , m_contentHash(contentHash)
    , m_slots(std::bit_ceil(std::max(s_minimumSlots, services.size() * s_portsPerService * s_slotsPerKey)),
              Slot {s_emptySlot, {}})
{
    std::size_t memberCount = 0;
    for (const RoutedService &service : services) {
        memberCount += service.eligible.size() + service.others.size();
    }
    // Reserves all memory in advance, because the routes point to the members, which must not be reallocated.
    m_members.reserve(memberCount);
    m_names.reserve(services.size());
    std::size_t poolMemberCount = 0;
    for (const RoutedPool &pool : pools) {
        poolMemberCount += 2 * pool.unconfirmed.size() + pool.eligible.size() + pool.draining.size()
            + pool.suspect.size() + pool.evacuatedSuspect.size() + pool.stopped.size();
    }
    m_poolMembers.reserve(poolMemberCount);
    for (const RoutedPool &pool : pools) {
        addPool(pool);
    }
    indexAgents();
    for (const RoutedService &service : services) {
        const ServiceRoute route = addMembers(service);
        m_names.push_back(service.name);
        m_idempotent.push_back(service.idempotent);
        addShares(service);
        insert({service.address, service.requestPort}, route);
        if (service.feedPort != service.requestPort) {
            insert({service.address, service.feedPort}, route);
        }
    }
}

Generation RoutingTable::generation() const
{
    return m_generation;
}

std::uint64_t RoutingTable::contentHash() const
{
    return m_contentHash;
}

std::size_t RoutingTable::serviceCount() const
{
    return m_names.size();
}

const ServiceRoute *RoutingTable::find(const Endpoint &destination) const
{
    const Slot &slot = m_slots[slotOf(packKey(destination))];
    if (slot.key == s_emptySlot || slot.route.position() == s_ambiguousPosition) {
        return nullptr;
    }
    return &slot.route;
}

const std::string &RoutingTable::nameOf(const ServiceRoute &route) const
{
    return m_names[route.position()];
}

std::span<const WeightedPool> RoutingTable::poolsOf(const ServiceRoute &route) const
{
    const std::size_t begin = route.position() == 0 ? 0 : m_shareEnds[route.position() - 1];
    return std::span(m_shares).subspan(begin, m_shareEnds[route.position()] - begin);
}

std::span<const PoolRoute> RoutingTable::pools() const
{
    return m_pools;
}

const PoolAgent *RoutingTable::agentInPools(HintTable::AgentTag tag) const
{
    const auto found = std::ranges::lower_bound(m_agentsByTag, tag, {}, [](const auto &entry) { return entry.first; });
    return found == m_agentsByTag.end() || found->first != tag ? nullptr : &found->second;
}

bool RoutingTable::hasStoppedAgent() const
{
    return m_hasStoppedAgent;
}

bool RoutingTable::hasUnconfirmedAgent() const
{
    return m_hasUnconfirmedAgent;
}

bool RoutingTable::isIdempotent(const ServiceRoute &route) const
{
    return m_idempotent[route.position()];
}

void RoutingTable::addPool(const RoutedPool &pool)
{
    const std::size_t first = m_poolMembers.size();
    const std::array members {&pool.unconfirmed,
                              &pool.eligible,
                              &pool.draining,
                              &pool.suspect,
                              &pool.unconfirmed,
                              &pool.evacuatedSuspect,
                              &pool.stopped};
    for (const auto *part : members) {
        m_poolMembers.insert(m_poolMembers.end(), part->begin(), part->end());
    }
    PoolRoute::Counts counts;
    counts.unconfirmed = pool.unconfirmed.size();
    counts.eligible = pool.eligible.size();
    counts.nearby = pool.nearby;
    counts.draining = pool.draining.size();
    counts.suspect = pool.suspect.size() + pool.unconfirmed.size() + pool.evacuatedSuspect.size();
    counts.evacuatedSuspect = pool.evacuatedSuspect.size();
    counts.isEvacuated = pool.hasEvacuated && !pool.hasOthersThanEvacuated;
    counts.stopped = pool.stopped.size();
    m_hasStoppedAgent = m_hasStoppedAgent || !pool.stopped.empty();
    m_hasUnconfirmedAgent = m_hasUnconfirmedAgent || pool.hasUnconfirmed;
    m_pools.emplace_back(pool.service, std::span<const protocol::Candidate>(m_poolMembers).subspan(first), counts);
}

void RoutingTable::addShares(const RoutedService &service)
{
    std::uint64_t total = 0;
    for (const RoutedShare &share : service.shares) {
        total += share.weight;
        m_shares.push_back({share.pool, total});
    }
    m_shareEnds.push_back(m_shares.size());
}

void RoutingTable::indexAgents()
{
    const auto add = [this](std::span<const protocol::Candidate> members, bool isSuspect) {
        for (const protocol::Candidate &member : members) {
            m_agentsByTag.emplace_back(HintTable::tagOf(member.agent), PoolAgent {member, isSuspect});
        }
    };
    // The sort is stable and agentInPools() returns the first entry of a tag, so an agent in several lists is a suspect
    // if any of them lists suspects.
    for (const PoolRoute &pool : m_pools) {
        add(pool.suspects(), true);
    }
    add(m_poolMembers, false);
    std::ranges::stable_sort(m_agentsByTag, {}, [](const auto &entry) { return entry.first; });
}

ServiceRoute RoutingTable::addMembers(const RoutedService &service)
{
    const std::size_t first = m_members.size();
    const auto own = [&] { return std::span<const protocol::Candidate>(m_members).subspan(first); };
    const auto add = [&](const std::vector<protocol::Candidate> &members) {
        for (const protocol::Candidate &member : members) {
            if (own().size() == s_maximumMembers || contains(own(), member.agent)) {
                continue;
            }
            m_members.push_back(member);
        }
    };
    add(service.eligible);
    const std::size_t eligibleCount = own().size();
    add(service.others);
    return {service.service, own(), eligibleCount, m_names.size()};
}

void RoutingTable::insert(const Endpoint &destination, const ServiceRoute &route)
{
    if (destination.port == 0) {
        return;
    }
    const std::uint64_t key = packKey(destination);
    Slot &slot = m_slots[slotOf(key)];
    if (slot.key == key) {
        slot.route = ServiceRoute(ServiceId(), {}, 0, s_ambiguousPosition);
        return;
    }
    slot = {key, route};
}

std::size_t RoutingTable::slotOf(std::uint64_t key) const
{
    const std::size_t mask = m_slots.size() - 1;
    std::size_t index = mixHash(s_slotSeed, key) & mask;
    while (m_slots[index].key != s_emptySlot && m_slots[index].key != key) {
        index = (index + 1) & mask;
    }
    return index;
}

} // namespace samphireswitch::routing
