#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "protocol/messages.h"
#include "routing/hinttable.h"

#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace samphireswitch::routing {

/** The agents of a pool of upstreams, as the balancer's control thread knows them. */
struct RoutedPool
{
    ServiceId service;
    /** Agents that may take new work, those of the balancer's failure domain first. */
    std::vector<protocol::Candidate> eligible;
    /** How many of the eligible agents are in the balancer's failure domain. */
    std::size_t nearby = 0;
    /** Agents that may take new work by what is known from an earlier time. They may not forward. */
    std::vector<protocol::Candidate> unconfirmed;
    /** Agents that take no new work but forward and may own flows. */
    std::vector<protocol::Candidate> draining;
    /** Agents that fell silent without notice and may not forward. */
    std::vector<protocol::Candidate> suspect;
    /** Agents that announced their stop and fell silent; they are expected back, with the flows of their upstreams. */
    std::vector<protocol::Candidate> stopped;
    /** Some agent is known from an earlier time only. It may be starting, and its upstream may hold flows. */
    bool hasUnconfirmed = false;
};

/** The part of a service's new flows that goes to a pool. */
struct RoutedShare
{
    /** Position of the pool in the list that the table is built from. */
    std::size_t pool = 0;
    std::uint32_t weight = 0;
};

/** A service and its agents, as the balancer's control thread knows them. */
struct RoutedService
{
    ServiceId service;
    std::uint32_t address = 0;
    /** 0 if the service has no such port. */
    std::uint16_t requestPort = 0;
    std::uint16_t feedPort = 0;
    /** Agents that may take new work. */
    std::vector<protocol::Candidate> eligible;
    /** Agents that take no new work but may own flows, in the order in which they are to be asked. */
    std::vector<protocol::Candidate> others;
    /** For the time line; may be empty. */
    std::string name;
    /** Pools that serve the address; empty if the service has the members above. */
    std::vector<RoutedShare> shares {};
    /** Whether callers may repeat its requests. */
    bool idempotent = false;
};

/** The agents of one service in a RoutingTable. Valid as long as the table. */
class ServiceRoute
{
public:
    ServiceRoute() = default;

    /** @p position is the service's position in the list that the table was built from. */
    ServiceRoute(ServiceId service,
                 std::span<const protocol::Candidate> members,
                 std::size_t eligibleCount,
                 std::size_t position);

    ServiceId service() const;
    std::span<const protocol::Candidate> eligible() const;
    std::span<const protocol::Candidate> others() const;
    /** The eligible members, then the others. */
    std::span<const protocol::Candidate> members() const;

    std::size_t position() const;

private:
    // Narrow types, so that a slot of the table is half a cache line.
    ServiceId m_service;
    const protocol::Candidate *m_members = nullptr;
    std::uint32_t m_position = 0;
    std::uint16_t m_memberCount = 0;
    std::uint16_t m_eligibleCount = 0;
};

/** The agents of one pool in a RoutingTable. Valid as long as the table. */
class PoolRoute
{
public:
    /** How many agents of each kind a pool has, in the order in which they are listed. */
    struct Counts
    {
        std::size_t unconfirmed = 0;
        std::size_t eligible = 0;
        /** The first of the eligible ones, which are in the balancer's failure domain. */
        std::size_t nearby = 0;
        std::size_t draining = 0;
        /** Suspects, and the unconfirmed agents again. */
        std::size_t suspect = 0;
        std::size_t stopped = 0;
    };

    PoolRoute(ServiceId service, std::span<const protocol::Candidate> members, const Counts &counts);

    ServiceId service() const;
    /** Agents that may take new work. */
    std::span<const protocol::Candidate> eligible() const;
    /** The confirmed agents of the balancer's failure domain that may take new work. */
    std::span<const protocol::Candidate> nearby() const;
    /** Agents that forward: the eligible ones that are confirmed, and the draining ones. */
    std::span<const protocol::Candidate> reachable() const;
    /** Agents that may not forward: those that fell silent, and those that are not confirmed. */
    std::span<const protocol::Candidate> suspects() const;
    std::span<const protocol::Candidate> stopped() const;

private:
    ServiceId m_service;
    std::span<const protocol::Candidate> m_members;
    Counts m_counts;
};

/** An agent of a pool. */
struct PoolAgent
{
    protocol::Candidate candidate;
    /** It may not forward: it fell silent without notice, or is known from an earlier time only. */
    bool isSuspect = false;
};

/** A pool of a service and the upper end of its range among the service's weights. */
struct WeightedPool
{
    std::size_t pool = 0;
    std::uint64_t cumulativeWeight = 0;
};

/** Immutable snapshot of all services and their agents. Safe to read from every thread. */
class RoutingTable
{
public:
    /** Largest number of agents of a service; more are ignored. */
    static constexpr std::size_t s_maximumMembers = 65535;

    /**
     * An agent that is listed twice for a service counts once, as eligible if it is in both lists. An address and port
     * that two services claim belongs to neither, because a packet must not reach the wrong service.
     */
    RoutingTable(Generation generation,
                 const std::vector<RoutedService> &services,
                 const std::vector<RoutedPool> &pools = {});

    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    Generation generation() const;
    std::size_t serviceCount() const;

    /** The service at @p destination, or null. */
    const ServiceRoute *find(const Endpoint &destination) const;

    /** The pools of a service that find() returned; empty if it has members of its own. */
    std::span<const WeightedPool> poolsOf(const ServiceRoute &route) const;

    std::span<const PoolRoute> pools() const;

    /** The agent of a pool whose identity has this tag, or null. */
    const PoolAgent *agentInPools(HintTable::AgentTag tag) const;

    /** Whether an agent of a pool announced its stop and is expected back. */
    bool hasStoppedAgent() const;

    /** Whether an agent of a pool is known from an earlier time only. */
    bool hasUnconfirmedAgent() const;

    /** Whether callers may repeat the requests of a service that find() returned. */
    bool isIdempotent(const ServiceRoute &route) const;

    /** Name of a service that find() returned; for the time line. */
    const std::string &nameOf(const ServiceRoute &route) const;

private:
    // Holds the route itself: an index of it would add one access to memory outside the cache to each decision.
    struct alignas(32) Slot
    {
        /** Address and port, or s_emptySlot. */
        std::uint64_t key;
        ServiceRoute route;
    };

    ServiceRoute addMembers(const RoutedService &service);
    void addPool(const RoutedPool &pool);
    void addShares(const RoutedService &service);
    void indexAgents();
    void insert(const Endpoint &destination, const ServiceRoute &route);
    /** The slot that holds @p key, or the empty slot where it belongs. */
    std::size_t slotOf(std::uint64_t key) const;

    Generation m_generation;
    std::vector<protocol::Candidate> m_members;
    std::vector<std::string> m_names;
    /** By the position of the service. */
    std::vector<bool> m_idempotent;
    std::vector<protocol::Candidate> m_poolMembers;
    std::vector<PoolRoute> m_pools;
    std::vector<WeightedPool> m_shares;
    /** By the position of the service: the end of its part of m_shares. */
    std::vector<std::size_t> m_shareEnds;
    /** The members of all pools by tag. */
    std::vector<std::pair<HintTable::AgentTag, PoolAgent>> m_agentsByTag;
    bool m_hasStoppedAgent = false;
    bool m_hasUnconfirmedAgent = false;
    /** Open addressing with linear probing; the size is a power of two. */
    std::vector<Slot> m_slots;
};

} // namespace samphireswitch::routing
