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

/** The agents of one pool of upstreams: input for the constructor of RoutingTable, made by the control thread. */
struct RoutedPool
{
    ServiceId service;
    /** Agents that may take new work, with the agents of the balancer's failure domain first. */
    std::vector<protocol::Candidate> eligible;
    /** Number of eligible agents, at the front of the list, that are in the balancer's failure domain. */
    std::size_t nearby = 0;
    /**
     * Agents that may take new work according to stored records, but were not heard from since. They may be unable to
     * forward packets.
     */
    std::vector<protocol::Candidate> unconfirmed;
    /** Agents that take no new work but forward packets and may own flows. */
    std::vector<protocol::Candidate> draining;
    /** Agents that stopped responding without notice and may be unable to forward packets. */
    std::vector<protocol::Candidate> suspect;
    /** As suspect, in an evacuated failure domain: they may own flows, but get no new ones even if no other is left. */
    std::vector<protocol::Candidate> evacuatedSuspect;
    /**
     * Agents that announced their stop and no longer respond. They are expected to return, with the flows of their
     * upstreams.
     */
    std::vector<protocol::Candidate> stopped;
    /**
     * Whether some agent of the pool, in any state, is known from stored records only. Such an agent may be starting,
     * and its upstream may hold flows.
     */
    bool hasUnconfirmed = false;
    /** Whether some agent would be eligible if its failure domain were not evacuated. */
    bool hasEvacuated = false;
    /** Whether some agent of the pool, in any state, is in a failure domain that is not evacuated. */
    bool hasOthersThanEvacuated = false;
};

/** The weight of one pool among the pools that serve an address. */
struct RoutedShare
{
    /** Index of the pool in the list that RoutingTable is constructed from. */
    std::size_t pool = 0;
    std::uint32_t weight = 0;
};

/** A service with its agents or pools: input for the constructor of RoutingTable, made by the control thread. */
struct RoutedService
{
    ServiceId service;
    /** IPv4 address in host byte order. */
    std::uint32_t address = 0;
    /** Port for requests, or 0 if the service has none. */
    std::uint16_t requestPort = 0;
    /** Port for feeds, or 0 if the service has none. */
    std::uint16_t feedPort = 0;
    /** Agents that may take new work. */
    std::vector<protocol::Candidate> eligible;
    /** Agents that take no new work but may own flows, in the order in which a search asks them. */
    std::vector<protocol::Candidate> others;
    /** Name for logged events; may be empty. */
    std::string name;
    /** Pools that serve the address; empty if the service has members of its own. */
    std::vector<RoutedShare> shares {};
    /** Whether callers may safely repeat requests to the service. */
    bool idempotent = false;
};

/** The agents of one service in a RoutingTable. Valid for the lifetime of the table. */
class ServiceRoute
{
public:
    ServiceRoute() = default;

    /** The first @p eligibleCount of @p members are eligible. @p position is the index of the service in its table. */
    ServiceRoute(ServiceId service,
                 std::span<const protocol::Candidate> members,
                 std::size_t eligibleCount,
                 std::size_t position);

    ServiceId service() const;
    /** Agents that may take new work. */
    std::span<const protocol::Candidate> eligible() const;
    /** Agents that take no new work but may own flows. */
    std::span<const protocol::Candidate> others() const;
    /** The eligible members, then the others. */
    std::span<const protocol::Candidate> members() const;

    /** Index of the service in the list that the table was constructed from. */
    std::size_t position() const;

private:
    // Narrow types, so that a slot of the table takes half a cache line.
    ServiceId m_service;
    const protocol::Candidate *m_members = nullptr;
    std::uint32_t m_position = 0;
    std::uint16_t m_memberCount = 0;
    std::uint16_t m_eligibleCount = 0;
};

/** The agents of one pool in a RoutingTable. Valid for the lifetime of the table. */
class PoolRoute
{
public:
    /** Number of agents of each kind, in the order in which the member list has them; `nearby` overlaps `eligible`. */
    struct Counts
    {
        std::size_t unconfirmed = 0;
        std::size_t eligible = 0;
        /** Agents at the front of the eligible agents that are in the balancer's failure domain. */
        std::size_t nearby = 0;
        std::size_t draining = 0;
        /** Suspects, followed by a second copy of the unconfirmed agents and by evacuatedSuspect. */
        std::size_t suspect = 0;
        std::size_t evacuatedSuspect = 0;
        /** As PoolRoute::isEvacuated(). */
        bool isEvacuated = false;
        std::size_t stopped = 0;
    };

    /** @p members lists the agents by kind, as counted in @p counts. */
    PoolRoute(ServiceId service, std::span<const protocol::Candidate> members, const Counts &counts);

