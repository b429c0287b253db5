#pragma once

#include "bench/gossipnetwork.h"
#include "configuration/configurationpatch.h"
#include "control/storereadduty.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace samphireswitch::control {

/** Reads of a simulated store by the balancers of a GossipNetwork, as StoreReader does them. */
class StoreReaders
{
public:
    struct Counters
    {
        /** Calls of all balancers, reads and watches. */
        std::uint64_t calls = 0;
        /** Reads by balancers that are not watchers. */
        std::uint64_t substituteReads = 0;
    };

    StoreReaders(GossipNetwork &network, std::uint64_t seed);

    /** Lets the balancer @p name, which the network contains, read the store from now on. */
    void add(const std::string &name);

    /** Replaces the configuration in the store. */
    void write(configuration::ConfigurationPatch document);

    /** Lets @p duration pass in the network. */
    void run(std::chrono::milliseconds duration);

    /** Runs until @p condition holds; false if it does not within @p limit. */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    const Counters &counters() const;

    /** Whether the store serves a balancer. It serves all if this is not set. */
    std::function<bool(const std::string &)> isServed;

private:
    struct Reader
    {
        StoreReadDuty duty;
        /** When the watch in progress ends; nothing if there is none. */
        std::optional<TimePoint> watchEnd;
    };

    void advance(const std::string &name, Reader &reader);
    void read(const std::string &name, Reader &reader, StoreReadRole role, std::size_t rank);

    GossipNetwork &m_network;
    std::mt19937_64 m_random;
    std::map<std::string, Reader> m_readers;
    configuration::ConfigurationPatch m_document;
    Counters m_counters;
};

} // namespace samphireswitch::control
