#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"

#include <algorithm>
#include <vector>

namespace samphireswitch::passthrough {

/** The addresses whose new flows an upstream may take, by one configuration. */
class ServedDestinations
{
public:
    /** Knows no configuration: every address may be served. */
    ServedDestinations() = default;

    ServedDestinations(Generation generation, std::vector<Endpoint> destinations)
        : m_generation(generation)
        , m_destinations(std::move(destinations))
    {
        std::ranges::sort(m_destinations);
    }

    Generation generation() const
    {
        return m_generation;
    }

    /**
     * Whether a new flow to @p destination may be taken that a balancer sent by configuration @p balancerGeneration.
     * The newer configuration of the two decides, so that a balancer with an old one cannot take a change back.
     */
    bool allows(const Endpoint &destination, Generation balancerGeneration) const
    {
        const bool isUnknown = m_generation == 0 || balancerGeneration > m_generation;
        return isUnknown || std::ranges::binary_search(m_destinations, destination);
    }

private:
    Generation m_generation = 0;
    std::vector<Endpoint> m_destinations;
};

} // namespace samphireswitch::passthrough
