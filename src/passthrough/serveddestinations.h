#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "passthrough/requestterms.h"

#include <algorithm>
#include <vector>

namespace samphireswitch::passthrough {

/** An address whose new flows an upstream may take. */
struct ServedDestination
{
    Endpoint address;
    RequestTerms terms {};
};

/** The addresses whose new flows an upstream may take, by one configuration. */
class ServedDestinations
{
public:
    /** Knows no configuration: every address may be served. */
    ServedDestinations() = default;

    ServedDestinations(Generation generation, std::vector<ServedDestination> destinations)
        : m_generation(generation)
        , m_destinations(std::move(destinations))
    {
        std::ranges::sort(m_destinations, {}, &ServedDestination::address);
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
        return isUnknown || find(destination) != nullptr;
    }

    /** The terms of requests to @p destination; without limits if the configuration does not name it. */
    RequestTerms termsOf(const Endpoint &destination) const
    {
        const ServedDestination *found = find(destination);
        return found == nullptr ? RequestTerms() : found->terms;
    }

private:
    const ServedDestination *find(const Endpoint &address) const
    {
        const auto found = std::ranges::lower_bound(m_destinations, address, {}, &ServedDestination::address);
        return found == m_destinations.end() || found->address != address ? nullptr : &*found;
    }

    Generation m_generation = 0;
    std::vector<ServedDestination> m_destinations;
};

} // namespace samphireswitch::passthrough
