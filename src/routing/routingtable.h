#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "protocol/messages.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace samphireswitch::routing {

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
    RoutingTable(Generation generation, const std::vector<RoutedService> &services);

    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    Generation generation() const;
    std::size_t serviceCount() const;

    /** The service at @p destination, or null. */
    const ServiceRoute *find(const Endpoint &destination) const;

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
    void insert(const Endpoint &destination, const ServiceRoute &route);
    /** The slot that holds @p key, or the empty slot where it belongs. */
    std::size_t slotOf(std::uint64_t key) const;

    Generation m_generation;
    std::vector<protocol::Candidate> m_members;
    std::vector<std::string> m_names;
    /** Open addressing with linear probing; the size is a power of two. */
    std::vector<Slot> m_slots;
};

} // namespace samphireswitch::routing
