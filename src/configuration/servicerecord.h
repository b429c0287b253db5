#pragma once

#include "base/identifiers.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** The state that operators declare for a host. */
enum class HostState { Active, Draining, Stopped };

/** A host that a service declares. */
struct HostRecord
{
    std::string name;
    std::string failureDomain;
    HostState state = HostState::Active;

    bool operator==(const HostRecord &) const = default;
};

/** A pool of upstreams that receives a share of the new flows of a service, in proportion to its weight. */
struct PoolShare
{
    /** Name of the pool. The agents of its upstreams announce this name as their service. */
    std::string pool;
    std::uint32_t weight = 1;

    bool operator==(const PoolShare &) const = default;
};

/**
 * The declared configuration of a service, of a pool of upstreams that several services may share, or of the evacuation
 * of a failure domain.
 */
struct ServiceRecord
{
    std::string name;
    /** The generation in which this record last changed. */
    Generation generation = 0;
    /** True if this record is the tombstone of a removed service. */
    bool removed = false;
    /** IPv4 address in host byte order. */
    std::uint32_t address = 0;
    /** Port for requests; 0 if the service accepts no requests. */
    std::uint16_t requestPort = 0;
    /** Port for feeds; 0 if the service has no feeds. */
    std::uint16_t feedPort = 0;
    bool idempotent = false;
    /** Time after which an answer is no longer useful to the caller. */
    std::chrono::milliseconds deadline {0};
    /** Maximum number of concurrent requests per host. */
    std::uint32_t slots = 0;
    /** Maximum number of concurrent connections per host. */
    std::uint32_t connections = 0;
    std::vector<HostRecord> hosts;
    /** Identifier of the plan that last changed this record. */
    std::string plan;
    /** Pools that serve the address; empty if the record lists its hosts directly. */
    std::vector<PoolShare> pools {};
    /** Path of the health probe for the upstreams of a pool; empty for a record that is not a pool. */
    std::string healthPath {};
    /** Target for the answer latency; 0 if none is declared. An answer after the target is late, but still useful until
     * the deadline. */
    std::chrono::milliseconds latencyTarget {0};
    /** Priority among services that share upstreams, applied if the upstreams are short of slots; 0 is the highest. */
    std::uint8_t priority = 0;
    /** The failure domain whose upstreams get no new flows while this record is in force; empty for other records. */
    std::string evacuatedDomain {};
    /** Requests per second, from all balancers, that a cold upstream of a pool may get; 0 if there is no limit. */
    double coldRequestsPerSecond = 0;
    /** Time for which an upstream of a pool stays cold after its start. */
    std::chrono::milliseconds slowStart {0};

    /** Returns true if this record is an evacuation. It has a name and the domain, and no other content. */
    bool isEvacuation() const
    {
        return !evacuatedDomain.empty();
    }

    /** Returns true if this record is an evacuation that has not been taken back. */
    bool isEvacuationInForce() const
    {
        return !removed && isEvacuation();
    }

    /** Returns true if this record is a service or a pool that has not been removed. */
    bool isServiceInForce() const
    {
        return !removed && !isEvacuation();
    }

    /** Returns true if this record is a pool. A pool has no address: services refer to it by name, and its hosts are
     * not declared but announce themselves. */
    bool isPool() const
    {
        return !healthPath.empty();
    }

    /** Returns the record of the host @p hostName, or nullptr if the service does not list that host. */
    const HostRecord *findHost(std::string_view hostName) const
    {
        const auto host = std::ranges::find(hosts, hostName, &HostRecord::name);
        return host == hosts.end() ? nullptr : &*host;
    }

    bool operator==(const ServiceRecord &) const = default;
};

/**
 * The records that changed after generation @c from, up to and including generation @c to. A delta whose @c from is 0
 * holds the whole configuration, or everything about the only service that its receiver follows.
 */
struct ConfigurationDelta
{
    Generation from = 0;
    Generation to = 0;
    std::vector<ServiceRecord> records;

    bool operator==(const ConfigurationDelta &) const = default;
};

} // namespace samphireswitch::configuration