    ServiceId service() const;
    /** Agents that may take new work, including the unconfirmed agents. */
    std::span<const protocol::Candidate> eligible() const;
    /** The confirmed agents of the balancer's failure domain that may take new work. */
    std::span<const protocol::Candidate> nearby() const;
    /** Agents that forward packets: the confirmed eligible agents and the draining agents. */
    std::span<const protocol::Candidate> reachable() const;
    /** Agents that may be unable to forward packets: agents that stopped responding, and unconfirmed agents. */
    std::span<const protocol::Candidate> suspects() const;
    /** The suspects that may get new flows if no agent is eligible. */
    std::span<const protocol::Candidate> lastResorts() const;
    /** Whether all agents are in evacuated failure domains, and some would be eligible otherwise. */
    bool isEvacuated() const;
    /** Agents that announced their stop and are expected to return. */
    std::span<const protocol::Candidate> stopped() const;

private:
    ServiceId m_service;
    std::span<const protocol::Candidate> m_members;
    Counts m_counts;
};

/** An agent of a pool, as RoutingTable::agentInPools() returns it. */
struct PoolAgent
{
    protocol::Candidate candidate;
    /** Whether the agent may be unable to forward packets; see PoolRoute::suspects(). */
    bool isSuspect = false;
};

/** A pool of a service, with the sum of its weight and the weights of the pools before it. */
struct WeightedPool
{
    /** Index into RoutingTable::pools(). */
    std::size_t pool = 0;
    std::uint64_t cumulativeWeight = 0;
};

/** Immutable snapshot of all services and their agents. Several threads may read a table at the same time. */
class RoutingTable
{
public:
    /** Maximum number of agents of a service; further agents are ignored. */
    static constexpr std::size_t s_maximumMembers = 65535;

    /**
     * Builds the table of configuration @p generation. An agent that a service lists twice is added once, as eligible
     * if it is in both lists. If two services have the same address and port, find() returns null for that destination,
     * because a packet must not reach the wrong service. @p contentHash is the hash of the configuration's content.
     */
    RoutingTable(Generation generation,
                 const std::vector<RoutedService> &services,
                 const std::vector<RoutedPool> &pools = {},
                 std::uint64_t contentHash = 0);

    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    Generation generation() const;
    /** Hash of the content of the configuration, which may change within a generation; 0 if it is not known. */
    std::uint64_t contentHash() const;
    std::size_t serviceCount() const;

    /** Returns the service at @p destination, or null if there is none or more than one. */
    const ServiceRoute *find(const Endpoint &destination) const;

    /** Returns the pools of @p route, which find() returned; empty if the service has members of its own. */
    std::span<const WeightedPool> poolsOf(const ServiceRoute &route) const;

    /** All pools, in the order of the list that the table was constructed from. */
    std::span<const PoolRoute> pools() const;

    /** Returns the agent of any pool whose identity has @p tag, or null. */
    const PoolAgent *agentInPools(HintTable::AgentTag tag) const;

    /** Whether an agent of any pool announced its stop and is expected to return. */
    bool hasStoppedAgent() const;

    /** Whether an agent of any pool is known from stored records only and was not heard from since. */
    bool hasUnconfirmedAgent() const;

    /** Whether callers may safely repeat requests to the service of @p route, which find() returned. */
    bool isIdempotent(const ServiceRoute &route) const;

    /** Returns the name, for logged events, of the service of @p route, which find() returned. */
    const std::string &nameOf(const ServiceRoute &route) const;

private:
    // Contains the route itself, because an index of the route would add a cache miss to each routing decision.
    struct alignas(32) Slot
    {
        /** Packed address and port, or s_emptySlot. */
        std::uint64_t key;
        ServiceRoute route;
    };

    /** Copies the members of @p service into m_members, each agent once, and returns the route to them. */
    ServiceRoute addMembers(const RoutedService &service);
    /** Copies the agents of @p pool into m_poolMembers in the order of PoolRoute::Counts. */
    void addPool(const RoutedPool &pool);
    /** Appends the pools of @p service to m_shares with cumulative weights. */
    void addShares(const RoutedService &service);
    /** Fills m_agentsByTag from the members of all pools. */
    void indexAgents();
    /** Adds a slot for @p destination. If the slot exists already, it is marked ambiguous. Port 0 is ignored. */
    void insert(const Endpoint &destination, const ServiceRoute &route);
    /** Returns the index of the slot that holds @p key, or of the empty slot where @p key would be inserted. */
    std::size_t slotOf(std::uint64_t key) const;

    Generation m_generation;
    std::uint64_t m_contentHash;
    std::vector<protocol::Candidate> m_members;
    std::vector<std::string> m_names;
    /** Indexed by the position of the service. */
    std::vector<bool> m_idempotent;
    std::vector<protocol::Candidate> m_poolMembers;
    std::vector<PoolRoute> m_pools;
    std::vector<WeightedPool> m_shares;
    /** Indexed by the position of the service: the end of the service's range in m_shares. */
    std::vector<std::size_t> m_shareEnds;
    /** The members of all pools, sorted by tag. */
    std::vector<std::pair<HintTable::AgentTag, PoolAgent>> m_agentsByTag;
    bool m_hasStoppedAgent = false;
    bool m_hasUnconfirmedAgent = false;
    /** Open addressing with linear probing; the size is a power of two. */
    std::vector<Slot> m_slots;
};

} // namespace samphireswitch::routing
