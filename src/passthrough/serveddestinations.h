#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "passthrough/requestterms.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace samphireswitch::passthrough {

/** An address whose new flows an upstream may accept, with the terms of its requests. */
struct ServedDestination
{
    Endpoint address;
    RequestTerms terms {};
};

/** What the configuration says of the new flows of one upstream, whatever their destination. */
struct UpstreamTerms
{
    /** The failure domain of the upstream is evacuated: the upstream gets no new flows. */
    bool isEvacuated = false;
    /** Requests per second that the upstream may get while it is cold; 0 if there is no limit. */
    double coldRequestsPerSecond = 0;
    /** Time for which the upstream stays cold after its start. */
    std::chrono::milliseconds slowStart {0};

    bool operator==(const UpstreamTerms &) const = default;
};

/**
 * The addresses whose new flows an upstream may accept, and the terms for the upstream, according to one generation of
 * the configuration.
 */
class ServedDestinations
{
public:
    /** For an agent that has no configuration yet: every address is allowed. */
    ServedDestinations() = default;

    ServedDestinations(Generation generation,
                       std::vector<ServedDestination> destinations,
                       const UpstreamTerms &upstreamTerms = {})
        : m_generation(generation)
        , m_destinations(std::move(destinations))
        , m_upstreamTerms(upstreamTerms)
    {
        std::ranges::sort(m_destinations, {}, &ServedDestination::address);
    }

    /** Generation of the configuration; 0 if there is none. */
    Generation generation() const
    {
        return m_generation;
    }

    /**
     * Whether the upstream may accept a new flow to @p destination from a balancer with the configuration
     * @p balancerGeneration. If the balancer's configuration is newer than this one, the balancer's choice stands and
     * every destination is allowed. Otherwise this configuration decides, so that a balancer with an old configuration
     * cannot undo a change.
     */
    bool allows(const Endpoint &destination, Generation balancerGeneration) const
    {
        const bool isUnknown = m_generation == 0 || balancerGeneration > m_generation;
        return isUnknown || find(destination) != nullptr;
    }

    /**
     * The terms of requests to @p destination. If the configuration does not contain the destination, the terms have no
     * latency target, no deadline and the highest priority.
     */
    RequestTerms termsOf(const Endpoint &destination) const
    {
        const ServedDestination *found = find(destination);
        return found == nullptr ? RequestTerms() : found->terms;
    }

    /** For an agent that has no configuration yet: no evacuation and no limit. */
    const UpstreamTerms &upstreamTerms() const
    {
        return m_upstreamTerms;
    }

private:
    const ServedDestination *find(const Endpoint &address) const
    {
        const auto found = std::ranges::lower_bound(m_destinations, address, {}, &ServedDestination::address);
        return found == m_destinations.end() || found->address != address ? nullptr : &*found;
    }

    Generation m_generation = 0;
    std::vector<ServedDestination> m_destinations;
    UpstreamTerms m_upstreamTerms;
};

} // namespace samphireswitch::passthrough
