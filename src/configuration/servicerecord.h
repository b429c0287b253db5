#pragma once

#include "base/identifiers.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** What the operators want of a host. */
enum class HostState { Active, Draining, Stopped };

/** A host that may serve a service. */
struct HostRecord
{
    std::string name;
    std::string failureDomain;
    HostState state = HostState::Active;

    bool operator==(const HostRecord &) const = default;
};

/** A part of the new flows of a service, by weight, that goes to a pool of upstreams. */
struct PoolShare
{
    /** Name of the pool, which the agents of its upstreams announce as their service. */
    std::string pool;
    std::uint32_t weight = 1;

    bool operator==(const PoolShare &) const = default;
};

/** Declared state of one service, or of a pool of upstreams that services share. */
struct ServiceRecord
{
    std::string name;
    /** The generation that last changed this record. */
    Generation generation = 0;
    /** True for the tombstone of a service that was removed. */
    bool removed = false;
    /** IPv4 address in host byte order. */
    std::uint32_t address = 0;
    /** 0 if the service has no such port. */
    std::uint16_t requestPort = 0;
    std::uint16_t feedPort = 0;
    bool idempotent = false;
    /** Time within which an answer is of use to the caller. */
    std::chrono::milliseconds deadline {0};
    /** Requests that one host serves at the same time. */
    std::uint32_t slots = 0;
    /** Connections that one host holds at the same time. */
    std::uint32_t connections = 0;
    std::vector<HostRecord> hosts;
    /** Identity of the plan that last changed this record. */
    std::string plan;
    /** Pools that serve the address; empty if the record names the hosts itself. */
    std::vector<PoolShare> pools {};
    /** Path of the health probe of a pool's upstreams; empty for a record that is not a pool. */
    std::string healthPath {};
    /** Time within which an answer is in time; 0 if none is declared. A later one is still of use until the deadline.
     */
    std::chrono::milliseconds latencyTarget {0};
    /** Rank among services that share upstreams when these are short of slots; 0 goes first. */
    std::uint8_t priority = 0;

    /** A pool has no address of its own: services name it. Its hosts announce themselves. */
    bool isPool() const
    {
        return !healthPath.empty();
    }

    /** The record of the host of that name; nullptr if the service does not name it. */
    const HostRecord *findHost(std::string_view hostName) const
    {
        const auto host = std::ranges::find(hosts, hostName, &HostRecord::name);
        return host == hosts.end() ? nullptr : &*host;
    }

    bool operator==(const ServiceRecord &) const = default;
};

/** The records that changed after generation @c from, up to and including generation @c to. */
struct ConfigurationDelta
{
    Generation from = 0;
    Generation to = 0;
    std::vector<ServiceRecord> records;

    bool operator==(const ConfigurationDelta &) const = default;
};

} // namespace samphireswitch::configuration
